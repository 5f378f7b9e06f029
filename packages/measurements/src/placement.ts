/**
 * Simulates alternatives of target selection and compares latency, avoidance of slow targets, balance and the number of
 * targets that each entry uses.
 */
import * as Decisions from '@jasminedale/decisions'
import * as Schedulers from './simulation/scheduler.js'
import * as Distributions from './simulation/distribution.js'

export interface PlacementOptions {
  readonly seed: number
  /** Entry nodes. Each observes only its own requests. */
  readonly entries: number
  readonly targets: number
  readonly slots: number
  /** Mean service time in ms. */
  readonly serviceTime: number
  /** Requested load as a fraction of the capacity of all healthy targets. */
  readonly utilisation: number
  /** Targets that become slower by `slowness` when the warm-up ends. */
  readonly slowTargets: number
  readonly slowness: number
  /** Requests for each alternative. */
  readonly requests: number
  /** Targets per entry for the alternatives that use a subset. */
  readonly subsetSize: number
}

export interface PlacementRow {
  readonly alternative: string
  /** Maximum number of targets that an entry uses. */
  readonly candidates: number
  /** Median, 99th and 99.9th percentile of the time at the target including queueing, in ms. */
  readonly latency50: number
  readonly latency99: number
  readonly latency999: number
  /** Share of the requests that slow targets received, relative to an even share. */
  readonly slowShare: number
  /** Mean time in ms from the onset of slowness until a slow target has finished `EVIDENCE_RESPONSES` requests. */
  readonly evidenceTime: number
  /** Requests to the busiest healthy target relative to the mean of the healthy targets. */
  readonly busiest: number
  /** Number of entries that use the most used target, relative to the mean over all targets. */
  readonly mostUsed: number
}

export interface PlacementTable {
  readonly options: PlacementOptions
  readonly rows: readonly PlacementRow[]
}

interface Alternative {
  readonly name: string
  readonly selection: Decisions.Selections.Selection
  readonly subset: Decisions.Subsets.Subset
}

/** Standard deviation of the logarithm of the service time. */
const DEVIATION = 0.4
/** Fraction of the requests sent before the measurement, so that the latency estimates converge. */
const WARM_UP_FRACTION = 0.2
/** Responses after which the evidence about a target slowed threefold reaches 14 nats, at about 3 nats each. */
const EVIDENCE_RESPONSES = 5

function alternatives (size: number): readonly Alternative[] {
  const whole = new Decisions.Subsets.AllTargets()
  const twoChoices = new Decisions.Selections.TwoChoices()
  return [
    { name: 'random', selection: new Decisions.Selections.RandomChoice(), subset: whole },
    { name: 'least of all known', selection: new Decisions.Selections.LowestCost(), subset: whole },
    { name: 'two choices', selection: twoChoices, subset: whole },
    { name: 'rendezvous subset, least known', selection: new Decisions.Selections.LowestCost(), subset: new Decisions.Subsets.RendezvousSubset(size) },
    { name: 'rendezvous subset, two choices', selection: twoChoices, subset: new Decisions.Subsets.RendezvousSubset(size) },
    { name: 'ring subset, least known', selection: new Decisions.Selections.LowestCost(), subset: new Decisions.Subsets.RingSubset(size) },
    { name: 'ring subset, two choices', selection: twoChoices, subset: new Decisions.Subsets.RingSubset(size) }
  ]
}

/** Returns one row per alternative, all with the same load and seed. */
export function placement (options: PlacementOptions): PlacementTable {
  return { options, rows: alternatives(options.subsetSize).map(alternative => new PlacementRun(alternative, options).run()) }
}

interface Target {
  readonly id: Decisions.Ids.TargetId
  readonly slowness: number
  running: number
  work: number
  finished: number
  evidenceAt: number
  readonly waiting: (() => void)[]
}

interface Entry {
  readonly estimates: Decisions.Estimates.Estimates
  readonly targets: readonly Target[]
}

class PlacementRun {
  private readonly scheduler = new Schedulers.Scheduler()
  private readonly distribution: Distributions.Distribution
  private readonly random: Decisions.Random.Random
  private readonly targets: readonly Target[]
  private readonly entries: readonly Entry[]
  private readonly latencies: number[] = []
  private sent = 0
  private onset = Infinity

