/** One local target's running and waiting work. */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import * as ConcurrencyLimits from './concurrency-limit.js'
import type * as Limits from './limits.js'
import * as ServiceTimes from './service-time.js'
import * as WorkQueues from './work-queue.js'

/** A target has room for about 400 connections; half of them may wait. */
const QUEUE_MAXIMUM = 200

export class Lane implements Limits.TargetLimit {
  readonly queue = new WorkQueues.WorkQueue()
  readonly concurrency: ConcurrencyLimits.ConcurrencyLimit
  private readonly startedAt = new Map<Ids.AttemptId, Clock.Milliseconds>()
  private readonly serviceTime = new ServiceTimes.ServiceTime()
  /** Share of the target's work during its return from ejection. */
  private weight = 1
  /** A share below one slot leaves the slot idle until this instant. */
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

  /** On the way back from ejection the target gets a share of its work and no queue. */
  isReturning (): boolean {
    return this.weight < 1
  }

  hasRoom (now: Clock.Milliseconds): boolean {
    return this.running < this.limit && (this.pausedUntil === undefined || this.pausedUntil <= now)
  }

  /** Whether a request that starts now can finish in time. An idle target always tries, so that a wrong estimate corrects itself. */
  canStart (deadline: Clock.Milliseconds, now: Clock.Milliseconds): boolean {
    if (now >= deadline) return false
    return this.running === 0 || now + this.serviceTime.mean <= deadline
  }

  /** Whether a request behind `ahead` others very likely finishes in time. */
  canWait (deadline: Clock.Milliseconds, ahead: number, now: Clock.Milliseconds): boolean {
    return now + this.waitFor(ahead) + this.serviceTime.high <= deadline
  }

  /** Expected time in ms until a request behind `ahead` others starts. */
  waitFor (ahead: number): number {
    return (ahead + 1) * this.serviceTime.mean / this.limit
  }

  isFull (): boolean {
    return this.queue.length >= QUEUE_MAXIMUM
  }

  start (attempt: Ids.AttemptId, now: Clock.Milliseconds): void {
    this.startedAt.set(attempt, now)
  }

  /** Frees the attempt's slot; false when it holds none, so that no slot is counted back twice. */
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

  holds (attempt: Ids.AttemptId): boolean {
    return this.startedAt.has(attempt)
  }
}
