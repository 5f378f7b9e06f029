/** Concurrency and rate limit of the local target, with a queue of the requests that wait for both. */
import type * as Decisions from '@jasminedale/decisions'
import type * as RunningWorks from '../costs/running-work.js'
import * as PriorityQueues from './priority-queue.js'
import type * as RateLimits from './rate-limit.js'
import type * as RequestQueues from './request-queue.js'

export type QueuedRequest = RequestQueues.QueuedRequest

export class Slots {
  private busyCount = 0
  private limit = 1
  /** Expected cost of what runs; undefined while waits are estimated from the mean service time. */
  private running: RunningWorks.RunningWork | undefined

  constructor (private readonly rateLimit: RateLimits.RateLimit, private queue: RequestQueues.RequestQueue = new PriorityQueues.PriorityQueue()) {}

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

  /** Replaces the order of the queue. Those that wait stay in it, as far as they can finish in time. */
  useQueue (queue: RequestQueues.RequestQueue, meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    const waiting = this.queue.takeAll()
    this.queue = queue
    for (const entry of waiting) this.enqueue(entry, meanServiceTime, now)
  }

  /** Estimates waits from the expected rest of what runs; from the mean service time if undefined. */
  useRunningWork (running: RunningWorks.RunningWork | undefined): void {
    this.running = running
  }

  /** Expected cost in ms of what waits. */
  get queuedWork (): number {
    return this.queue.work
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

  /** Counts the work of a request that has started without waiting. */
  recordStart (entry: RequestQueues.Applicant, meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    this.queue.recordStart(entry, this.pace(meanServiceTime, now))
  }

  /** Milliseconds until the rate limit lets the next queued request take a free slot; undefined if no slot is free or none waits. */
  timeUntilStart (now: Decisions.Clock.Milliseconds): number | undefined {
    return this.busyCount < this.limit && this.queue.length > 0 ? this.rateLimit.timeUntilToken(now) : undefined
  }

  /** Whether a request that enters the queue now is expected to finish in time. */
  mayQueue (entry: RequestQueues.Applicant, meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): boolean {
    return this.excess(entry, meanServiceTime, now) <= 0
  }

  /** Milliseconds by which a request that enters the queue now is expected to finish too late; at most zero if it is in time. */
  excess (entry: RequestQueues.Applicant, meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): number {
    return this.queue.excess(entry, this.pace(meanServiceTime, now))
  }

  /** Adds a request, and evicts others that are no longer expected to finish in time because of it. */
  enqueue (entry: QueuedRequest, meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    for (const other of this.queue.add(entry, this.pace(meanServiceTime, now))) other.expire()
  }

  /** Removes a request from the queue; returns whether it was there. */
  remove (entry: QueuedRequest): boolean {
    return this.queue.remove(entry)
  }

  /** Frees a slot and starts queued requests; see `startQueued`. */
  release (meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    this.busyCount = Math.max(0, this.busyCount - 1)
    this.startQueued(meanServiceTime, now)
  }

  /** Starts queued requests while there are slots and the rate limit allows it. Those that can no longer meet their deadline expire. */
  startQueued (meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    while (this.queue.length > 0 && this.busyCount < this.limit && this.rateLimit.timeUntilToken(now) === 0) {
      const pace = this.pace(meanServiceTime, now)
      const hopeless = this.queue.takeHopeless(pace)
      for (const entry of hopeless) entry.expire()
      if (hopeless.length > 0) continue
      const next = this.queue.takeNext(pace)
      if (next === undefined) return
      this.acquire(now)
      next.start()
    }
  }

  /** Expected time in ms until a slot is free for the first of the queue. */
  private untilFree (meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): number {
    return this.running === undefined || this.running.size === 0 ? meanServiceTime / this.limit : this.busyCount < this.limit ? 0 : this.running.untilFirstEnd(now)
  }

  private pace (meanServiceTime: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): RequestQueues.Pace {
    return { now, slots: this.limit, meanServiceTime, untilFree: this.untilFree(meanServiceTime, now), interval: this.rateLimit.interval }
  }
}
