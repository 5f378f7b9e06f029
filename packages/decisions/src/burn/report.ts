/** Burn report of one or several nodes. All values can be serialized as JSON. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Counters from './counters.js'
import * as HeavyHitters from './heavy-hitters.js'
import type * as Classifications from './classification.js'
import type * as RollingTallies from './rolling-tally.js'

export interface WindowReport extends RollingTallies.Tally {
  readonly window: Counters.WindowName
  /** Ratio of the error rate to the error budget: 1 spends exactly the budget. 0 without requests. */
  readonly burnRate: number
}

export interface ServiceReport {
  readonly service: Ids.Service
  readonly latencyObjective: Clock.Milliseconds
  readonly availabilityObjective: number
  readonly windows: readonly WindowReport[]
  /** Targets with the most bad requests of the last 30 to 60 min. */
  readonly targets: ReadonlyArray<HeavyHitters.NameCount<Ids.TargetId>>
  /** Most frequent causes of bad requests of the last 30 to 60 min. One request can have several. */
  readonly causes: ReadonlyArray<HeavyHitters.NameCount<Classifications.Cause>>
}

export interface Report {
  readonly at: Clock.Milliseconds
  readonly nodes: readonly Ids.NodeId[]
  /** By burn rate of the shortest window, highest first. */
  readonly services: readonly ServiceReport[]
}

const RANKING_LENGTH = 5
/** Keeps the burn rate finite for an objective of 1, which leaves no budget. */
const ERROR_BUDGET_MINIMUM = 1e-6

export function burnRate (tally: RollingTallies.Tally, availabilityObjective: number): number {
  const bad = tally.slow + tally.failed + tally.refused
  const total = tally.good + bad
  return total === 0 ? 0 : bad / total / Math.max(ERROR_BUDGET_MINIMUM, 1 - availabilityObjective)
}

/** The report of one node at `now`. */
export function createReport (counters: Counters.Counters, node: Ids.NodeId, now: Clock.Milliseconds): Report {
  const services = [...counters.byService].map(([service, entry]): ServiceReport => ({
    service,
    latencyObjective: entry.latencyObjective,
    availabilityObjective: entry.availabilityObjective,
    windows: entry.windows.map(({ name, tally }) => windowReport(name, tally.total(now), entry.availabilityObjective)),
    targets: entry.targets.top(RANKING_LENGTH, now),
    causes: entry.causes.top(RANKING_LENGTH, now)
  }))
  return { at: now, nodes: [node], services: sortByBurnRate(services) }
}

/** Adds up the reports of several nodes. The objectives of a service are those of its latest report. */
export function merge (reports: readonly Report[]): Report {
  const latestFirst = [...reports].sort((left, right) => right.at - left.at)
  const byService = new Map<Ids.Service, ServiceReport[]>()
  for (const entry of latestFirst.flatMap(single => single.services)) {
    byService.set(entry.service, [...byService.get(entry.service) ?? [], entry])
  }
  return {
    at: latestFirst[0]?.at ?? (0 as Clock.Milliseconds),
    nodes: [...new Set(latestFirst.flatMap(single => single.nodes))].sort(),
    services: sortByBurnRate([...byService.values()].flatMap(entries => mergeService(entries) ?? []))
  }
}

function mergeService (entries: readonly ServiceReport[]): ServiceReport | undefined {
  const [latest] = entries
  if (latest === undefined) return undefined
  const windows = latest.windows.map(({ window }) => {
    const parts = entries.flatMap(entry => entry.windows.filter(part => part.window === window))
    const sum = (field: keyof RollingTallies.Tally): number => parts.reduce((total, part) => total + part[field], 0)
    const tally = { good: sum('good'), slow: sum('slow'), failed: sum('failed'), refused: sum('refused') }
    return windowReport(window, tally, latest.availabilityObjective)
  })
  const targets = HeavyHitters.mergeCounts(entries.flatMap(entry => entry.targets), RANKING_LENGTH)
  const causes = HeavyHitters.mergeCounts(entries.flatMap(entry => entry.causes), RANKING_LENGTH)
  return { ...latest, windows, targets, causes }
}

function windowReport (window: Counters.WindowName, tally: RollingTallies.Tally, availabilityObjective: number): WindowReport {
  return { window, ...tally, burnRate: burnRate(tally, availabilityObjective) }
}

function sortByBurnRate (services: readonly ServiceReport[]): readonly ServiceReport[] {
  const shortestWindowBurnRate = (entry: ServiceReport): number => entry.windows[0]?.burnRate ?? 0
  return [...services].sort((left, right) => shortestWindowBurnRate(right) - shortestWindowBurnRate(left) || (left.service < right.service ? -1 : 1))
}
