/** Time without a response after which an attempt of an idempotent request is replaced by a retry on another target. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Requests from './requests.js'

/** Multiple of the target's usual latency; rare slow answers stay below it. */
const LATENCY_FACTOR = 10
/** Pauses of a healthy process, such as garbage collection, are shorter. */
const TIMEOUT_MINIMUM = Clock.milliseconds(250)
/** Upper bound as a fraction of the request's time limit, so that enough time is left for a retry. */
const DEADLINE_SHARE = 0.4

/** The time after the start of the attempt at which it times out. */
export function attemptTimeout (request: Requests.Request, attempt: Requests.Attempt, context: Controllers.StepContext): Clock.Milliseconds {
  const upperBound = DEADLINE_SHARE * Clock.between(request.arrivedAt, request.deadline)
  const latency = attempt.target === undefined ? undefined : context.board.requests.estimates.latency(attempt.target, context.now)
  const timeout = latency === undefined ? upperBound : Math.max(TIMEOUT_MINIMUM, LATENCY_FACTOR * latency)
  return Clock.milliseconds(Math.min(timeout, upperBound))
}

/** The open attempt if it has timed out and the request may be sent to another target. */
export function timedOutAttempt (request: Requests.Request, context: Controllers.StepContext): Requests.Attempt | undefined {
  if (!request.idempotent || request.relayed || request.arrival.hop === 'host') return undefined
  const attempt = request.attempts.at(-1)
  if (attempt === undefined || request.closed.has(attempt.attempt)) return undefined
  return Clock.between(attempt.startedAt, context.now) >= attemptTimeout(request, attempt, context) ? attempt : undefined
}
