/** Starts, closes and withdraws the attempts of a request. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import * as Ids from '../core/ids.js'
import * as Baselines from './baseline.js'
import type * as Placements from './placement.js'
import type * as Requests from './requests.js'

/** Sends the request to the chosen target, through its host when that is another node. */
export function start (request: Requests.Request, placement: Placements.Placement, context: Controllers.StepContext): void {
  const { target } = placement
  const { board, now } = context
  const attempt = Ids.attemptId(context.freshId())
  const isLocal = target.host === board.identity.node
  const chargedBytes = placement.crossesRegions ? board.requests.estimates.exchangeBytes(request.arrival.service) : 0
  board.requests.linkBudget.charge(chargedBytes)
  request.decisions.push(...placement.decisions)
  request.attempts.push({
    attempt, hop: isLocal ? 'dispatch' : 'host', target: target.target, node: target.host, startedAt: now, avoided: placement.avoided, chargedBytes
  })
  board.requests.estimates.recordStart(target.target, now)
  if (isLocal) context.raise({ kind: 'admission-wanted', request: request.arrival.request, attempt, target: target.target })
  else forward(request, attempt, placement, context)
}

function forward (request: Requests.Request, attempt: Ids.AttemptId, placement: Placements.Placement, context: Controllers.StepContext): void {
  const { target } = placement
  const { arrival } = request
  const address = context.board.members.get(target.host)?.address
  // Does not happen: placement chooses only targets whose host is a known member.
  if (address === undefined) return
  const baseline = Baselines.baselineFor(context.board, arrival.service, target.target)
  context.emit({
    kind: 'forward',
    request: arrival.request,
    attempt,
    hop: 'host',
    node: target.host,
    address,
    target: target.target,
    remaining: Clock.between(context.now, request.deadline),
    earlierAttempts: arrival.earlierAttempts + request.attempts.length - 1,
    ...(baseline === undefined ? {} : { baseline })
  })
}

/** The attempt if it is still open. Events about other attempts are outdated and must be ignored. */
export function findOpen (request: Requests.Request, attempt: Ids.AttemptId): Requests.Attempt | undefined {
  if (request.closed.has(attempt)) return undefined
  return request.attempts.find(known => known.attempt === attempt)
}

/** Marks an attempt as ended. */
export function close (request: Requests.Request, attempt: Requests.Attempt, context: Controllers.StepContext): void {
  request.closed.add(attempt.attempt)
  if (attempt.target !== undefined && request.arrival.hop !== 'host') context.board.requests.estimates.recordEnd(attempt.target)
}

/** Cancels an attempt if it is open. It may have run, unless it was still queued on this node. */
export function withdraw (request: Requests.Request, attempt: Requests.Attempt, context: Controllers.StepContext): void {
  if (request.closed.has(attempt.attempt)) return
  close(request, attempt, context)
  const id = request.arrival.request
  if (attempt.hop === 'dispatch') {
    if (context.board.limits.dispatched.has(attempt.attempt)) request.mayHaveRun = true
    context.raise({ kind: 'attempt-withdrawn', request: id, attempt: attempt.attempt })
    return
  }
  request.mayHaveRun = true
  context.emit({ kind: 'cancel', request: id, attempt: attempt.attempt })
}

export function withdrawAll (request: Requests.Request, context: Controllers.StepContext): void {
  for (const attempt of request.attempts) withdraw(request, attempt, context)
}
