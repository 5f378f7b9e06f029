/** Chooses targets, makes attempts and retries within the budgets. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import * as Policies from '../core/policy.js'
import * as Refusals from '../core/refusal.js'
import type * as Requests from './requests.js'

export class Routing extends Controllers.Controller {
  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'request-arrived': open(event, turn); break
      case 'placement-wanted': place(event.request, turn); break
      case 'attempt-refused': fail(event.request, event.refusal, turn); break
      case 'attempt-responded': relay(event, turn); break
      case 'attempt-finished': finish(event, turn); break
      case 'placement-failed': refuse(event, turn); break
      default: break
    }
  }
}

function open (event: Events.RequestArrived, turn: Controllers.Turn): void {
  const policy = turn.board.configuration.policyFor(event, turn.now)
  const allowed = Math.min(event.remaining ?? policy.deadline, policy.deadlineMaximum)
  turn.board.requests.byId.set(event.request, {
    arrival: event,
    policy,
    idempotent: Policies.isIdempotent(policy, event.method),
    arrivedAt: turn.now,
    deadline: Clock.milliseconds(turn.now + allowed),
    firstAttempt: Ids.attemptId(turn.freshId()),
    attempts: [],
    relayed: false
  })
}

function place (id: Ids.RequestId, turn: Controllers.Turn): void {
  const request = turn.board.requests.get(id)
  if (request === undefined) return
  const target = turn.random.pick(turn.board.targets.ofService(request.arrival.service))
  if (target === undefined) {
    fail(id, Refusals.notRun('service-unknown', `No backend server announces service ${request.arrival.service}.`), turn)
    return
  }
  const attempt = Ids.attemptId(turn.freshId())
  const local = target.host === turn.board.identity.node
  request.attempts.push({ attempt, hop: local ? 'dispatch' : 'host', target: target.target, node: target.host, startedAt: turn.now })
  if (local) {
    turn.raise({ kind: 'admission-wanted', request: id, attempt, target: target.target })
    return
  }
  const address = turn.board.members.get(target.host)?.address
  if (address === undefined) return
  const remaining = Clock.between(turn.now, request.deadline)
  const earlierAttempts = request.arrival.earlierAttempts + request.attempts.length - 1
  turn.emit({ kind: 'forward', request: id, attempt, hop: 'host', node: target.host, address, target: target.target, remaining, earlierAttempts })
}

function relay (event: Events.AttemptResponded, turn: Controllers.Turn): void {
  const request = turn.board.requests.get(event.request)
  if (request === undefined) return
  request.relayed = true
  turn.emit({ kind: 'relay', request: event.request, attempt: event.attempt })
}

function finish (event: Events.AttemptFinished, turn: Controllers.Turn): void {
  const request = turn.board.requests.get(event.request)
  if (request === undefined) return
  if (request.relayed) {
    turn.board.requests.byId.delete(event.request)
    return
  }
  fail(event.request, refusalFor(event.end, request), turn)
}

function refusalFor (end: Events.AttemptEnd, request: Requests.Request): Refusals.Refusal {
  switch (end.kind) {
    case 'refused': return end.refusal
    case 'unreachable': return Refusals.notRun('upstream-unreachable', 'The connection could not be opened.')
    case 'timed-out': return Refusals.unknown('upstream-timeout', 'No response arrived before the deadline.')
    case 'cancelled': return Refusals.unknown('caller-cancelled', 'The caller cancelled the request.')
    case 'complete':
    case 'disconnected':
      return Refusals.unknown('upstream-disconnected', `The connection for ${request.arrival.service} was lost.`)
  }
}

function fail (id: Ids.RequestId, refusal: Refusals.Refusal, turn: Controllers.Turn): void {
  turn.raise({ kind: 'placement-failed', request: id, refusal })
}

function refuse (event: Events.PlacementFailed, turn: Controllers.Turn): void {
  if (turn.board.keys.held.has(event.request)) return
  turn.board.requests.byId.delete(event.request)
  turn.emit({ kind: 'refuse', request: event.request, refusal: event.refusal })
}
