/** Exponentially weighted mean and deviation of the service time of requests. */
import * as Decisions from '@jasminedale/decisions'

/** Gives most of the weight to the last five samples, so that a slower target shows within two seconds. */
const SMOOTHING_FACTOR = 0.2
/** Assumed before the first sample; of the same order as the service times of the users' requests. */
const INITIAL_MEAN_MS = 150
const INITIAL_DEVIATION_MS = 75

export class ServiceTime {
  private smoothedMean = INITIAL_MEAN_MS
  private smoothedDeviation = INITIAL_DEVIATION_MS
  private sampleCount = 0

  add (elapsed: Decisions.Clock.Milliseconds): void {
    this.sampleCount += 1
    // Equal weights for the first five samples, so that the initial values lose their influence within them.
    const weight = Math.max(SMOOTHING_FACTOR, 1 / this.sampleCount)
    this.smoothedDeviation += weight * (Math.abs(elapsed - this.smoothedMean) - this.smoothedDeviation)
    this.smoothedMean += weight * (elapsed - this.smoothedMean)
  }

  /**
   * Adds the elapsed time of a request that did not complete, as a lower bound of its service time. A time below the
   * mean is ignored, since it does not show that the target is faster.
   */
  addLowerBound (elapsed: Decisions.Clock.Milliseconds): void {
    if (elapsed > this.smoothedMean) this.add(elapsed)
  }

  get mean (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(this.smoothedMean)
  }

  /** Smoothed mean absolute deviation. */
  get deviation (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(this.smoothedDeviation)
  }
}
