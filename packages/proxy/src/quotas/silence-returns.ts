/**
 * Settles what entries used while they were silent. On the other side of a partition they have passed shares to each other,
 * so that some used more than was charged in advance for them and some less.
 *
 * Load pattern: half of the entries of an account comes back at once while it sends far beyond its limit. What they have
 * not used offsets what others of them used beyond their shares, and must not be given out as a burst.
 */
import type * as Decisions from '@jasminedale/decisions'

/** Time for which unused requests are kept: the others come back within it. */
const RETURN_MS = 2_000

export class SilenceReturns {
  private unused = 0
  private returnedAt = -Infinity

  /**
   * Requests to add to the level of the account for an entry that has come back.
   * @param difference Requests charged in advance less those admitted.
   */
  offset (difference: number, level: number, now: Decisions.Clock.Milliseconds): number {
    if (now - this.returnedAt > RETURN_MS) this.unused = 0
    this.returnedAt = now
    const counted = difference > 0 ? Math.min(difference, Math.max(0, -level)) : Math.min(0, difference + this.unused)
    this.unused = Math.max(0, this.unused + difference - counted)
    return counted
  }
}
