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

  react (event: Events.Event, context: Controllers.StepContext): void {
    switch (event.kind) {
      case 'request-arrived': this.openRequest(event, context); break
      case 'admission-wanted': recordHostAttempt(event, context); break
      case 'placement-wanted': this.placeRequest(event.request, context); break
      case 'attempt-refused': this.handleAttemptEnd(event.request, event.attempt, { kind: 'refused', refusal: event.refusal }, context); break
      case 'attempt-responded': this.handleResponse(event, context); break
      case 'attempt-finished': this.handleAttemptEnd(event.request, event.attempt, event.end, context); break
      case 'request-cancelled': cancelRequest(event.request, context); break
      case 'placement-failed': refuseUnlessHeld(event, context); break
      case 'request-answered': endAnsweredRequest(event, context); break
      case 'tick': this.tick(context); break
      case 'target-announced':
      case 'target-leaving':
      case 'target-gone':
        this.invalidatePool(event, context)
        break
      default: break
    }
  }

  private openRequest (event: Events.RequestArrived, context: Controllers.StepContext): void {
    const request = RequestRecords.open(event, context)
    if (event.hop !== 'entry') return
    if (context.board.limits.isNodeLeaving) refuseNewRequest(request, 'node-leaving', 'This node is shutting down; use another one.', context)
    else if (!context.board.configuration.isInitialized) refuseNewRequest(request, 'node-starting', 'This node has not yet learned the configuration; use another one.', context)
  }

  private placeRequest (id: Events.PlacementWanted['request'], context: Controllers.StepContext): void {
    const request = context.board.requests.get(id)
    if (request === undefined || request.expired) return
    context.board.requests.retryBudgets.recordFirstAttempt(request.arrival.service, context.now, request.policy.retryBudget)
    if (context.now >= request.deadline) {
      raisePlacementFailed(request, Refusals.notRun('deadline-exceeded', 'The deadline passed before a backend server was chosen.'), context)
      return
    }
    const placement = this.placer.choose(request, context)
    if (placement.isErr()) raisePlacementFailed(request, placement.error, context)
    else Attempts.start(request, placement.value, context)
  }

  private handleResponse (event: Events.AttemptResponded, context: Controllers.StepContext): void {
    const request = context.board.requests.get(event.request)
    const attempt = request === undefined ? undefined : Attempts.findOpen(request, event.attempt)
    if (request === undefined || attempt === undefined || request.relayed) return
    RequestRecords.recordResponse(request, attempt, event, context)
    if (request.idempotent && Retries.isRetryableResponse(event) && Retries.mayRetry(request, attempt)) {
      const placement = Retries.chooseRetry(request, false, this.placer, context)
      if (placement !== undefined) {
        Attempts.withdraw(request, attempt, context)
        Attempts.start(request, placement, context)
        return
      }
    }
    request.relayed = true
    request.relayedStatus = event.status
    context.emit({ kind: 'relay', request: event.request, attempt: event.attempt })
  }

  /** Ends the request if the attempt's response was relayed; otherwise retries it or fails. */
  private handleAttemptEnd (id: Events.AttemptFinished['request'], attemptId: Events.AttemptFinished['attempt'], end: Events.AttemptEnd, context: Controllers.StepContext): void {
    const request = context.board.requests.get(id)
    const attempt = request === undefined ? undefined : Attempts.findOpen(request, attemptId)
    if (request === undefined || attempt === undefined) return
    Attempts.close(request, attempt, context)
    if (request.arrival.hop !== 'host') Outcomes.recordAttemptEnd(end, attempt, this.placer.topology, context)
    if (request.relayed) {
      RequestRecords.recordResponseSize(request, attempt, end, context)
      RequestRecords.end(request, { kind: 'relayed', status: request.relayedStatus, intact: end.kind === 'complete' }, context)
      return
    }
    const refusal = Outcomes.refusalFor(end, request, attempt.hop)
    if (refusal.outcome !== 'not-run') request.mayHaveRun = true
    if (refusal.kind === 'upstream-disconnected') request.connectionsLost += 1
    const placement = Retries.mayRetry(request, attempt) ? Retries.chooseRetry(request, Outcomes.revealsUnavailability(end, attempt), this.placer, context) : undefined
    if (placement === undefined) raisePlacementFailed(request, refusal, context)
    else Attempts.start(request, placement, context)
  }

  private tick (context: Controllers.StepContext): void {
    for (const request of context.board.requests.byId.values()) {
      if (context.now >= request.deadline) handleDeadline(request, context)
      else this.retryIfTimedOut(request, context)
    }
    if (context.now - this.prunedAt < PRUNE_INTERVAL) return
    this.prunedAt = context.now
    const { avoidance, estimates, retryBudgets } = context.board.requests
    avoidance.prune(context.now)
    estimates.prune(context.now)
    retryBudgets.prune(context.now)
    this.placer.pools.prune(context.now)
  }

  /** Retries an idempotent request on another target if its attempt has timed out. */
  private retryIfTimedOut (request: Requests.Request, context: Controllers.StepContext): void {
    const attempt = AttemptTimeouts.timedOutAttempt(request, context)
    if (attempt === undefined || !Retries.mayRetry(request, attempt)) return
    const placement = Retries.chooseRetry(request, false, this.placer, context)
    if (placement === undefined || placement.target.target === attempt.target) return
    const elapsed = Clock.between(attempt.startedAt, context.now)
    if (attempt.target !== undefined) context.board.requests.estimates.recordFailure(attempt.target, elapsed, context.now)
    Attempts.withdraw(request, attempt, context)
    Attempts.start(request, placement, context)
  }

  /** Discards the pool of the service when a target on this node changes, so that the change applies at once. */
  private invalidatePool (event: Events.TargetAnnounced | Events.TargetLeaving | Events.TargetGone, context: Controllers.StepContext): void {
    const known = context.board.targets.get(event.target)
    if (event.kind === 'target-announced' && known !== undefined && known.announcedAt !== context.now) return
    const service = event.kind === 'target-announced' ? event.service : known?.service
    if (service !== undefined) this.placer.pools.invalidate(service)
  }
}

