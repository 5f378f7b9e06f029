/** Exponentially weighted estimate of a target's service time, in ms. Its fields are part of the explain report. */
import * as Clock from '../core/clock.js'

/** Smallest weight of a new sample: about the last twenty requests count. */
const SAMPLE_WEIGHT_MINIMUM = 0.1
/** Mean before the first sample. It is low so that attempts for a new target are not refused. */
const INITIAL_MEAN = Clock.milliseconds(5)
/** Mean deviations above the mean within which almost every request finishes. */
const UPPER_DEVIATIONS = 2

export class ServiceTime {
  private samples = 0
  private average: number = INITIAL_MEAN
  private deviation = 0

  add (sample: Clock.Milliseconds): void {
    this.samples += 1
    const sampleWeight = Math.max(SAMPLE_WEIGHT_MINIMUM, 1 / this.samples)
    const difference = Math.max(0, sample) - this.average
    this.average += sampleWeight * difference
    this.deviation += sampleWeight * (Math.abs(difference) - this.deviation)
  }

  /** Mean service time in ms. */
  get mean (): number {
    return this.average
  }

  /** Service time in ms within which almost every request finishes. */
  get upperEstimate (): number {
    return this.average + UPPER_DEVIATIONS * this.deviation
  }
}
