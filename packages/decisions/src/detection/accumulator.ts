/** A CUSUM in nats that counts each attempt once, also when it is observed repeatedly. */
import type * as Ids from '../core/ids.js'

export class Accumulator {
  private sum = 0
  /** Contributions of attempts in flight, replaced by the final one. */
  private readonly provisional = new Map<Ids.AttemptId, number>()

  get value (): number {
    return this.sum
  }

  /** Counts an attempt that ended. */
  settle (attempt: Ids.AttemptId, increment: number): void {
    this.add(increment - (this.provisional.get(attempt) ?? 0))
    this.provisional.delete(attempt)
  }

  /** Counts an attempt that is still in flight; only growth is added. */
  hold (attempt: Ids.AttemptId, increment: number): void {
    const earlier = this.provisional.get(attempt) ?? 0
    if (increment <= earlier) return
    this.add(increment - earlier)
    this.provisional.set(attempt, increment)
  }

  waive (attempt: Ids.AttemptId): void {
    this.settle(attempt, 0)
  }

  /** Keeps what an attempt has contributed and forgets the attempt. */
  abandon (attempt: Ids.AttemptId): void {
    this.provisional.delete(attempt)
  }

  add (increment: number): void {
    this.sum = Math.max(0, this.sum + increment)
  }

  /** Lowers the sum to `limit`, so that it falls quickly once the baseline has caught up. */
  cap (limit: number): void {
    this.sum = Math.min(this.sum, limit)
  }

  reset (): void {
    this.sum = 0
    this.provisional.clear()
  }
}
