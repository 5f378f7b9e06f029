/** Running mean and spread of how long requests take. */
import * as Decisions from '@jasminedale/decisions'

/** Weight of a new sample: about the last five count, so that a slowed target is seen within two seconds. */
const GAIN = 0.2
/** Assumed mean before the first sample, of the order of the users' requests. */
const MEAN_INITIAL = 150
const DEVIATION_INITIAL = 75

export class ServiceTime {
  private average = MEAN_INITIAL
  private spread = DEVIATION_INITIAL
  private samples = 0

  add (elapsed: Decisions.Clock.Milliseconds): void {
    this.samples += 1
    // The first samples count in full, so that the assumption fades within five requests.
    const gain = Math.max(GAIN, 1 / this.samples)
    this.spread += gain * (Math.abs(elapsed - this.average) - this.spread)
    this.average += gain * (elapsed - this.average)
  }

  /** A request that did not end took at least this long. It tells only of a target that is slower than known. */
  exceeds (elapsed: Decisions.Clock.Milliseconds): void {
    if (elapsed > this.average) this.add(elapsed)
  }

  get mean (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(this.average)
  }

  /** Mean absolute deviation. */
  get deviation (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(this.spread)
  }
}
