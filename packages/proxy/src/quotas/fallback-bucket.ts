/**
 * Token bucket of one entry for an account whose arbiter does not answer. It starts empty: the arbiter may just have
 * given the burst to other entries.
 *
 * Load pattern: an entry that is cut off from the arbiter while its callers go on.
 */
import type * as Decisions from '@jasminedale/decisions'

const MILLISECONDS_PER_SECOND = 1_000

export class FallbackBucket {
  private tokens = 0

  constructor (private refilledAt: Decisions.Clock.Milliseconds) {}

  /** Decides about one request. `rate` and `burst` are the entry's part of the limit. */
  admits (rate: number, burst: number, now: Decisions.Clock.Milliseconds): boolean {
    const refill = Math.max(0, now - this.refilledAt) * rate / MILLISECONDS_PER_SECOND
    this.tokens = Math.min(this.tokens + refill, Math.max(1, burst))
    this.refilledAt = now
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }

  /** Takes back an admitted request that has not run. */
  giveBack (): void {
    this.tokens += 1
  }
}
