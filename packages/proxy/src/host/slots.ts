/** Concurrency limit of the local target and the queue before it, by priority and order of arrival. */
import type * as Decisions from '@jasminedale/decisions'

export interface Waiting {
  readonly priority: number
  readonly deadline: Decisions.Clock.Milliseconds
  /** Instant until which an answer is fully useful. */
  readonly usefulUntil: Decisions.Clock.Milliseconds
  /** The slot is taken for this request. */
  start (): void
  /** The request can no longer finish before its deadline. */
  expire (): void
}

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
  canWait (entry: Pick<Waiting, 'priority' | 'deadline' | 'usefulUntil'>, mean: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): boolean {
    return this.isTimely(entry, this.queue.filter(other => other.priority <= entry.priority).length, mean, now)
  }

  /** Expected time until a request behind `ahead` others starts. */
  expectedWait (ahead: number, mean: Decisions.Clock.Milliseconds): number {
    return (ahead + 1) * mean / this.limit
  }

  /** Adds a request; less urgent ones that can no longer finish in time because of it are turned away at once. */
  enqueue (entry: Waiting, mean: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    const position = this.queue.findIndex(other => other.priority > entry.priority)
    if (position < 0) {
      this.queue.push(entry)
      return
    }
    this.queue.splice(position, 0, entry)
    const late = this.queue.filter((other, ahead) => ahead > position && !this.isTimely(other, ahead, mean, now))
    this.queue = this.queue.filter(other => !late.includes(other))
    for (const other of late) other.expire()
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

  /** Beyond a short queue only answers that are still fully useful are worth a wait: a long queue makes all of them late. */
  private isTimely (entry: Pick<Waiting, 'deadline' | 'usefulUntil'>, ahead: number, mean: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): boolean {
    const end = now + this.expectedWait(ahead, mean) + mean
    return end <= (ahead < this.limit ? entry.deadline : Math.min(entry.deadline, entry.usefulUntil))
  }
}
