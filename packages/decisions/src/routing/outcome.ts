/** Interprets the end of an attempt: the refusal for the requester and what it shows about the target. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Refusals from '../core/refusal.js'
import type * as Requests from './requests.js'
import type * as Topologies from './topology.js'

/**
 * Times for which a target is avoided, by the reason of the refusal or failure. Hosts refuse at once, so a target that
 * is tried too early costs one refusal.
 */
const LEAVING_AVOIDANCE = Clock.minutes(1)
const EJECTED_AVOIDANCE = Clock.seconds(2)
const UNKNOWN_AVOIDANCE = Clock.seconds(2)
const UNREACHABLE_AVOIDANCE = Clock.seconds(2)
/** Time for which a target counts as fully loaded after a refusal as overloaded. */
const OVERLOADED_HOLD = Clock.milliseconds(500)
/** Upper bound for the time that a host's refusal gives in `retryAfter`. */
const AVOIDANCE_MAXIMUM = Clock.seconds(10)

/** The refusal that describes the end of an attempt that gave no response. */
export function refusalFor (end: Events.AttemptEnd, request: Requests.Request, hop: Requests.Attempt['hop']): Refusals.Refusal {
  const { service } = request.arrival
  if (end.kind === 'refused') return end.refusal
  // An earlier request with the same key may have run at the owner, so the outcome of an unreachable owner is unknown.
  if (hop === 'owner') return Refusals.unknown('key-owner-unreachable', 'The node that owns the idempotency key gave no answer.')
  switch (end.kind) {
    case 'unreachable': return Refusals.notRun('upstream-unreachable', `No connection to a backend server of ${service} could be opened.`)
    case 'timed-out': return Refusals.unknown('upstream-timeout', 'No response arrived before the deadline.')
    case 'cancelled': return Refusals.unknown('caller-cancelled', 'The request was cancelled.')
    case 'complete':
    case 'disconnected':
      return Refusals.unknown('upstream-disconnected', `The connection to a backend server of ${service} was lost.`)
  }
}

/** The refusal for the requester. Its outcome is `not-run` only if none of the attempts can have run. */
export function finalRefusal (refusal: Refusals.Refusal, request: Requests.Request): Refusals.Refusal {
  return request.mayHaveRun ? { ...refusal, outcome: 'unknown' } : refusal
}

/** Whether the end of the attempt shows that the target is unavailable, and the entry did not know this when it chose it. */
export function revealsUnavailability (end: Events.AttemptEnd, attempt: Requests.Attempt): boolean {
  if (attempt.avoided === true) return false
  if (end.kind === 'unreachable') return true
  return end.kind === 'refused' && end.refusal.outcome === 'not-run' && UNAVAILABLE_KINDS.has(end.refusal.kind)
}

const UNAVAILABLE_KINDS: ReadonlySet<Refusals.RefusalKind> = new Set([
  'target-leaving', 'target-ejected', 'target-unknown', 'node-leaving', 'upstream-unreachable'
])

/** Updates the estimates and the avoidance of the target, its host and its region after an attempt. */
export function recordAttemptEnd (end: Events.AttemptEnd, attempt: Requests.Attempt, topology: Topologies.Topology, context: Controllers.StepContext): void {
  const { target: id } = attempt
  if (id === undefined) return
  const { estimates } = context.board.requests
  const region = context.board.targets.get(id)?.region
  switch (end.kind) {
    case 'refused': recordRefusal(end.refusal, attempt, context); break
    case 'unreachable': recordUnreachable(attempt, context); break
    case 'timed-out':
    case 'disconnected':
      estimates.recordFailure(id, Clock.between(attempt.startedAt, context.now), context.now)
      break
    case 'complete':
    case 'cancelled':
      break
  }
  if (region === undefined || end.kind === 'cancelled') return
  const hasNoAnswer = end.kind === 'unreachable' || end.kind === 'timed-out' || end.kind === 'disconnected'
  if (hasNoAnswer) topology.recordNoAnswer(region, attempt.node, context.now)
  else topology.recordAnswer(region)
}

function recordUnreachable (attempt: Requests.Attempt, context: Controllers.StepContext): void {
  const until = Clock.add(context.now, UNREACHABLE_AVOIDANCE)
  if (attempt.hop === 'host') context.board.requests.avoidance.avoidNode(attempt.node, until)
  else avoidTarget(attempt, until, context)
}

function recordRefusal (refusal: Refusals.Refusal, attempt: Requests.Attempt, context: Controllers.StepContext): void {
  const until = (duration: number): Clock.Milliseconds => Clock.milliseconds(context.now + Math.min(duration, AVOIDANCE_MAXIMUM))
  switch (refusal.kind) {
    case 'target-leaving': avoidTarget(attempt, Clock.add(context.now, LEAVING_AVOIDANCE), context); break
    case 'node-leaving': context.board.requests.avoidance.avoidNode(attempt.node, Clock.add(context.now, LEAVING_AVOIDANCE)); break
    case 'target-ejected': avoidTarget(attempt, until(refusal.retryAfter ?? EJECTED_AVOIDANCE), context); break
    case 'target-unknown': avoidTarget(attempt, until(UNKNOWN_AVOIDANCE), context); break
    case 'upstream-unreachable': avoidTarget(attempt, until(UNREACHABLE_AVOIDANCE), context); break
    case 'overloaded':
      if (attempt.target !== undefined) context.board.requests.estimates.recordOverload(attempt.target, until(refusal.retryAfter ?? OVERLOADED_HOLD), context.now)
      break
    default: break
  }
}

function avoidTarget (attempt: Requests.Attempt, until: Clock.Milliseconds, context: Controllers.StepContext): void {
  if (attempt.target === undefined) return
  const incarnation = context.board.targets.get(attempt.target)?.incarnation
  context.board.requests.avoidance.avoidTarget(attempt.target, incarnation, until)
}
