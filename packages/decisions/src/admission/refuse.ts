/** The refusals of Admission. Nothing was dispatched, so their outcome is always `not-run`. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as Refusals from '../core/refusal.js'
import type * as TargetLimiters from './target-limiter.js'
import type * as WorkQueues from './work-queue.js'

/** Bounds of `retryAfter`. */
const RETRY_AFTER_MINIMUM_MS = 10
const RETRY_AFTER_MAXIMUM_MS = 5_000

export function refuse (entry: WorkQueues.QueuedAttempt, refusal: Refusals.Refusal, context: Controllers.StepContext): void {
  context.raise({ kind: 'attempt-refused', request: entry.request, attempt: entry.attempt, refusal })
}

export function targetUnknown (target: Ids.TargetId): Refusals.Refusal {
  return Refusals.notRun('target-unknown', `No backend server ${target} is announced on this node.`)
}

export function targetLeaving (target: Ids.TargetId): Refusals.Refusal {
  return Refusals.notRun('target-leaving', `Backend server ${target} is shutting down.`)
}

/** `wait` is the time in ms until the target may take work again. */
export function targetEjected (target: Ids.TargetId, wait: number): Refusals.Refusal {
  return Refusals.notRun('target-ejected', `Backend server ${target} is out of service.`, clampRetryAfter(wait))
}

/** A refusal whose `retryAfter` is the expected wait in the target's queue. */
export function overloaded (limiter: TargetLimiters.TargetLimiter, detail: string): Refusals.Refusal {
  return Refusals.notRun('overloaded', detail, clampRetryAfter(limiter.expectedWait(limiter.queued)))
}

/** Refusal of a queued attempt because of the work ahead: the queue is full, or too little time is left. */
export function displaced (limiter: TargetLimiters.TargetLimiter): Refusals.Refusal {
  return overloaded(limiter, `Work ahead at backend server ${limiter.target} leaves no time before the deadline.`)
}

function clampRetryAfter (wait: number): number {
  return Math.round(Math.min(Math.max(wait, RETRY_AFTER_MINIMUM_MS), RETRY_AFTER_MAXIMUM_MS))
}
