/** How long an attempt may stay silent before an idempotent request is tried elsewhere. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Requests from './requests.js'

/** Multiple of the target's usual latency; rare slow answers stay below it. */
const LATENCY_FACTOR = 10
/** A pause of a healthy process, as for garbage collection, is shorter. */
const MINIMUM = Clock.milliseconds(250)
/** Share of the time to the deadline after which there is still time for another attempt. */
const DEADLINE_SHARE = 0.4

/** Milliseconds of silence after which the attempt is given up for another one. */
export function patience (request: Requests.Request, attempt: Requests.Attempt, turn: Controllers.Turn): Clock.Milliseconds {
  const share = DEADLINE_SHARE * Clock.between(request.arrivedAt, request.deadline)
  const latency = attempt.target === undefined ? undefined : turn.board.requests.estimates.latency(attempt.target, turn.now)
  const usual = latency === undefined ? share : Math.max(MINIMUM, LATENCY_FACTOR * latency)
  return Clock.milliseconds(Math.min(usual, share))
}

/** The open attempt that has been silent for too long, if the request can run elsewhere. */
export function overdue (request: Requests.Request, turn: Controllers.Turn): Requests.Attempt | undefined {
  if (!request.idempotent || request.relayed || request.arrival.hop === 'host') return undefined
  const attempt = request.attempts.at(-1)
  if (attempt === undefined || request.closed.has(attempt.attempt)) return undefined
  return Clock.between(attempt.startedAt, turn.now) >= patience(request, attempt, turn) ? attempt : undefined
}
