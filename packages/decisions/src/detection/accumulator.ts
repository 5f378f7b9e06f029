/** A CUSUM in nats that counts each attempt once, also when it is observed repeatedly. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

export class Accumulator {
  private sum = 0
  private spanStart = Number.NEGATIVE_INFINITY
  private gained = 0
  /** Contributions of attempts in flight, replaced by the final one. */
  private readonly provisional = new Map<Ids.AttemptId, number>()

  /** At most `gain` nats are added within each `span` of ms; slow answers of one short pause depend on each other. */
  constructor (private readonly gain = Number.POSITIVE_INFINITY, private readonly span = 0) {}

  get value (): number {
    return this.sum
  }

  /** Counts an attempt that ended. */
  settle (attempt: Ids.AttemptId, increment: number, at: Clock.Milliseconds): void {
    this.add(increment - (this.provisional.get(attempt) ?? 0), at)
    this.provisional.delete(attempt)
  }

  /** Counts an attempt that is still in flight; only growth is added. */
  hold (attempt: Ids.AttemptId, increment: number, at: Clock.Milliseconds): void {
    const earlier = this.provisional.get(attempt) ?? 0
    if (increment > earlier) this.provisional.set(attempt, earlier + this.add(increment - earlier, at))
  }

  waive (attempt: Ids.AttemptId): void {
    this.sum = Math.max(0, this.sum - (this.provisional.get(attempt) ?? 0))
    this.provisional.delete(attempt)
  }

  /** Keeps what an attempt has contributed and forgets the attempt. */
  abandon (attempt: Ids.AttemptId): void {
    this.provisional.delete(attempt)
  }

  /** Lowers the sum to `limit`, so that it falls quickly once the baseline has caught up. */
  cap (limit: number): void {
    this.sum = Math.min(this.sum, limit)
  }

  reset (): void {
    this.sum = 0
    this.provisional.clear()
  }

  /** Returns the part that was added. */
  private add (increment: number, at: Clock.Milliseconds): number {
    if (at - this.spanStart >= this.span) {
      this.spanStart = at
      this.gained = 0
    }
    const added = Math.min(increment, this.gain - this.gained)
    this.gained += Math.max(0, added)
    this.sum = Math.max(0, this.sum + added)
    return added
  }
}
