/** Seeded random distributions for the simulations. */
import * as Decisions from '@jasminedale/decisions'

export class Distribution {
  private readonly random: Decisions.Random.Random

  constructor (seed: number) {
    this.random = new Decisions.Random.Random(seed)
  }

  fraction (): number {
    return this.random.fraction()
  }

  below (limit: number): number {
    return this.random.below(limit)
  }

  exponential (mean: number): number {
    return -mean * Math.log(1 - this.random.fraction())
  }

  /** Log-normal with the given mean; `deviation` is the standard deviation of the logarithm. */
  logNormal (mean: number, deviation: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.fraction()))
    const normal = radius * Math.cos(2 * Math.PI * this.random.fraction())
    return mean * Math.exp(deviation * normal - deviation * deviation / 2)
  }
}
