/** Smoothed mean and deviation of samples, with the number of samples behind them. */
import type * as Decisions from '@jasminedale/decisions'

/** Weight of a sample once there are many. */
const SMOOTHING_FACTOR = 0.04
/** Samples that the mean stands for at most. */
const COUNT_MAXIMUM = 2 / SMOOTHING_FACTOR - 1
/** A sample counts as at most this many times the mean: 3 in 100 requests take 7 times as long without being of another kind. */
const SAMPLE_MAXIMUM_RATIO = 4
/** Time constant with which a mean without new samples loses its weight. */
const LIFETIME_MS = 120_000

export class CostCell {
  private count = 0
  private updatedAt: Decisions.Clock.Milliseconds
  mean: number
  /** Mean absolute deviation. */
  deviation: number

  /** @param prior Mean before the first sample. */
  constructor (prior: number, now: Decisions.Clock.Milliseconds) {
    this.mean = prior
    this.deviation = prior / 2
    this.updatedAt = now
  }

  add (sample: number, now: Decisions.Clock.Milliseconds): void {
    this.count = Math.min(this.weight(now) + 1, COUNT_MAXIMUM)
    this.updatedAt = now
    // The prior counts as one sample.
    const factor = Math.max(SMOOTHING_FACTOR, 1 / (this.count + 1))
    const difference = Math.min(sample, this.mean * SAMPLE_MAXIMUM_RATIO) - this.mean
    this.deviation += factor * (Math.abs(difference) - this.deviation)
    this.mean += factor * difference
  }

  /** Number of samples that the mean stands for; falls with the time since the last. */
  weight (now: Decisions.Clock.Milliseconds): number {
    const age = now - this.updatedAt
    return age <= 0 ? this.count : this.count * Math.exp(-age / LIFETIME_MS)
  }
}
