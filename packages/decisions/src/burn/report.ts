/** The burn report of one node or of several. All values survive JSON. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Counters from './counters.js'
import * as Frequents from './frequent.js'
import type * as Judgements from './judgement.js'
import type * as Rings from './ring.js'

export interface WindowReport extends Rings.Tally {
  readonly window: Counters.WindowName
  /** Speed at which the error budget is spent; 1 spends exactly the budget, 0 when nothing was requested. */
  readonly burnRate: number
}

export interface ServiceReport {
  readonly service: Ids.Service
  readonly latencyObjective: Clock.Milliseconds
  readonly availabilityObjective: number
  readonly windows: readonly WindowReport[]
  /** Targets with the most bad requests of the last 30 to 60 min. */
  readonly targets: ReadonlyArray<Frequents.Frequency<Ids.TargetId>>
  /** Most frequent causes of bad requests of the last 30 to 60 min. One request can have several. */
  readonly causes: ReadonlyArray<Frequents.Frequency<Judgements.Cause>>
}

export interface Report {
  readonly at: Clock.Milliseconds
  readonly nodes: readonly Ids.NodeId[]
  /** Fastest burn of the shortest window first. */
  readonly services: readonly ServiceReport[]
}

const TOP = 5
/** An objective of 1 leaves no budget; this keeps the burn rate finite. */
const BUDGET_MINIMUM = 1e-6

export function burnRate (tally: Rings.Tally, availabilityObjective: number): number {
  const bad = tally.slow + tally.failed + tally.refused
  const total = tally.good + bad
  return total === 0 ? 0 : bad / total / Math.max(BUDGET_MINIMUM, 1 - availabilityObjective)
}

/** The report of one node at `now`. */
export function createReport (counters: Counters.Counters, node: Ids.NodeId, now: Clock.Milliseconds): Report {
  const services = [...counters.byService].map(([service, entry]): ServiceReport => ({
    service,
    latencyObjective: entry.latencyObjective,
    availabilityObjective: entry.availabilityObjective,
    windows: entry.rings.map(({ name, ring }) => windowReport(name, ring.total(now), entry.availabilityObjective)),
    targets: entry.targets.top(TOP, now),
    causes: entry.causes.top(TOP, now)
  }))
  return { at: now, nodes: [node], services: ordered(services) }
}

/** Adds up the reports of several nodes. The objectives are those of the latest report of each service. */
export function merge (reports: readonly Report[]): Report {
  const latestFirst = [...reports].sort((left, right) => right.at - left.at)
  const byService = new Map<Ids.Service, ServiceReport[]>()
  for (const entry of latestFirst.flatMap(single => single.services)) {
    byService.set(entry.service, [...byService.get(entry.service) ?? [], entry])
  }
  return {
    at: latestFirst[0]?.at ?? (0 as Clock.Milliseconds),
    nodes: [...new Set(latestFirst.flatMap(single => single.nodes))].sort(),
    services: ordered([...byService.values()].flatMap(entries => mergeService(entries) ?? []))
  }
}

function mergeService (entries: readonly ServiceReport[]): ServiceReport | undefined {
  const [latest] = entries
  if (latest === undefined) return undefined
  const windows = latest.windows.map(({ window }) => {
    const parts = entries.flatMap(entry => entry.windows.filter(part => part.window === window))
    const sum = (field: keyof Rings.Tally): number => parts.reduce((total, part) => total + part[field], 0)
    const tally = { good: sum('good'), slow: sum('slow'), failed: sum('failed'), refused: sum('refused') }
    return windowReport(window, tally, latest.availabilityObjective)
  })
  const targets = Frequents.combine(entries.flatMap(entry => entry.targets), TOP)
  const causes = Frequents.combine(entries.flatMap(entry => entry.causes), TOP)
  return { ...latest, windows, targets, causes }
}

function windowReport (window: Counters.WindowName, tally: Rings.Tally, availabilityObjective: number): WindowReport {
  return { window, ...tally, burnRate: burnRate(tally, availabilityObjective) }
}

function ordered (services: readonly ServiceReport[]): readonly ServiceReport[] {
  const speed = (entry: ServiceReport): number => entry.windows[0]?.burnRate ?? 0
  return [...services].sort((left, right) => speed(right) - speed(left) || (left.service < right.service ? -1 : 1))
}
