/** Starts, closes and withdraws the attempts of a request. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import * as Ids from '../core/ids.js'
import * as Baselines from './baseline.js'
import type * as Placements from './placement.js'
import type * as Requests from './requests.js'

/** Sends the request to the chosen target, through its host when that is another node. */
export function start (request: Requests.Request, placement: Placements.Placement, turn: Controllers.Turn): void {
  const { target } = placement
  const { board, now } = turn
  const attempt = Ids.attemptId(turn.freshId())
  const local = target.host === board.identity.node
  const charged = placement.crossesRegions ? board.requests.estimates.bytes(request.arrival.service) : 0
  board.requests.linkBudget.charge(charged)
  request.decisions.push(...placement.decisions)
  request.attempts.push({
    attempt, hop: local ? 'dispatch' : 'host', target: target.target, node: target.host, startedAt: now, avoided: placement.avoided, charged
  })
  board.requests.estimates.recordStart(target.target, now)
  if (local) turn.raise({ kind: 'admission-wanted', request: request.arrival.request, attempt, target: target.target })
  else forward(request, attempt, placement, turn)
}

function forward (request: Requests.Request, attempt: Ids.AttemptId, placement: Placements.Placement, turn: Controllers.Turn): void {
  const { target } = placement
  const { arrival } = request
  const address = turn.board.members.get(target.host)?.address
  // Placement chooses only targets whose host is a known member.
  if (address === undefined) return
  const baseline = Baselines.baselineFor(turn.board, arrival.service, target.target)
  turn.emit({
    kind: 'forward',
    request: arrival.request,
    attempt,
    hop: 'host',
    node: target.host,
    address,
    target: target.target,
    remaining: Clock.between(turn.now, request.deadline),
    earlierAttempts: arrival.earlierAttempts + request.attempts.length - 1,
    ...(baseline === undefined ? {} : { baseline })
  })
}

/** The attempt if it is still open; events about any other attempt are late and ignored. */
export function open (request: Requests.Request, attempt: Ids.AttemptId): Requests.Attempt | undefined {
  if (request.closed.has(attempt)) return undefined
  return request.attempts.find(known => known.attempt === attempt)
}

/** Marks an open attempt as ended. */
export function close (request: Requests.Request, attempt: Requests.Attempt, turn: Controllers.Turn): void {
  request.closed.add(attempt.attempt)
  if (attempt.target !== undefined && request.arrival.hop !== 'host') turn.board.requests.estimates.recordEnd(attempt.target)
}

/** Cancels an open attempt. It may have run unless it was still waiting in this node's own queue. */
export function withdraw (request: Requests.Request, attempt: Requests.Attempt, turn: Controllers.Turn): void {
  if (request.closed.has(attempt.attempt)) return
  close(request, attempt, turn)
  const id = request.arrival.request
  if (attempt.hop === 'dispatch') {
    if (turn.board.limits.dispatched.has(attempt.attempt)) request.mayHaveRun = true
    turn.raise({ kind: 'attempt-withdrawn', request: id, attempt: attempt.attempt })
    return
  }
  request.mayHaveRun = true
  turn.emit({ kind: 'cancel', request: id, attempt: attempt.attempt })
}

export function withdrawAll (request: Requests.Request, turn: Controllers.Turn): void {
  for (const attempt of request.attempts) withdraw(request, attempt, turn)
}
