/** What the end of an attempt says about the request and about its target. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Refusals from '../core/refusal.js'
import type * as Requests from './requests.js'
import type * as Topologies from './topology.js'

/** Times for which a target is avoided, by what its host said. Hosts answer at once, so a wrong mark costs one refusal. */
const AVOID_LEAVING = Clock.minutes(1)
const AVOID_EJECTED = Clock.seconds(2)
const AVOID_ABSENT = Clock.seconds(2)
const AVOID_UNREACHABLE = Clock.seconds(2)
const BUSY = Clock.milliseconds(500)
const AVOID_MAXIMUM = Clock.seconds(10)

/** The refusal that describes an attempt without a response. */
export function refusalFor (end: Events.AttemptEnd, request: Requests.Request, hop: Requests.Attempt['hop']): Refusals.Refusal {
  const { service } = request.arrival
  if (end.kind === 'refused') return end.refusal
  // An earlier send of the same key may have run at the owner, so a lost owner is never "not run".
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

/** The refusal for the requester: `not-run` only if no attempt may have run. */
export function finalRefusal (refusal: Refusals.Refusal, request: Requests.Request): Refusals.Refusal {
  return request.mayHaveRun ? { ...refusal, outcome: 'unknown' } : refusal
}

/** Whether the host stated a fact about the target that this entry did not know when it chose it. */
export function isNews (end: Events.AttemptEnd, attempt: Requests.Attempt): boolean {
  if (attempt.avoided === true) return false
  if (end.kind === 'unreachable') return true
  return end.kind === 'refused' && end.refusal.outcome === 'not-run' && AVOIDED_KINDS.has(end.refusal.kind)
}

const AVOIDED_KINDS: ReadonlySet<Refusals.RefusalKind> = new Set([
  'target-leaving', 'target-ejected', 'target-unknown', 'node-leaving', 'upstream-unreachable'
])

/** Keeps what the end of an attempt teaches about its target, host and region. */
export function learn (end: Events.AttemptEnd, attempt: Requests.Attempt, topology: Topologies.Topology, turn: Controllers.Turn): void {
  const { target: id } = attempt
  if (id === undefined) return
  const { estimates } = turn.board.requests
  const region = turn.board.targets.get(id)?.region
  switch (end.kind) {
    case 'refused': learnRefusal(end.refusal, attempt, turn); break
    case 'unreachable': learnUnreachable(attempt, turn); break
    case 'timed-out':
    case 'disconnected':
      estimates.failed(id, Clock.between(attempt.startedAt, turn.now), turn.now)
      break
    case 'complete':
    case 'cancelled':
      break
  }
  if (region === undefined || end.kind === 'cancelled') return
  const missed = end.kind === 'unreachable' || end.kind === 'timed-out' || end.kind === 'disconnected'
  if (missed) topology.missed(region, attempt.node, turn.now)
  else topology.reached(region)
}

function learnUnreachable (attempt: Requests.Attempt, turn: Controllers.Turn): void {
  const until = Clock.add(turn.now, AVOID_UNREACHABLE)
  if (attempt.hop === 'host') turn.board.requests.avoidance.avoidNode(attempt.node, until)
  else avoidTarget(attempt, until, turn)
}

function learnRefusal (refusal: Refusals.Refusal, attempt: Requests.Attempt, turn: Controllers.Turn): void {
  const until = (duration: number): Clock.Milliseconds => Clock.milliseconds(turn.now + Math.min(duration, AVOID_MAXIMUM))
  switch (refusal.kind) {
    case 'target-leaving': avoidTarget(attempt, Clock.add(turn.now, AVOID_LEAVING), turn); break
    case 'node-leaving': turn.board.requests.avoidance.avoidNode(attempt.node, Clock.add(turn.now, AVOID_LEAVING)); break
    case 'target-ejected': avoidTarget(attempt, until(refusal.retryAfter ?? AVOID_EJECTED), turn); break
    case 'target-unknown': avoidTarget(attempt, until(AVOID_ABSENT), turn); break
    case 'upstream-unreachable': avoidTarget(attempt, until(AVOID_UNREACHABLE), turn); break
    case 'overloaded':
      if (attempt.target !== undefined) turn.board.requests.estimates.busy(attempt.target, until(refusal.retryAfter ?? BUSY), turn.now)
      break
    default: break
  }
}

function avoidTarget (attempt: Requests.Attempt, until: Clock.Milliseconds, turn: Controllers.Turn): void {
  if (attempt.target === undefined) return
  const incarnation = turn.board.targets.get(attempt.target)?.incarnation
  turn.board.requests.avoidance.avoidTarget(attempt.target, incarnation, until)
}
