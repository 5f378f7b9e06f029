/**
 * Cumulative sum (CUSUM) of log-likelihood ratios in nats. Each attempt counts once: observations while it is
 * in flight add a provisional increment, which the final one replaces.
 */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

export class Cusum {
  private sum = 0
  private windowStart = Number.NEGATIVE_INFINITY
  private windowGain = 0
  /** Increments added so far for attempts in flight. */
  private readonly provisionalIncrements = new Map<Ids.AttemptId, number>()

  /** Adds at most `windowGainMaximum` nats within each window of `windowDuration` ms, as observations close in time are correlated. */
  constructor (private readonly windowGainMaximum = Number.POSITIVE_INFINITY, private readonly windowDuration = 0) {}

  get value (): number {
    return this.sum
  }

  /** Adds the increment of an attempt that ended, in place of its provisional one. */
  addFinal (attempt: Ids.AttemptId, increment: number, at: Clock.Milliseconds): void {
    this.add(increment - (this.provisionalIncrements.get(attempt) ?? 0), at)
    this.provisionalIncrements.delete(attempt)
  }

  /** Raises the provisional increment of an attempt in flight; a lower one is ignored. */
  addProvisional (attempt: Ids.AttemptId, increment: number, at: Clock.Milliseconds): void {
    const earlier = this.provisionalIncrements.get(attempt) ?? 0
    if (increment > earlier) this.provisionalIncrements.set(attempt, earlier + this.add(increment - earlier, at))
  }

  /** Subtracts the provisional increment of an attempt. */
  retract (attempt: Ids.AttemptId): void {
    this.sum = Math.max(0, this.sum - (this.provisionalIncrements.get(attempt) ?? 0))
    this.provisionalIncrements.delete(attempt)
  }

  /** Makes the provisional increment of an attempt final. */
  finalize (attempt: Ids.AttemptId): void {
    this.provisionalIncrements.delete(attempt)
  }

  /** Lowers the sum to `limit`, so that it falls quickly once the baseline shows the same slowness. */
  cap (limit: number): void {
    this.sum = Math.min(this.sum, limit)
  }

  reset (): void {
    this.sum = 0
    this.provisionalIncrements.clear()
  }

  /** Returns the increment that was added, which is smaller than `increment` when the limit of the window is reached. */
  private add (increment: number, at: Clock.Milliseconds): number {
    if (at - this.windowStart >= this.windowDuration) {
      this.windowStart = at
      this.windowGain = 0
    }
    const added = Math.min(increment, this.windowGainMaximum - this.windowGain)
    this.windowGain += Math.max(0, added)
    this.sum = Math.max(0, this.sum + added)
    return added
  }
}
