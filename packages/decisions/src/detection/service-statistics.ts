/** An entry's recent outcomes for one service, kept so that any one target can be left out. */
import type * as Clock from '../core/clock.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'

/**
 * The window is the longer of 32 samples and 1 s. It has to move as fast as the evidence does:
 * a slowness that all targets share must reach the baseline before one target's test ends.
 */
const WINDOW_SAMPLES = 32
const WINDOW_MILLISECONDS = 1_000
/** Samples beyond this many deviations are pulled in, so that one bad target widens the baseline little. */
const OUTLIER_DEVIATIONS = 3
const OUTLIER_MINIMUM_SAMPLES = 10
/** Pseudo-observations that keep an error rate from few samples near this prior. */
const PRIOR_ERROR_RATE = 0.001
const PRIOR_SAMPLES = 100
/** Weights grow instead of old sums shrinking; beyond this they are scaled back to 1. */
const SCALE_LIMIT = 1e60
const NEGLIGIBLE_WEIGHT = 1e-9

interface Sums {
  outcomes: number
  errors: number
  answers: number
  log: number
  square: number
}

const emptySums = (): Sums => ({ outcomes: 0, errors: 0, answers: 0, log: 0, square: 0 })

/** Sums of weighted outcomes in total and for each target. */
export class ServiceStatistics {
  private scale = 1
  private last: Clock.Milliseconds | undefined
  private readonly total = emptySums()
  private readonly byTarget = new Map<Ids.TargetId, Sums>()

  /** Adds an answer with its service time. */
  addAnswer (target: Ids.TargetId, serviceTime: Clock.Milliseconds, now: Clock.Milliseconds): void {
    this.advance(now)
    const log = this.withinRange(Math.log(Math.max(serviceTime, 1)))
    for (const sums of this.sumsFor(target)) {
      sums.outcomes += this.scale
      sums.answers += this.scale
      sums.log += this.scale * log
      sums.square += this.scale * log * log
    }
  }

  /** Adds a failure; its duration says nothing about the service time. */
  addFailure (target: Ids.TargetId, now: Clock.Milliseconds): void {
    this.advance(now)
    for (const sums of this.sumsFor(target)) {
      sums.outcomes += this.scale
      sums.errors += this.scale
    }
  }

  /** Baseline over all targets but one; undefined without any answer from the others. */
  baselineWithout (target: Ids.TargetId): Events.Baseline | undefined {
    const own = this.byTarget.get(target) ?? emptySums()
    const answers = (this.total.answers - own.answers) / this.scale
    if (answers < 1) return undefined
    const outcomes = (this.total.outcomes - own.outcomes) / this.scale
    const errors = Math.max(0, this.total.errors - own.errors) / this.scale
    const mean = (this.total.log - own.log) / this.scale / answers
    const variance = (this.total.square - own.square) / this.scale / answers - mean * mean
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

  private withinRange (log: number): number {
    const { answers } = this.total
    if (answers / this.scale < OUTLIER_MINIMUM_SAMPLES) return log
    const mean = this.total.log / answers
    const range = OUTLIER_DEVIATIONS * Math.sqrt(Math.max(0, this.total.square / answers - mean * mean))
    return Math.min(mean + range, Math.max(mean - range, log))
  }

  private advance (now: Clock.Milliseconds): void {
    const elapsed = this.last === undefined ? 0 : Math.max(0, now - this.last)
    this.last = now
    const forgotten = Math.min(1 / WINDOW_SAMPLES, 1 - Math.exp(-elapsed / WINDOW_MILLISECONDS))
    this.scale /= 1 - forgotten
    if (this.scale > SCALE_LIMIT) this.rescale()
  }

  private rescale (): void {
    for (const sums of [this.total, ...this.byTarget.values()]) {
      sums.outcomes /= this.scale
      sums.errors /= this.scale
      sums.answers /= this.scale
      sums.log /= this.scale
      sums.square /= this.scale
    }
    this.scale = 1
    for (const [target, sums] of this.byTarget) if (sums.outcomes < NEGLIGIBLE_WEIGHT) this.byTarget.delete(target)
  }
}