/** Refuses a request from a caller because the node is starting or shutting down. */
function refuseNewRequest (request: Requests.Request, kind: 'node-leaving' | 'node-starting', detail: string, context: Controllers.StepContext): void {
  // An earlier request with the same key may have run; only the owner of the key knows.
  const isKeyed = request.arrival.key !== undefined && !request.idempotent
  const refusal = isKeyed ? Refusals.unknown(kind, detail) : Refusals.notRun(kind, detail, NODE_RETRY_AFTER_MS)
  context.emit({ kind: 'refuse', request: request.arrival.request, refusal })
  RequestRecords.end(request, { kind: 'refused', refusal }, context)
}

/** Adds the attempt at hop `host`, whose target the sender chose, to the record of its request. */
function recordHostAttempt (event: Events.AdmissionWanted, context: Controllers.StepContext): void {
  const request = context.board.requests.get(event.request)
  if (request === undefined || request.attempts.some(known => known.attempt === event.attempt)) return
  const { attempt, target } = event
  request.attempts.push({ attempt, hop: 'dispatch', target, node: context.board.identity.node, startedAt: context.now })
}

/** Cancels the attempts of a request whose deadline has passed, and refuses it if no response was relayed. */
function handleDeadline (request: Requests.Request, context: Controllers.StepContext): void {
  if (request.relayed) {
    Attempts.withdrawAll(request, context)
    RequestRecords.end(request, { kind: 'relayed', status: request.relayedStatus, intact: false }, context)
    return
  }
  const refusal = Refusals.notRun('deadline-exceeded', 'No response arrived before the deadline.')
  if (!request.expired) {
    request.expired = true
    request.decisions.push('deadline-passed')
    RequestRecords.recordUnanswered(request, context)
    Attempts.withdrawAll(request, context)
    raisePlacementFailed(request, refusal, context)
  } else if (context.now >= request.deadline + KEY_ANSWER_GRACE) {
    context.emit({ kind: 'refuse', request: request.arrival.request, refusal: { ...refusal, outcome: 'unknown' } })
  }
}

/**
 * Cancels the attempts of a request whose caller disconnected. Attempts of a request with an idempotency key go on
 * at the owner, so that their result can answer a repeated request.
 */
function cancelRequest (id: Events.RequestCancelled['request'], context: Controllers.StepContext): void {
  const request = context.board.requests.get(id)
  if (request === undefined || context.board.keys.keyedRequests.has(id)) return
  Attempts.withdrawAll(request, context)
  RequestRecords.end(request, { kind: 'cancelled' }, context)
}

function raisePlacementFailed (request: Requests.Request, refusal: Refusals.Refusal, context: Controllers.StepContext): void {
  context.raise({ kind: 'placement-failed', request: request.arrival.request, refusal: Outcomes.finalRefusal(refusal, request) })
}

/** Refuses a request whose placement failed, unless Ownership answers it. */
function refuseUnlessHeld (event: Events.PlacementFailed, context: Controllers.StepContext): void {
  const { board } = context
  if (board.keys.keyedRequests.has(event.request) || board.requests.get(event.request) === undefined) return
  context.emit({ kind: 'refuse', request: event.request, refusal: event.refusal })
}

/** Removes the record of a request that was answered by `refuse` or `replay`, and cancels its attempts. */
function endAnsweredRequest (event: Events.RequestAnswered, context: Controllers.StepContext): void {
  const request = context.board.requests.get(event.request)
  if (request === undefined) return
  Attempts.withdrawAll(request, context)
  const { answer } = event
  RequestRecords.end(request, answer.kind === 'replayed' ? { kind: 'replayed', status: answer.status } : { kind: 'refused', refusal: answer }, context)
}
