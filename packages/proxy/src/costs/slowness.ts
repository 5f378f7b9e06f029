/**
 * How many times longer the target takes than an average one for the same requests: the ratio of the measured times to
 * their expected costs, so that a target with expensive requests does not count as slow, nor the reverse.
 *
 * Load pattern: targets 4 to 12 times slower; a mix of 0.2 s and 0.65 s; 3 in 100 requests take 7 times as long.
 */

/** About the last six requests count, so that a target that became 8 times slower shows within ten. */
const SMOOTHING_FACTOR = 0.15
/** A single request counts as at most this many times the expected time. */
const SAMPLE_MAXIMUM_RATIO = 3
const MINIMUM = 0.05
const MAXIMUM = 50
/** Weight in ms of the assumption that the target is an average one. */
const PRIOR_MS = 300

export class Slowness {
  private measured = PRIOR_MS
  private expected = PRIOR_MS

  get ratio (): number {
    return Math.min(MAXIMUM, Math.max(MINIMUM, this.measured / this.expected))
  }

  /** Adds a request that took `elapsed` ms and was expected to take `cost` ms on an average target. */
  add (elapsed: number, cost: number): void {
    if (cost <= 0) return
    const sample = Math.min(elapsed, SAMPLE_MAXIMUM_RATIO * cost * this.ratio)
    this.measured += SMOOTHING_FACTOR * (sample - this.measured)
    this.expected += SMOOTHING_FACTOR * (cost - this.expected)
  }

  /** Adds a request that did not complete; one shorter than expected shows nothing. */
  addLowerBound (elapsed: number, cost: number): void {
    if (elapsed > cost * this.ratio) this.add(elapsed, cost)
  }
}
