/** Simulates placements of requests of unequal cost: by number or by work left, with stale reports, several entries and slow targets. */
import * as Decisions from '@jasminedale/decisions'
import * as Proxy from '@jasminedale/proxy'
import * as Distributions from './simulation/distribution.js'
import * as Schedulers from './simulation/scheduler.js'
import * as CostHosts from './simulation/cost-host.js'

export interface CostPlacementOptions {
  readonly seed: number
  readonly entries: number
  readonly targets: number
  readonly slots: number
  /** Targets that take `slowness` times as long from the end of the warm-up. */
  readonly slowTargets: number
  readonly slowness: number
  /** Requested work as a fraction of what all targets can do. */
  readonly utilisation: number
  /** Share of long requests. */
  readonly longShare: number
  /** Interval of the reports in ms; 0 for one with each response. */
  readonly reportInterval: number
  readonly requests: number
}

export interface CostPlacementRow {
  readonly alternative: string
  /** Mean, and 99th percentile, of the time in ms until the response. */
  readonly mean: number
  readonly short99: number
  readonly long99: number
  /** Fraction of the requests that took longer than four times their mean service time. */
  readonly late: number
  /** Share of the requests that slow targets got, relative to their share of the speed. */
  readonly slowShare: number
}

/** Chooses a target, or none, for a request of the expected cost. */
type Choice = (run: CostPlacementRun, views: Proxy.HostViews.HostViews, cost: number, isLong: boolean) => CostHosts.CostHost | undefined

const WARM_UP_FRACTION = 0.2
const LATE_FACTOR = 4
export const SERVICE = Decisions.Ids.service('measured')
const TWO_CHOICES = new Decisions.Selections.TwoChoices()
const DIFFERENT = new Decisions.Selections.TwoDifferentChoices()
const LEAST = new Decisions.Selections.LowestCost()

const ALTERNATIVES: Readonly<Record<string, Choice>> = {
  'requests per slot, two choices': (run, views) => TWO_CHOICES.choose(run.byRequests(views), run.random)?.host,
  'requests per slot, least of all': (run, views) => LEAST.choose(run.byRequests(views), run.random)?.host,
  'requests per slot of those with a free slot, else of all, two different choices': (run, views) => {
    const scored = run.byRequests(views)
    const idle = scored.filter(({ host }) => run.isIdle(views, host))
    return DIFFERENT.choose(idle.length > 0 ? idle : scored, run.random)?.host
  },
  'work left, two choices': (run, views, cost) => TWO_CHOICES.choose(run.byWork(views, cost), run.random)?.host,
  'work left, two different choices': (run, views, cost) => DIFFERENT.choose(run.byWork(views, cost), run.random)?.host,
  'work left, least of all': (run, views, cost) => LEAST.choose(run.byWork(views, cost), run.random)?.host,
  'join idle, else work left, two choices': (run, views, cost) => {
    const scored = run.byWork(views, cost)
    const idle = scored.filter(({ host }) => run.isIdle(views, host))
    return (run.random.pick(idle) ?? TWO_CHOICES.choose(scored, run.random))?.host
  },
  'work left of those with a free slot, else of all, two different choices': (run, views, cost) => {
    const scored = run.byWork(views, cost)
    const idle = scored.filter(({ host }) => run.isIdle(views, host))
    return DIFFERENT.choose(idle.length > 0 ? idle : scored, run.random)?.host
  },
  'size classes, work left, two choices': (run, views, cost, isLong) => TWO_CHOICES.choose(run.byWork(views, cost).filter(({ host }) => run.isForLong(host) === isLong), run.random)?.host
}

interface Scored { readonly host: CostHosts.CostHost, readonly cost: number }

/** Returns one row per alternative, all with the same load and seed. */
export function costPlacement (options: CostPlacementOptions): readonly CostPlacementRow[] {
  return Object.entries(ALTERNATIVES).map(([name, choice]) => new CostPlacementRun(name, choice, options).run())
}

class CostPlacementRun {
  readonly random: Decisions.Random.Random
  private readonly scheduler = new Schedulers.Scheduler()
  private readonly distribution: Distributions.Distribution
  private readonly hosts: readonly CostHosts.CostHost[]
  private readonly views: readonly Proxy.HostViews.HostViews[]
  private readonly costs: readonly Proxy.ServiceCosts.ServiceCosts[]
  private readonly latencies: Record<'short' | 'long', number[]> = { short: [], long: [] }
  private sent = 0
  private late = 0
  private slow = 0

  constructor (private readonly name: string, private readonly choice: Choice, private readonly options: CostPlacementOptions) {
    this.random = new Decisions.Random.Random(options.seed)
    this.distribution = new Distributions.Distribution(options.seed)
    this.hosts = Array.from({ length: options.targets }, (_, index) => new CostHosts.CostHost(Decisions.Ids.targetId(`t${index}`), index < options.slowTargets ? options.slowness : 1, options.slots, this.scheduler))
    this.views = Array.from({ length: options.entries }, () => new Proxy.HostViews.HostViews())
    this.costs = Array.from({ length: options.entries }, () => new Proxy.ServiceCosts.ServiceCosts())
  }

