/** Statistics of the recent outcomes of one service as observed by an entry, from which any one target can be left out. */
import type * as Clock from '../core/clock.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'

/**
 * Exponential decay over the longer of 32 samples and 1 s. The baseline must follow a slowness that all targets share
 * before the health test of one target reaches its threshold.
 */
const WINDOW_SAMPLES = 32
const WINDOW_MILLISECONDS = 1_000
/** Samples beyond this many standard deviations are clamped, so that one unhealthy target widens the baseline little. */
const OUTLIER_DEVIATIONS = 3
const OUTLIER_MINIMUM_SAMPLES = 10
/** Pseudo-observations that keep the error rate near the prior while there are few samples. */
const PRIOR_ERROR_RATE = 0.001
const PRIOR_SAMPLES = 100
/** Decay is applied by growing the weight of new samples; at this weight all sums are rescaled. */
const SCALE_LIMIT = 1e60
const NEGLIGIBLE_WEIGHT = 1e-9

/** Weighted sums. Logarithms are of the service time in ms. */
interface Sums {
  outcomes: number
  errors: number
  answers: number
  logSum: number
  logSquareSum: number
}

const emptySums = (): Sums => ({ outcomes: 0, errors: 0, answers: 0, logSum: 0, logSquareSum: 0 })

/** Weighted sums of outcomes in total and by target. */
export class ServiceStatistics {
  /** Weight of a new sample. */
  private scale = 1
  private updatedAt: Clock.Milliseconds | undefined
  private readonly total = emptySums()
  private readonly byTarget = new Map<Ids.TargetId, Sums>()

  /** Adds an answer with its service time. */
  addAnswer (target: Ids.TargetId, serviceTime: Clock.Milliseconds, now: Clock.Milliseconds): void {
    this.decayTo(now)
    const log = this.clampOutlier(Math.log(Math.max(serviceTime, 1)))
    for (const sums of this.sumsFor(target)) {
      sums.outcomes += this.scale
      sums.answers += this.scale
      sums.logSum += this.scale * log
      sums.logSquareSum += this.scale * log * log
    }
  }

  /** Adds a failure; its duration says nothing about the service time. */
  addFailure (target: Ids.TargetId, now: Clock.Milliseconds): void {
    this.decayTo(now)
    for (const sums of this.sumsFor(target)) {
      sums.outcomes += this.scale
      sums.errors += this.scale
    }
  }

  /** Baseline over all targets but `target`; undefined until another one has answered. */
  baselineWithout (target: Ids.TargetId): Events.Baseline | undefined {
    const own = this.byTarget.get(target) ?? emptySums()
    const answers = (this.total.answers - own.answers) / this.scale
    if (answers < 1) return undefined
    const outcomes = (this.total.outcomes - own.outcomes) / this.scale
    const errors = Math.max(0, this.total.errors - own.errors) / this.scale
    const mean = (this.total.logSum - own.logSum) / this.scale / answers
    const variance = (this.total.logSquareSum - own.logSquareSum) / this.scale / answers - mean * mean
    return {
      meanLogLatency: mean,
      deviation: Math.sqrt(Math.max(0, variance)),
      errorRate: (errors + PRIOR_ERROR_RATE * PRIOR_SAMPLES) / (outcomes + PRIOR_SAMPLES),
      samples: answers
    }
  }

  private sumsFor (target: Ids.TargetId): readonly [Sums, Sums] {
    const own = this.byTarget.get(target) ?? emptySums()
    this.byTarget.set(target, own)
    return [this.total, own]
  }

  private clampOutlier (log: number): number {
    const { answers } = this.total
    if (answers / this.scale < OUTLIER_MINIMUM_SAMPLES) return log
    const mean = this.total.logSum / answers
    const range = OUTLIER_DEVIATIONS * Math.sqrt(Math.max(0, this.total.logSquareSum / answers - mean * mean))
    return Math.min(mean + range, Math.max(mean - range, log))
  }

  private decayTo (now: Clock.Milliseconds): void {
    const elapsed = this.updatedAt === undefined ? 0 : Math.max(0, now - this.updatedAt)
    this.updatedAt = now
    const decayFraction = Math.min(1 / WINDOW_SAMPLES, 1 - Math.exp(-elapsed / WINDOW_MILLISECONDS))
    this.scale /= 1 - decayFraction
    if (this.scale > SCALE_LIMIT) this.rescale()
  }

  private rescale (): void {
    for (const sums of [this.total, ...this.byTarget.values()]) {
      sums.outcomes /= this.scale
      sums.errors /= this.scale
      sums.answers /= this.scale
      sums.logSum /= this.scale
      sums.logSquareSum /= this.scale
    }
    this.scale = 1
    for (const [target, sums] of this.byTarget) if (sums.outcomes < NEGLIGIBLE_WEIGHT) this.byTarget.delete(target)
  }
}
