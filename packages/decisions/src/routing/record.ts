/** Opens and ends the records of requests, and keeps what their attempts teach about targets. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import * as Policies from '../core/policy.js'
import type * as Requests from './requests.js'

export function open (event: Events.RequestArrived, turn: Controllers.Turn): Requests.Request {
  const policy = turn.board.configuration.policyFor(event, turn.now)
  const allowed = Math.min(event.remaining ?? policy.deadline, policy.deadlineMaximum)
  const request: Requests.Request = {
    arrival: event,
    policy,
    idempotent: Policies.isIdempotent(policy, event.method),
    arrivedAt: turn.now,
    deadline: Clock.milliseconds(turn.now + allowed),
    firstAttempt: Ids.attemptId(turn.freshId()),
    attempts: [],
    closed: new Set(),
    decisions: [],
    mayHaveRun: false,
    connectionsLost: 0,
    relayed: false,
    relayedStatus: 0,
    expired: false
  }
  turn.board.requests.byId.set(event.request, request)
  return request
}

/** Removes the record and tells the other controllers how the request ended. */
export function end (request: Requests.Request, how: Events.RequestEnd, turn: Controllers.Turn): void {
  const { arrival } = request
  turn.board.requests.byId.delete(arrival.request)
  turn.raise({
    kind: 'request-ended',
    request: arrival.request,
    hop: arrival.hop,
    service: arrival.service,
    policy: request.policy,
    elapsed: Clock.between(request.arrivedAt, turn.now),
    end: how,
    targets: request.attempts.flatMap(attempt => attempt.target ?? []),
    decisions: request.decisions
  })
}

/** Keeps the latency of a response head. A response is also proof that the target takes work. */
export function observe (request: Requests.Request, attempt: Requests.Attempt, event: Events.AttemptResponded, turn: Controllers.Turn): void {
  if (attempt.target === undefined || request.arrival.hop === 'host') return
  const { avoidance, estimates } = turn.board.requests
  const latency = Clock.between(attempt.startedAt, turn.now)
  avoidance.clear(attempt.target, attempt.node)
  if (event.status >= SERVER_ERROR) estimates.failed(attempt.target, latency, turn.now)
  else estimates.recordResponse(attempt.target, latency, turn.now)
  estimates.waited(attempt.target, latency, event.serviceTime)
}

const SERVER_ERROR = 500

/** Corrects the estimate of bytes that was charged to the link between regions. */
export function measure (request: Requests.Request, attempt: Requests.Attempt, how: Events.AttemptEnd, turn: Controllers.Turn): void {
  if (how.kind !== 'complete' || attempt.target === undefined || request.arrival.hop === 'host') return
  const { estimates, linkBudget } = turn.board.requests
  estimates.sized(request.arrival.service, how.bytes)
  if (attempt.charged !== undefined && attempt.charged > 0) linkBudget.charge(how.bytes - attempt.charged)
}

/** Raises the latency estimate of targets that had not answered at the deadline. */
export function blame (request: Requests.Request, turn: Controllers.Turn): void {
  if (request.arrival.hop === 'host') return
  for (const attempt of request.attempts) {
    if (attempt.target === undefined || request.closed.has(attempt.attempt)) continue
    turn.board.requests.estimates.failed(attempt.target, Clock.between(attempt.startedAt, turn.now), turn.now)
  }
}
