/** Seeded randomness of the fakes, apart from the engines' own. */
import * as PureRandom from 'pure-rand'

const RESOLUTION = 0x7fffffff

export class Randomness {
  private readonly generator: PureRandom.RandomGenerator

  constructor (seed: number) {
    this.generator = PureRandom.xoroshiro128plus(seed)
  }

  /** A number in [0, 1). */
  fraction (): number {
    return PureRandom.unsafeUniformIntDistribution(0, RESOLUTION - 1, this.generator) / RESOLUTION
  }

  /** Standard normal by the Box-Muller transform. */
  normal (): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.fraction()))
    return radius * Math.cos(2 * Math.PI * this.fraction())
  }

  /** Time to the next arrival of a Poisson process, in ms, for a rate a second. */
  arrival (rate: number): number {
    return -Math.log(1 - this.fraction()) * 1_000 / rate
  }

  pick<Item> (items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.fraction() * items.length)]
  }
}
