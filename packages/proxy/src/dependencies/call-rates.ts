/**
 * Learns how many calls to which service a run of each route makes, without any statement by the backend server: each call
 * is divided between the routes that run at its arrival, in proportion to their learned rates (online expectation-maximization).
 *
 * Load pattern: a target runs several requests of different routes at once, some of which send calls, a few times a second.
 */
import type * as Decisions from '@jasminedale/decisions'

/** Time constant with which counts decay; some hundred runs at the rates of one target. */
const MEMORY_MS = 60_000
/** Calls that each route is assumed to have made, so that a new route gets a share of the first calls. */
const PRIOR_CALLS = 0.05
/**
 * Running time during which the assumed calls were made. At 100 ms, a route without calls that always runs beside one with
 * calls kept 0.4 calls a run after two minutes, against 0.1 at this value.
 */
const PRIOR_EXPOSURE_MS = 1_000
/** Runs before a rate is used. */
const RUNS_MINIMUM = 5
/** Calls per run below which a route does not count as calling: errors of the attribution are of this size. */
const RATE_MINIMUM = 0.1
/** Bounds the memory; the route or service with the fewest counts is dropped. */
const ROUTES_MAXIMUM = 256
const SERVICES_MAXIMUM = 32

interface RouteCounts {
  running: number
  /** Counts that decay: runs that have ended, their total time in ms, and calls by service. */
  runs: number
  exposure: number
  readonly calls: Map<Decisions.Ids.Service, number>
  decayedAt: Decisions.Clock.Milliseconds
}

export class CallRates {
  private readonly byRoute = new Map<string, RouteCounts>()

  recordStart (route: string, now: Decisions.Clock.Milliseconds): void {
    this.of(route, now).running += 1
  }

  recordEnd (route: string, startedAt: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    const counts = this.of(route, now)
    counts.running = Math.max(0, counts.running - 1)
    counts.runs += 1
    counts.exposure += Math.max(0, now - startedAt)
  }

  /** Records a call of the local target. A call that arrives while nothing runs belongs to no route. */
  recordCall (service: Decisions.Ids.Service, now: Decisions.Clock.Milliseconds): void {
    const weights: (readonly [RouteCounts, number])[] = []
    let sum = 0
    for (const counts of this.byRoute.values()) {
      if (counts.running === 0) continue
      decay(counts, now)
      const weight = counts.running * ((counts.calls.get(service) ?? 0) + PRIOR_CALLS) / (counts.exposure + PRIOR_EXPOSURE_MS)
      weights.push([counts, weight])
      sum += weight
    }
    for (const [{ calls }, weight] of weights) {
      if (!calls.has(service) && calls.size >= SERVICES_MAXIMUM) deleteSmallest(calls, count => count)
      calls.set(service, (calls.get(service) ?? 0) + weight / sum)
    }
  }

  /** Services that the route calls, with the calls per run. */
  callsOf (route: string): (readonly [Decisions.Ids.Service, number])[] {
    const counts = this.byRoute.get(route)
    if (counts === undefined || counts.runs < RUNS_MINIMUM) return []
    const { runs } = counts
    return [...counts.calls].map(([service, count]) => [service, count / runs] as const).filter(([, rate]) => rate >= RATE_MINIMUM)
  }

  /** Whether any route is known to call the service. */
  isCalled (service: Decisions.Ids.Service): boolean {
    for (const { runs, calls } of this.byRoute.values()) if (runs >= RUNS_MINIMUM && (calls.get(service) ?? 0) >= RATE_MINIMUM * runs) return true
    return false
  }

  private of (route: string, now: Decisions.Clock.Milliseconds): RouteCounts {
    const known = this.byRoute.get(route)
    if (known !== undefined) {
      decay(known, now)
      return known
    }
    if (this.byRoute.size >= ROUTES_MAXIMUM) deleteSmallest(this.byRoute, ({ running, runs }) => running > 0 ? Infinity : runs)
    const created: RouteCounts = { running: 0, runs: 0, exposure: 0, calls: new Map(), decayedAt: now }
    this.byRoute.set(route, created)
    return created
  }
}

function decay (counts: RouteCounts, now: Decisions.Clock.Milliseconds): void {
  const factor = Math.exp((counts.decayedAt - now) / MEMORY_MS)
  counts.decayedAt = now
  counts.runs *= factor
  counts.exposure *= factor
  for (const [service, count] of counts.calls) counts.calls.set(service, count * factor)
}

function deleteSmallest<Key, Value> (map: Map<Key, Value>, sizeOf: (value: Value) => number): void {
  let smallest: readonly [Key, number] | undefined
  for (const [key, value] of map) if (smallest === undefined || sizeOf(value) < smallest[1]) smallest = [key, sizeOf(value)]
  if (smallest !== undefined) map.delete(smallest[0])
}
