/** Concurrency limit of the local target and the queue before it, by priority and order of arrival. */
import type * as Decisions from '@jasminedale/decisions'

export interface Waiting {
  readonly priority: number
  readonly deadline: Decisions.Clock.Milliseconds
  /** The slot is taken for this request. */
  start (): void
  /** The request can no longer finish before its deadline. */
  expire (): void
}

/** Waiting requests per slot; more would wait for longer than their deadlines. */
const QUEUE_PER_SLOT = 8

export class Slots {
  private running = 0
  private limit = 1
  private queue: Waiting[] = []

  get busy (): number {
    return this.running
  }

  get waiting (): number {
    return this.queue.length
  }

  get capacity (): number {
    return this.limit
  }

  resize (limit: number): void {
    this.limit = Math.max(1, limit)
  }

  hasRoom (): boolean {
    return this.running < this.limit && this.queue.length === 0
  }

  /** Takes a free slot at once; the caller has checked `hasRoom`. */
  take (): void {
    this.running += 1
  }

  /** Whether a request that joins the queue now is likely to finish in time. */
  canWait (entry: Pick<Waiting, 'priority' | 'deadline'>, mean: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): boolean {
    const ahead = this.queue.filter(other => other.priority <= entry.priority).length
    if (ahead >= this.limit * QUEUE_PER_SLOT) return false
    return now + this.expectedWait(ahead, mean) + mean <= entry.deadline
  }

  /** Expected time until a request behind `ahead` others starts. */
  expectedWait (ahead: number, mean: Decisions.Clock.Milliseconds): number {
    return (ahead + 1) * mean / this.limit
  }

  enqueue (entry: Waiting): void {
    const position = this.queue.findIndex(other => other.priority > entry.priority)
    if (position < 0) this.queue.push(entry)
    else this.queue.splice(position, 0, entry)
  }

  /** Withdraws a waiting request; false when it does not wait. */
  remove (entry: Waiting): boolean {
    const index = this.queue.indexOf(entry)
    if (index >= 0) this.queue.splice(index, 1)
    return index >= 0
  }

  /** Frees a slot and starts waiting requests that can still finish. */
  release (mean: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    this.running = Math.max(0, this.running - 1)
    while (this.running < this.limit) {
      const next = this.queue.shift()
      if (next === undefined) return
      if (now + mean > next.deadline) {
        next.expire()
        continue
      }
      this.running += 1
      next.start()
    }
  }

  /** Turns all waiting requests away. */
  clear (): void {
    for (const entry of this.queue.splice(0)) entry.expire()
  }
}