  constructor (private readonly alternative: Alternative, private readonly options: PlacementOptions) {
    this.distribution = new Distributions.Distribution(options.seed)
    this.random = new Decisions.Random.Random(options.seed)
    this.targets = Array.from({ length: options.targets }, (_, index) => ({
      id: Decisions.Ids.targetId(`t${index}`), slowness: index < options.slowTargets ? options.slowness : 1, running: 0, work: 0, finished: 0, evidenceAt: Infinity, waiting: []
    }))
    this.entries = Array.from({ length: options.entries }, (_, index) => this.entry(index))
  }

  run (): PlacementRow {
    this.handleArrival()
    this.scheduler.runUntil(Infinity)
    const { options, targets, entries } = this
    const healthy = targets.filter(target => target.slowness === 1).map(target => target.work)
    const slowTargets = targets.filter(target => target.slowness !== 1)
    const slow = slowTargets.map(target => target.work)
    const total = sum(healthy) + sum(slow)
    const uses = targets.map(target => entries.filter(entry => entry.targets.includes(target)).length)
    const sorted = this.latencies.sort((left, right) => left - right)
    const percentile = (fraction: number): number => sorted[Math.floor(sorted.length * fraction)] ?? 0
    return {
      alternative: this.alternative.name,
      candidates: Math.max(...entries.map(entry => entry.targets.length)),
      latency50: percentile(0.5),
      latency99: percentile(0.99),
      latency999: percentile(0.999),
      slowShare: slow.length === 0 ? 0 : sum(slow) / total * options.targets / slow.length,
      evidenceTime: mean(slowTargets.map(target => target.evidenceAt - this.onset)),
      busiest: Math.max(...healthy) / mean(healthy),
      mostUsed: Math.max(...uses) / mean(uses)
    }
  }

  private entry (index: number): Entry {
    const place = { entry: Decisions.Ids.nodeId(`n${index}`), index, entries: this.options.entries }
    const ids = this.alternative.subset.select(Decisions.Ids.service('measured'), this.targets.map(target => target.id), place)
    const used = new Set(ids)
    return { estimates: new Decisions.Estimates.Estimates(), targets: this.targets.filter(target => used.has(target.id)) }
  }

  private handleArrival (): void {
    const { options, distribution } = this
    if (this.sent >= options.requests) return
    this.sent += 1
    const entry = this.entries[distribution.below(this.entries.length)]
    const measured = this.sent > options.requests * WARM_UP_FRACTION
    if (measured) this.onset = Math.min(this.onset, this.scheduler.now)
    if (entry !== undefined) this.send(entry, measured)
    const healthy = options.targets - options.slowTargets + options.slowTargets / options.slowness
    this.scheduler.after(distribution.exponential(options.serviceTime / (healthy * options.slots * options.utilisation)), () => { this.handleArrival() })
  }

  private send (entry: Entry, measured: boolean): void {
    const chosen = this.alternative.selection.choose(this.candidates(entry), this.random)
    if (chosen === undefined) return
    const { target } = chosen
    const sentAt = this.scheduler.now
    entry.estimates.recordStart(target.id, Decisions.Clock.milliseconds(sentAt))
    if (measured) target.work += 1
    const finished = (): void => {
      const latency = this.scheduler.now - sentAt
      entry.estimates.recordEnd(target.id)
      entry.estimates.recordResponse(target.id, Decisions.Clock.milliseconds(latency), Decisions.Clock.milliseconds(this.scheduler.now))
      if (measured) this.latencies.push(latency)
    }
    const begin = (): void => { this.begin(target, measured, finished) }
    if (target.running < this.options.slots) begin()
    else target.waiting.push(begin)
  }

  private begin (target: Target, measured: boolean, finished: () => void): void {
    target.running += 1
    const slowness = measured ? target.slowness : 1
    this.scheduler.after(this.distribution.logNormal(this.options.serviceTime, DEVIATION) * slowness, () => {
      target.running -= 1
      if (measured) target.finished += 1
      if (target.finished === EVIDENCE_RESPONSES && measured) target.evidenceAt = Math.min(target.evidenceAt, this.scheduler.now)
      finished()
      target.waiting.shift()?.()
    })
  }

  private candidates (entry: Entry): readonly { readonly target: Target, readonly cost: number }[] {
    const now = Decisions.Clock.milliseconds(this.scheduler.now)
    return entry.targets.map(target => ({
      target,
      cost: (entry.estimates.inFlight(target.id) + 1) * (entry.estimates.latency(target.id, now, this.options.serviceTime) ?? this.options.serviceTime)
    }))
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: readonly number[]): number {
  return sum(values) / Math.max(1, values.length)
}
