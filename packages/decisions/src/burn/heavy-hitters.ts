/**
 * The most frequent recent names in bounded memory (Space-Saving algorithm). A new name replaces the one with the
 * lowest count and inherits its count, so counts can be too high but no frequent name is missed.
 */
import * as Clock from '../core/clock.js'

export interface NameCount<Name extends string> {
  readonly name: Name
  readonly count: number
}

/** Names kept for each generation. */
const CAPACITY = 16
/** Counts cover the current and the previous generation. */
const GENERATION_DURATION = Clock.minutes(30)

export class HeavyHitters<Name extends string> {
  private current = new Map<Name, number>()
  private previous = new Map<Name, number>()
  private generation = 0

  add (name: Name, now: Clock.Milliseconds): void {
    this.rotate(now)
    const known = this.current.get(name)
    if (known !== undefined || this.current.size < CAPACITY) {
      this.current.set(name, (known ?? 0) + 1)
      return
    }
    const [rarest, count] = [...this.current].reduce((least, entry) => entry[1] < least[1] ? entry : least)
    this.current.delete(rarest)
    this.current.set(name, count + 1)
  }

  /** The `limit` most frequent names, highest count first. */
  top (limit: number, now: Clock.Milliseconds): readonly NameCount<Name>[] {
    this.rotate(now)
    const entries = [this.current, this.previous].flatMap(counts => [...counts].map(([name, count]) => ({ name, count })))
    return mergeCounts(entries, limit)
  }

  /** Starts a new generation when the current one is over. */
  private rotate (now: Clock.Milliseconds): void {
    const generation = Math.floor(now / GENERATION_DURATION)
    if (generation <= this.generation) return
    this.previous = generation === this.generation + 1 ? this.current : new Map<Name, number>()
    this.current = new Map()
    this.generation = generation
  }
}

/** Adds up the counts of equal names and returns the `limit` highest; ties are sorted by name. */
export function mergeCounts<Name extends string> (entries: readonly NameCount<Name>[], limit: number): readonly NameCount<Name>[] {
  const sums = new Map<Name, number>()
  for (const { name, count } of entries) sums.set(name, (sums.get(name) ?? 0) + count)
  return [...sums]
    .map(([name, count]) => ({ name, count }))
    .sort((left, right) => right.count - left.count || (left.name < right.name ? -1 : 1))
    .slice(0, limit)
}
