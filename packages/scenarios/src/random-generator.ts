/** Seeded random generator of the fakes, separate from those of the engines. */
import * as Decisions from '@jasminedale/decisions'

const MILLISECONDS_PER_SECOND = 1_000

export class RandomGenerator extends Decisions.Random.Random {
  /** Returns a standard normal variate (Box-Muller transform). */
  normal (): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.fraction()))
    return radius * Math.cos(2 * Math.PI * this.fraction())
  }

  /** Returns the time to the next arrival of a Poisson process, in ms. `rate` is per second. */
  interarrivalTime (rate: number): number {
    return -Math.log(1 - this.fraction()) * MILLISECONDS_PER_SECOND / rate
  }
}