  run (): CostPlacementRow {
    const { options, latencies } = this
    if (options.reportInterval > 0) this.report()
    this.handleArrival()
    this.scheduler.runUntil(Infinity)
    const count = latencies.short.length + latencies.long.length
    const slowSpeed = options.slowTargets / options.slowness
    const all = [...latencies.short, ...latencies.long]
    return {
      alternative: this.name, mean: all.reduce((sum, value) => sum + value, 0) / count, short99: percentile(latencies.short), long99: percentile(latencies.long),
      late: this.late / count, slowShare: this.slow / count / (slowSpeed / (slowSpeed + options.targets - options.slowTargets))
    }
  }

  /** Load as today: requests per slot, by the ratio of service times. */
  byRequests (views: Proxy.HostViews.HostViews): Scored[] {
    const known = this.hosts.map(({ id }) => Proxy.HostViews.serviceTime(views.of(id))).filter(time => time > 0)
    const mean = known.reduce((sum, time) => sum + time, 0) / Math.max(1, known.length)
    return this.hosts.map(host => {
      const view = views.of(host.id)
      const time = Proxy.HostViews.serviceTime(view)
      return { host, cost: (Proxy.HostViews.outstandingRequests(view, this.now) + 1) * (time > 0 ? Math.min(time / mean, 10) : 1) }
    })
  }

  byWork (views: Proxy.HostViews.HostViews, cost: number): Scored[] {
    return this.hosts.map(host => {
      const view = views.of(host.id)
      return { host, cost: (Proxy.HostViews.outstandingWork(view, { mean: cost, meanLeft: cost }, this.now) + 1) * Math.min(Proxy.HostViews.slowness(view, this.now) ?? 1, 10) }
    })
  }

  /** Known to have a free slot and not to be slow. */
  isIdle (views: Proxy.HostViews.HostViews, host: CostHosts.CostHost): boolean {
    const view = views.of(host.id)
    return Proxy.HostViews.hasFreeSlot(view, this.options.slots) && (Proxy.HostViews.slowness(view, this.now) ?? 1) < 2
  }

  /** Whether the target is one of those set aside for long requests, by their share of the work. */
  isForLong (host: CostHosts.CostHost): boolean {
    const { longShare, targets } = this.options
    const long = longShare * CostHosts.MEAN_TIMES.long
    const count = Math.round(targets * long / (long + (1 - longShare) * CostHosts.MEAN_TIMES.short))
    // Spread over the targets, so that slow ones fall into both classes.
    return (this.hosts.indexOf(host) * count) % targets < count
  }

  private get now (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(this.scheduler.now)
  }

  private report (): void {
    for (const host of this.hosts) for (const views of this.views) views.recordReport(host.id, host.report(), this.now)
    if (this.sent < this.options.requests) this.scheduler.after(this.options.reportInterval, () => { this.report() })
  }

  private handleArrival (): void {
    const { options, distribution } = this
    if (this.sent >= options.requests) return
    this.sent += 1
    const entry = distribution.below(options.entries)
    const isLong = distribution.fraction() < options.longShare
    // Drawn here, so that all alternatives get the same requests.
    const time = distribution.logNormal(isLong ? CostHosts.MEAN_TIMES.long : CostHosts.MEAN_TIMES.short, CostHosts.DEVIATION) * (distribution.fraction() < CostHosts.TAIL_SHARE ? CostHosts.TAIL_FACTOR : 1)
    this.send(entry, isLong, time)
    const meanTime = (options.longShare * CostHosts.MEAN_TIMES.long + (1 - options.longShare) * CostHosts.MEAN_TIMES.short) * (1 + CostHosts.TAIL_SHARE * (CostHosts.TAIL_FACTOR - 1))
    const speed = options.targets - options.slowTargets + options.slowTargets / options.slowness
    this.scheduler.after(distribution.exponential(meanTime / (speed * options.slots * options.utilisation)), () => { this.handleArrival() })
  }

  private send (entry: number, isLong: boolean, time: number): void {
    const [views, costs] = [this.views[entry], this.costs[entry]]
    if (views === undefined || costs === undefined) return
    const key = { route: isLong ? 'long' : 'short', account: undefined, sizeClass: 0 }
    const cost = costs.expected(SERVICE, key, this.now)
    const host = this.choice(this, views, cost, isLong)
    if (host === undefined) return
    const isMeasured = this.sent > this.options.requests * WARM_UP_FRACTION
    const view = views.of(host.id)
    const sentAt = this.scheduler.now
    view.inFlight += 1
    view.inFlightWork += cost
    view.workSinceReport += cost
    view.requestsSinceReport += 1
    if (isMeasured && host.slowness > 1) this.slow += 1
    host.run({ key, cost, time: time * (isMeasured ? host.slowness : 1) }, served => {
      view.inFlight -= 1
      view.inFlightWork = view.inFlight === 0 ? 0 : Math.max(0, view.inFlightWork - cost)
      costs.learn(SERVICE, key, served, host.speed.ratio, this.now)
      if (this.options.reportInterval === 0) views.recordReport(host.id, host.report(), this.now)
      if (isMeasured) this.record(isLong, this.scheduler.now - sentAt)
    })
  }

  private record (isLong: boolean, latency: number): void {
    const kind = isLong ? 'long' : 'short'
    this.latencies[kind].push(latency)
    if (latency > LATE_FACTOR * CostHosts.MEAN_TIMES[kind]) this.late += 1
  }
}

function percentile (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length * 0.99)] ?? 0
}
