/** Counts false ejections by each decider on the same simulated healthy traffic. */
import * as Decisions from '@jasminedale/decisions'
import * as Distributions from '../simulation/distribution.js'
import * as Services from './service.js'

export interface HealthyOptions {
  readonly seed: number
  readonly targets: number
  /** Requests per second and target. */
  readonly rate: number
  readonly days: number
  readonly thresholds: readonly number[]
}

export interface HealthyRow {
  readonly decider: string
  readonly threshold: number | undefined
  readonly ratePerTarget: number
  readonly targetDays: number
  readonly ejections: number
  readonly perTargetDay: number
  /** For a service with 24 and with 8 targets. */
  readonly perServiceMonth24: number
  readonly perServiceMonth8: number
}

const DAY_MS = 86_400_000
const MONTH_DAYS = 30
const ENTRIES = 4
const { milliseconds } = Decisions.Clock

/** Counts the ejections that a decider would request. The decider is reset after each. */
class EjectionCounter {
  ejections = 0
  readonly deciders: Decisions.HealthTests.HealthTest[]

  constructor (readonly name: string, readonly threshold: number | undefined, targets: number) {
    const create = Services.DECIDERS[name]
    this.deciders = create === undefined ? [] : Array.from({ length: targets }, create)
  }

  observe (index: number, sample: Decisions.HealthTests.Sample): void {
    const decider = this.deciders[index]
    if (decider === undefined) return
    decider.observe(sample)
    if (decider.score(this.threshold ?? 1) < (this.threshold ?? 1)) return
    this.ejections += 1
    decider.reset()
  }
}

/** Simulates one service and passes the same outcomes to every decider. */
class HealthyService {
  private readonly distribution: Distributions.Distribution
  private readonly views = Array.from({ length: ENTRIES }, () => new Decisions.ServiceStatistics.ServiceStatistics())
  private readonly ids: readonly Decisions.Ids.TargetId[]
  private readonly references: readonly Decisions.EntryBaselines.EntryBaselines[]
  private readonly pauses: { from: number, until: number }[]
  private burst = { from: 0, until: 0 }

  constructor (private readonly options: HealthyOptions, private readonly counters: readonly EjectionCounter[]) {
    this.distribution = new Distributions.Distribution(options.seed)
    this.ids = Array.from({ length: options.targets }, (_, index) => Decisions.Ids.targetId(`t${index}`))
    this.references = this.ids.map(() => new Decisions.EntryBaselines.EntryBaselines())
    this.pauses = this.ids.map(() => this.pauseAfter(0))
    this.burst = this.burstAfter(0)
  }

  run (): void {
    const { rate, targets, days } = this.options
    const gap = 1_000 / (rate * targets)
    for (let now = 0; now < days * DAY_MS;) {
      if (now >= this.burst.until) this.burst = this.burstAfter(now)
      const busy = now >= this.burst.from
      now += this.distribution.exponential(busy ? gap / Services.BURST.arrivals : gap)
      this.request(now, busy)
    }
  }

  private request (now: number, busy: boolean): void {
    const index = this.distribution.below(this.ids.length)
    const entry = this.distribution.below(ENTRIES)
    const [id, view, references] = [this.ids[index], this.views[entry], this.references[index]]
    if (id === undefined || view === undefined || references === undefined) return
    const at = milliseconds(now)
    const baseline = view.baselineWithout(id)
    if (baseline !== undefined) references.add(Decisions.Ids.nodeId(`n${entry}`), baseline, at)
    const slowness = this.pauseFactor(index, now) * (busy ? Services.BURST.slowness : 1)
    const elapsed = milliseconds(Services.serviceTime(this.distribution) * slowness)
    const failed = this.distribution.fraction() < Services.HEALTHY_ERROR_RATE
    if (failed) view.addFailure(id, at)
    else view.addAnswer(id, elapsed, at)
    const sample = {
      attempt: Decisions.Ids.attemptId(''), outcome: failed ? 'failed' as const : 'answered' as const, elapsed, at,
      baseline: references.median(), slownessWeight: 1, waitingWeight: 1
    }
    for (const counter of this.counters) counter.observe(index, sample)
  }

  private pauseFactor (index: number, now: number): number {
    const pause = this.pauses[index]
    if (pause === undefined || now < pause.from) return 1
    if (now < pause.until) return Services.PAUSE.factor
    this.pauses[index] = this.pauseAfter(now)
    return 1
  }

  private pauseAfter (now: number): { from: number, until: number } {
    const from = now + this.distribution.exponential(Services.PAUSE.everyMs)
    return { from, until: from + this.distribution.exponential(Services.PAUSE.lengthMs) }
  }

  private burstAfter (now: number): { from: number, until: number } {
    const from = now + this.distribution.exponential(Services.BURST.everyMs)
    return { from, until: from + Services.BURST.lengthMs }
  }
}

export function healthy (options: HealthyOptions): readonly HealthyRow[] {
  const { targets, rate, days } = options
  const counters = [
    new EjectionCounter('consecutive-errors', undefined, targets),
    new EjectionCounter('outlier-window', undefined, targets),
    ...options.thresholds.map(threshold => new EjectionCounter('sequential-test', threshold, targets))
  ]
  new HealthyService(options, counters).run()
  return counters.map(({ name, threshold, ejections }) => {
    const perTargetDay = ejections / (targets * days)
    return {
      decider: name,
      threshold,
      ratePerTarget: rate,
      targetDays: targets * days,
      ejections,
      perTargetDay,
      perServiceMonth24: perTargetDay * 24 * MONTH_DAYS,
      perServiceMonth8: perTargetDay * 8 * MONTH_DAYS
    }
  })
}
