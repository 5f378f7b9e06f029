/** Chooses targets for requests, starts attempts, and retries them within the budgets. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Refusals from '../core/refusal.js'
import * as Attempts from './attempts.js'
import * as Outcomes from './outcome.js'
import * as AttemptTimeouts from './attempt-timeout.js'
import * as Placements from './placement.js'
import * as RequestRecords from './request-record.js'
import type * as Requests from './requests.js'
import * as Retries from './retry.js'

/** Time after the deadline in which Ownership may answer a request with a key. Then Routing answers, so that no record stays forever. */
const KEY_ANSWER_GRACE = Clock.seconds(5)
/** Time between removals of old estimates, avoidances, budgets and pools. */
const PRUNE_INTERVAL = Clock.seconds(10)
/** `retryAfter` of a refusal by a node that is starting or shutting down. */
const NODE_RETRY_AFTER_MS = 1_000

export class Routing extends Controllers.Controller {
  private prunedAt = Clock.milliseconds(0)

  constructor (private readonly placer = new Placements.Placer()) {
    super()
  }

  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'request-arrived': this.openRequest(event, turn); break
      case 'admission-wanted': recordHostAttempt(event, turn); break
      case 'placement-wanted': this.placeRequest(event.request, turn); break
      case 'attempt-refused': this.handleAttemptEnd(event.request, event.attempt, { kind: 'refused', refusal: event.refusal }, turn); break
      case 'attempt-responded': this.handleResponse(event, turn); break
      case 'attempt-finished': this.handleAttemptEnd(event.request, event.attempt, event.end, turn); break
      case 'request-cancelled': cancelRequest(event.request, turn); break
      case 'placement-failed': refuseUnlessHeld(event, turn); break
      case 'request-answered': endAnsweredRequest(event, turn); break
      case 'tick': this.tick(turn); break
      case 'target-announced':
      case 'target-leaving':
      case 'target-gone':
        this.invalidatePool(event, turn)
        break
      default: break
    }
  }

  private openRequest (event: Events.RequestArrived, turn: Controllers.Turn): void {
    const request = RequestRecords.open(event, turn)
    if (event.hop !== 'entry') return
    if (turn.board.limits.isNodeLeaving) refuseNewRequest(request, 'node-leaving', 'This node is shutting down; use another one.', turn)
    else if (!turn.board.configuration.isInitialized) refuseNewRequest(request, 'node-starting', 'This node has not yet learned the configuration; use another one.', turn)
  }

  private placeRequest (id: Events.PlacementWanted['request'], turn: Controllers.Turn): void {
    const request = turn.board.requests.get(id)
    if (request === undefined || request.expired) return
    turn.board.requests.retryBudgets.recordFirstAttempt(request.arrival.service, turn.now, request.policy.retryBudget)
    if (turn.now >= request.deadline) {
      raisePlacementFailed(request, Refusals.notRun('deadline-exceeded', 'The deadline passed before a backend server was chosen.'), turn)
      return
    }
    const placement = this.placer.choose(request, turn)
    if (placement.isErr()) raisePlacementFailed(request, placement.error, turn)
    else Attempts.start(request, placement.value, turn)
  }

  private handleResponse (event: Events.AttemptResponded, turn: Controllers.Turn): void {
    const request = turn.board.requests.get(event.request)
    const attempt = request === undefined ? undefined : Attempts.findOpen(request, event.attempt)
    if (request === undefined || attempt === undefined || request.relayed) return
    RequestRecords.recordResponse(request, attempt, event, turn)
    if (request.idempotent && Retries.isRetryableResponse(event) && Retries.mayRetry(request, attempt)) {
      const placement = Retries.chooseRetry(request, false, this.placer, turn)
      if (placement !== undefined) {
        Attempts.withdraw(request, attempt, turn)
        Attempts.start(request, placement, turn)
        return
      }
    }
    request.relayed = true
    request.relayedStatus = event.status
    turn.emit({ kind: 'relay', request: event.request, attempt: event.attempt })
  }

  /** Ends the request if the attempt's response was relayed; otherwise retries it or fails. */
  private handleAttemptEnd (id: Events.AttemptFinished['request'], attemptId: Events.AttemptFinished['attempt'], end: Events.AttemptEnd, turn: Controllers.Turn): void {
    const request = turn.board.requests.get(id)
    const attempt = request === undefined ? undefined : Attempts.findOpen(request, attemptId)
    if (request === undefined || attempt === undefined) return
    Attempts.close(request, attempt, turn)
    if (request.arrival.hop !== 'host') Outcomes.recordAttemptEnd(end, attempt, this.placer.topology, turn)
    if (request.relayed) {
      RequestRecords.recordResponseSize(request, attempt, end, turn)
      RequestRecords.end(request, { kind: 'relayed', status: request.relayedStatus, intact: end.kind === 'complete' }, turn)
      return
    }
    const refusal = Outcomes.refusalFor(end, request, attempt.hop)
    if (refusal.outcome !== 'not-run') request.mayHaveRun = true
    if (refusal.kind === 'upstream-disconnected') request.connectionsLost += 1
    const placement = Retries.mayRetry(request, attempt) ? Retries.chooseRetry(request, Outcomes.revealsUnavailability(end, attempt), this.placer, turn) : undefined
    if (placement === undefined) raisePlacementFailed(request, refusal, turn)
    else Attempts.start(request, placement, turn)
  }

  private tick (turn: Controllers.Turn): void {
    for (const request of turn.board.requests.byId.values()) {
      if (turn.now >= request.deadline) handleDeadline(request, turn)
      else this.retryIfTimedOut(request, turn)
    }
    if (turn.now - this.prunedAt < PRUNE_INTERVAL) return
    this.prunedAt = turn.now
    const { avoidance, estimates, retryBudgets } = turn.board.requests
    avoidance.prune(turn.now)
    estimates.prune(turn.now)
    retryBudgets.prune(turn.now)
    this.placer.pools.prune(turn.now)
  }

  /** Retries an idempotent request on another target if its attempt has timed out. */
  private retryIfTimedOut (request: Requests.Request, turn: Controllers.Turn): void {
    const attempt = AttemptTimeouts.timedOutAttempt(request, turn)
    if (attempt === undefined || !Retries.mayRetry(request, attempt)) return
    const placement = Retries.chooseRetry(request, false, this.placer, turn)
    if (placement === undefined || placement.target.target === attempt.target) return
    const elapsed = Clock.between(attempt.startedAt, turn.now)
    if (attempt.target !== undefined) turn.board.requests.estimates.recordFailure(attempt.target, elapsed, turn.now)
    Attempts.withdraw(request, attempt, turn)
    Attempts.start(request, placement, turn)
  }

  /** Discards the pool of the service when a target on this node changes, so that the change applies at once. */
  private invalidatePool (event: Events.TargetAnnounced | Events.TargetLeaving | Events.TargetGone, turn: Controllers.Turn): void {
    const known = turn.board.targets.get(event.target)
    if (event.kind === 'target-announced' && known !== undefined && known.announcedAt !== turn.now) return
    const service = event.kind === 'target-announced' ? event.service : known?.service
    if (service !== undefined) this.placer.pools.invalidate(service)
  }
}

