/** Seeded pseudorandom numbers, the engine's only source of randomness. */
import * as PureRandom from 'pure-rand'

const FRACTION_STEPS = 0x7fffffff

/** A generator that returns the same numbers for the same seed. */
export class Random {
  private readonly generator: PureRandom.RandomGenerator

  constructor (seed: number) {
    this.generator = PureRandom.xoroshiro128plus(seed)
  }

  /** A number in [0, 1). */
  fraction (): number {
    return PureRandom.unsafeUniformIntDistribution(0, FRACTION_STEPS - 1, this.generator) / FRACTION_STEPS
  }

  /** A whole number in [0, limit). `limit` must be positive. */
  below (limit: number): number {
    return PureRandom.unsafeUniformIntDistribution(0, limit - 1, this.generator)
  }

  /** A random element, or undefined for an empty list. */
  pick<Item> (items: readonly Item[]): Item | undefined {
    return items.length === 0 ? undefined : items[this.below(items.length)]
  }
}
