/**
 * The most frequent names of recent times in bounded memory (Space-Saving): a new name takes the place
 * and the count of the rarest one, so counts can be too high but no frequent name is missed.
 */
import * as Clock from '../core/clock.js'

export interface Frequency<Name extends string> {
  readonly name: Name
  readonly count: number
}

/** Names kept for each half of the span. */
const CAPACITY = 16
/** Counts cover between one and two of these. */
const GENERATION = Clock.minutes(30)

export class Frequent<Name extends string> {
  private current = new Map<Name, number>()
  private previous = new Map<Name, number>()
  private generation = 0

  add (name: Name, now: Clock.Milliseconds): void {
    this.turn(now)
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
  top (limit: number, now: Clock.Milliseconds): readonly Frequency<Name>[] {
    this.turn(now)
    const entries = [this.current, this.previous].flatMap(counts => [...counts].map(([name, count]) => ({ name, count })))
    return combine(entries, limit)
  }

  private turn (now: Clock.Milliseconds): void {
    const generation = Math.floor(now / GENERATION)
    if (generation <= this.generation) return
    this.previous = generation === this.generation + 1 ? this.current : new Map<Name, number>()
    this.current = new Map()
    this.generation = generation
  }
}

/** Adds up the counts of equal names and returns the `limit` highest; ties in order of the name. */
export function combine<Name extends string> (entries: readonly Frequency<Name>[], limit: number): readonly Frequency<Name>[] {
  const sums = new Map<Name, number>()
  for (const { name, count } of entries) sums.set(name, (sums.get(name) ?? 0) + count)
  return [...sums]
    .map(([name, count]) => ({ name, count }))
    .sort((left, right) => right.count - left.count || (left.name < right.name ? -1 : 1))
    .slice(0, limit)
}
