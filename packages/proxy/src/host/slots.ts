/** Concurrency and rate limit of the local target, with a queue ordered by priority and then by arrival. */
import type * as Decisions from '@jasminedale/decisions'
import type * as RateLimits from './rate-limit.js'

export interface QueuedRequest {
  /** Priority under overload; 0 is the most urgent. */
  readonly priority: number
  readonly deadline: Decisions.Clock.Milliseconds
  /** When the latency objective is exceeded. */
  readonly objectiveDeadline: Decisions.Clock.Milliseconds
  /** Called when the request gets a slot. */
  start (): void
  /** Called when the request is removed from the queue, because it can no longer finish in time. */
  expire (): void
}

export class Slots {
  private busyCount = 0
  private limit = 1
  private queue: QueuedRequest[] = []

  constructor (private readonly rateLimit: RateLimits.RateLimit) {}

  /** Number of slots in use. */
  get busy (): number {
    return this.busyCount
  }

  /** Number of requests in the queue. */
  get queued (): number {
    return this.queue.length
  }

  get capacity (): number {
    return this.limit
  }

  resize (limit: number): void {
    this.limit = Math.max(1, limit)
  }

  /** Whether a request may start at once, without overtaking requests in the queue. */
  mayStart (now: Decisions.Clock.Milliseconds): boolean {
    return this.busyCount < this.limit && this.queue.length === 0 && this.rateLimit.timeUntilToken(now) === 0
  }

  /** Takes a free slot. The caller must have checked `mayStart`. */
  acquire (now: Decisions.Clock.Milliseconds): void {
    this.busyCount += 1
    this.rateLimit.take(now)
  }

  /** Milliseconds until the rate limit lets the next queued request take a free slot; undefined if no slot is free or none waits. */
  timeUntilStart (now: Decisions.Clock.Milliseconds): number | undefined {
    return this.busyCount < this.limit && this.queue.length > 0 ? this.rateLimit.timeUntilToken(now) : undefined
  }

  /** Whether a request that enters the queue now is expected to finish in time. */
  mayQueue (entry: Pick<QueuedRequest, 'priority' | 'deadline' | 'objectiveDeadline'>, meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): boolean {
    return this.canFinishInTime(entry, this.queue.filter(other => other.priority <= entry.priority).length, meanServiceTime, now)
  }

  /** Expected time in ms until a request with `ahead` others before it starts. */
  expectedWait (ahead: number, meanServiceTime: Decisions.Clock.Milliseconds): number {
    return (ahead + 1) * Math.max(meanServiceTime / this.limit, this.rateLimit.interval)
  }

  /** Adds a request, and evicts less urgent ones that are no longer expected to finish in time because of it. */
  enqueue (entry: QueuedRequest, meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    const position = this.queue.findIndex(other => other.priority > entry.priority)
    if (position < 0) {
      this.queue.push(entry)
      return
    }
    this.queue.splice(position, 0, entry)
    const evicted = this.queue.filter((other, ahead) => ahead > position && !this.canFinishInTime(other, ahead, meanServiceTime, now))
    this.queue = this.queue.filter(other => !evicted.includes(other))
    for (const other of evicted) other.expire()
  }

  /** Removes a request from the queue; returns whether it was there. */
  remove (entry: QueuedRequest): boolean {
    const index = this.queue.indexOf(entry)
    if (index >= 0) this.queue.splice(index, 1)
    return index >= 0
  }

  /** Frees a slot and starts queued requests; see `startQueued`. */
  release (meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    this.busyCount = Math.max(0, this.busyCount - 1)
    this.startQueued(meanServiceTime, now)
  }

  /** Starts queued requests while there are slots and the rate limit allows it. Those that can no longer meet their deadline expire. */
  startQueued (meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    while (this.busyCount < this.limit && this.rateLimit.timeUntilToken(now) === 0) {
      const next = this.queue.shift()
      if (next === undefined) return
      if (now + meanServiceTime > next.deadline) {
        next.expire()
        continue
      }
      this.acquire(now)
      next.start()
    }
  }

  /**
   * Requests behind a short queue must meet their deadline, those behind a longer one also their latency objective:
   * under a lasting overload, a long queue would make every response late.
   */
  private canFinishInTime (entry: Pick<QueuedRequest, 'deadline' | 'objectiveDeadline'>, ahead: number, meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): boolean {
    const expectedEnd = now + this.expectedWait(ahead, meanServiceTime) + meanServiceTime
    return expectedEnd <= (ahead < this.limit ? entry.deadline : Math.min(entry.deadline, entry.objectiveDeadline))
  }
}
