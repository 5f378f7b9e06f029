/** Concurrency limit and queue of one target of this node. */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import * as ConcurrencyLimits from './concurrency-limit.js'
import type * as Limits from './limits.js'
import * as ServiceTimes from './service-time.js'
import * as WorkQueues from './work-queue.js'

/** A target accepts about 400 connections; up to half of them may be queued attempts. */
const QUEUE_LENGTH_MAXIMUM = 200

/** Its fields are part of the explain report, so their names stay. */
export class TargetLimiter implements Limits.TargetLimit {
  readonly queue = new WorkQueues.WorkQueue()
  readonly concurrency: ConcurrencyLimits.ConcurrencyLimit
  private readonly startedAt = new Map<Ids.AttemptId, Clock.Milliseconds>()
  private readonly serviceTime = new ServiceTimes.ServiceTime()
  /** Fraction of the concurrency limit that may be used while the target returns from ejection; otherwise 1. */
  private weight = 1
  /** If the weight leaves less than one slot, that slot stays idle until this instant after each request. */
  private pausedUntil: Clock.Milliseconds | undefined

  constructor (readonly target: Ids.TargetId, readonly incarnation: Ids.Incarnation, slots: number) {
    this.concurrency = new ConcurrencyLimits.ConcurrencyLimit(slots)
  }

  get limit (): number {
    return Math.max(1, Math.floor(this.concurrency.limit * this.weight))
  }

  get running (): number {
    return this.startedAt.size
  }

  get queued (): number {
    return this.queue.length
  }

  setWeight (weight: number): void {
    this.weight = weight
    if (weight >= 1) this.pausedUntil = undefined
  }

  /** Whether the target returns from ejection. Until it has its full weight, it gets part of its work and no queue. */
  isReturning (): boolean {
    return this.weight < 1
  }

  hasFreeSlot (now: Clock.Milliseconds): boolean {
    return this.running < this.limit && (this.pausedUntil === undefined || this.pausedUntil <= now)
  }

  /**
   * Whether a request that starts now can finish before `deadline`. An idle target takes every request
   * whose deadline has not passed, so that new samples correct an estimate that is too high.
   */
  canStart (deadline: Clock.Milliseconds, now: Clock.Milliseconds): boolean {
    if (now >= deadline) return false
    return this.running === 0 || now + this.serviceTime.mean <= deadline
  }

  /** Whether a request that is queued behind `ahead` others almost certainly finishes before `deadline`. */
  canWait (deadline: Clock.Milliseconds, ahead: number, now: Clock.Milliseconds): boolean {
    return now + this.expectedWait(ahead) + this.serviceTime.upperEstimate <= deadline
  }

  /** Expected time in ms until a request that is queued behind `ahead` others starts. */
  expectedWait (ahead: number): number {
    return (ahead + 1) * this.serviceTime.mean / this.limit
  }

  isQueueFull (): boolean {
    return this.queue.length >= QUEUE_LENGTH_MAXIMUM
  }

  start (attempt: Ids.AttemptId, now: Clock.Milliseconds): void {
    this.startedAt.set(attempt, now)
  }

  /** Frees the slot of an attempt. Returns false if the attempt holds none, so that no slot is freed twice. */
  finish (attempt: Ids.AttemptId, completed: boolean, now: Clock.Milliseconds): boolean {
    const started = this.startedAt.get(attempt)
    if (started === undefined) return false
    this.startedAt.delete(attempt)
    const elapsed = Clock.between(started, now)
    if (completed) this.serviceTime.add(elapsed)
    const share = this.concurrency.limit * this.weight
    if (share < 1) this.pausedUntil = Clock.milliseconds(now + elapsed * (1 / share - 1))
    return true
  }

  isRunning (attempt: Ids.AttemptId): boolean {
    return this.startedAt.has(attempt)
  }
}
