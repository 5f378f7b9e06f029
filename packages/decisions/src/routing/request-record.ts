/** Creates and removes the records of requests, and updates the estimates of targets from their responses. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import * as Policies from '../core/policy.js'
import type * as Requests from './requests.js'

export function open (event: Events.RequestArrived, context: Controllers.StepContext): Requests.Request {
  const policy = context.board.configuration.policyFor(event, context.now)
  const timeLimit = Math.min(event.remaining ?? policy.deadline, policy.deadlineMaximum)
  const request: Requests.Request = {
    arrival: event,
    policy,
    idempotent: Policies.isIdempotent(policy, event.method),
    arrivedAt: context.now,
    deadline: Clock.milliseconds(context.now + timeLimit),
    firstAttempt: Ids.attemptId(context.freshId()),
    attempts: [],
    closed: new Set(),
    decisions: [],
    mayHaveRun: false,
    connectionsLost: 0,
    relayed: false,
    relayedStatus: 0,
    expired: false
  }
  context.board.requests.byId.set(event.request, request)
  return request
}

/** Removes the record of a request and raises `request-ended` for the other controllers. */
export function end (request: Requests.Request, requestEnd: Events.RequestEnd, context: Controllers.StepContext): void {
  const { arrival } = request
  context.board.requests.byId.delete(arrival.request)
  context.raise({
    kind: 'request-ended',
    request: arrival.request,
    hop: arrival.hop,
    service: arrival.service,
    policy: request.policy,
    elapsed: Clock.between(request.arrivedAt, context.now),
    end: requestEnd,
    targets: request.attempts.flatMap(attempt => attempt.target ?? []),
    decisions: request.decisions
  })
}

/** Updates the estimates when the head of a response arrives. A response also ends the avoidance of its target and host. */
export function recordResponse (request: Requests.Request, attempt: Requests.Attempt, event: Events.AttemptResponded, context: Controllers.StepContext): void {
  if (attempt.target === undefined || request.arrival.hop === 'host') return
  const { avoidance, estimates } = context.board.requests
  const latency = Clock.between(attempt.startedAt, context.now)
  avoidance.clear(attempt.target, attempt.node)
  if (event.status >= SERVER_ERROR_STATUS) estimates.recordFailure(attempt.target, latency, context.now)
  else estimates.recordResponse(attempt.target, latency, context.now)
  estimates.recordQueueWait(attempt.target, latency, event.serviceTime)
}

const SERVER_ERROR_STATUS = 500

/** Updates the size estimate of the service and corrects what was charged to the link budget for this attempt. */
export function recordResponseSize (request: Requests.Request, attempt: Requests.Attempt, attemptEnd: Events.AttemptEnd, context: Controllers.StepContext): void {
  if (attemptEnd.kind !== 'complete' || attempt.target === undefined || request.arrival.hop === 'host') return
  const { estimates, linkBudget } = context.board.requests
  estimates.recordResponseBytes(request.arrival.service, attemptEnd.bytes)
  if (attempt.chargedBytes !== undefined && attempt.chargedBytes > 0) linkBudget.charge(attemptEnd.bytes - attempt.chargedBytes)
}

/** Raises the latency estimates of targets that have not responded by the deadline. */
export function recordUnanswered (request: Requests.Request, context: Controllers.StepContext): void {
  if (request.arrival.hop === 'host') return
  for (const attempt of request.attempts) {
    if (attempt.target === undefined || request.closed.has(attempt.attempt)) continue
    context.board.requests.estimates.recordFailure(attempt.target, Clock.between(attempt.startedAt, context.now), context.now)
  }
}
