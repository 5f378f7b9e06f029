/** Seeded randomness of the fakes, apart from the engines' own. */
import * as Decisions from '@jasminedale/decisions'

const MILLISECONDS_PER_SECOND = 1_000

export class Randomness extends Decisions.Random.Random {
  /** Standard normal by the Box-Muller transform. */
  normal (): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.fraction()))
    return radius * Math.cos(2 * Math.PI * this.fraction())
  }

  /** Time to the next arrival of a Poisson process, in ms, for a rate a second. */
  arrival (rate: number): number {
    return -Math.log(1 - this.fraction()) * MILLISECONDS_PER_SECOND / rate
  }
}