/** Refuses a request from a caller because the node is starting or shutting down. */
function refuseNewRequest (request: Requests.Request, kind: 'node-leaving' | 'node-starting', detail: string, turn: Controllers.Turn): void {
  // An earlier request with the same key may have run; only the owner of the key knows.
  const isKeyed = request.arrival.key !== undefined && !request.idempotent
  const refusal = isKeyed ? Refusals.unknown(kind, detail) : Refusals.notRun(kind, detail, NODE_RETRY_AFTER_MS)
  turn.emit({ kind: 'refuse', request: request.arrival.request, refusal })
  RequestRecords.end(request, { kind: 'refused', refusal }, turn)
}

/** Adds the attempt at hop `host`, whose target the sender chose, to the record of its request. */
function recordHostAttempt (event: Events.AdmissionWanted, turn: Controllers.Turn): void {
  const request = turn.board.requests.get(event.request)
  if (request === undefined || request.attempts.some(known => known.attempt === event.attempt)) return
  const { attempt, target } = event
  request.attempts.push({ attempt, hop: 'dispatch', target, node: turn.board.identity.node, startedAt: turn.now })
}

/** Cancels the attempts of a request whose deadline has passed, and refuses it if no response was relayed. */
function handleDeadline (request: Requests.Request, turn: Controllers.Turn): void {
  if (request.relayed) {
    Attempts.withdrawAll(request, turn)
    RequestRecords.end(request, { kind: 'relayed', status: request.relayedStatus, intact: false }, turn)
    return
  }
  const refusal = Refusals.notRun('deadline-exceeded', 'No response arrived before the deadline.')
  if (!request.expired) {
    request.expired = true
    request.decisions.push('deadline-passed')
    RequestRecords.recordUnanswered(request, turn)
    Attempts.withdrawAll(request, turn)
    raisePlacementFailed(request, refusal, turn)
  } else if (turn.now >= request.deadline + KEY_ANSWER_GRACE) {
    turn.emit({ kind: 'refuse', request: request.arrival.request, refusal: { ...refusal, outcome: 'unknown' } })
  }
}

/**
 * Cancels the attempts of a request whose caller disconnected. Attempts of a request with an idempotency key go on
 * at the owner, so that their result can answer a repeated request.
 */
function cancelRequest (id: Events.RequestCancelled['request'], turn: Controllers.Turn): void {
  const request = turn.board.requests.get(id)
  if (request === undefined || turn.board.keys.keyedRequests.has(id)) return
  Attempts.withdrawAll(request, turn)
  RequestRecords.end(request, { kind: 'cancelled' }, turn)
}

function raisePlacementFailed (request: Requests.Request, refusal: Refusals.Refusal, turn: Controllers.Turn): void {
  turn.raise({ kind: 'placement-failed', request: request.arrival.request, refusal: Outcomes.finalRefusal(refusal, request) })
}

/** Refuses a request whose placement failed, unless Ownership answers it. */
function refuseUnlessHeld (event: Events.PlacementFailed, turn: Controllers.Turn): void {
  const { board } = turn
  if (board.keys.keyedRequests.has(event.request) || board.requests.get(event.request) === undefined) return
  turn.emit({ kind: 'refuse', request: event.request, refusal: event.refusal })
}

/** Removes the record of a request that was answered by `refuse` or `replay`, and cancels its attempts. */
function endAnsweredRequest (event: Events.RequestAnswered, turn: Controllers.Turn): void {
  const request = turn.board.requests.get(event.request)
  if (request === undefined) return
  Attempts.withdrawAll(request, turn)
  const { answer } = event
  RequestRecords.end(request, answer.kind === 'replayed' ? { kind: 'replayed', status: answer.status } : { kind: 'refused', refusal: answer }, turn)
}
