/** Moving estimate of how long a target works on one request. */
import * as Clock from '../core/clock.js'

/** Weight of a new sample; about the last twenty requests count. */
const GAIN = 0.1
/** Assumed before the first sample, low so that a new target is not refused work. */
const INITIAL_MEAN = Clock.milliseconds(5)
/** Deviations above the mean within which almost every request finishes. */
const HIGH_DEVIATIONS = 2

export class ServiceTime {
  private samples = 0
  private average: number = INITIAL_MEAN
  private deviation = 0

  add (sample: Clock.Milliseconds): void {
    this.samples += 1
    const gain = Math.max(GAIN, 1 / this.samples)
    const difference = Math.max(0, sample) - this.average
    this.average += gain * difference
    this.deviation += gain * (Math.abs(difference) - this.deviation)
  }

  /** Milliseconds. */
  get mean (): number {
    return this.average
  }

  /** Time within which a request very likely finishes, in ms. */
  get high (): number {
    return this.average + HIGH_DEVIATIONS * this.deviation
  }
}
