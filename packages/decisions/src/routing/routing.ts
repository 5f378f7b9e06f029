/** Chooses targets, makes attempts and retries within the budgets. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Refusals from '../core/refusal.js'
import * as Attempts from './attempts.js'
import * as Outcomes from './outcome.js'
import * as Patience from './patience.js'
import * as Placements from './placement.js'
import * as Records from './record.js'
import type * as Requests from './requests.js'
import * as Retries from './retry.js'

/** Time after the deadline for the ledger's answer; then Routing answers, so that no record stays for ever. */
const LEDGER_GRACE = Clock.seconds(5)
/** Time between removals of old estimates and marks. */
const PRUNE_INTERVAL = Clock.seconds(10)
const NODE_RETRY_AFTER = 1_000

export class Routing extends Controllers.Controller {
  private prunedAt = Clock.milliseconds(0)

  constructor (private readonly placer = new Placements.Placer()) {
    super()
  }

  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'request-arrived': this.arrive(event, turn); break
      case 'admission-wanted': adopt(event, turn); break
      case 'placement-wanted': this.place(event.request, turn); break
      case 'attempt-refused': this.settle(event.request, event.attempt, { kind: 'refused', refusal: event.refusal }, turn); break
      case 'attempt-responded': this.respond(event, turn); break
      case 'attempt-finished': this.settle(event.request, event.attempt, event.end, turn); break
      case 'request-cancelled': cancel(event.request, turn); break
      case 'placement-failed': refuse(event, turn); break
      case 'request-answered': answered(event, turn); break
      case 'tick': this.tick(turn); break
      case 'target-announced':
      case 'target-leaving':
      case 'target-gone':
        this.forget(event, turn)
        break
      default: break
    }
  }

  private arrive (event: Events.RequestArrived, turn: Controllers.Turn): void {
    const request = Records.open(event, turn)
    if (event.hop !== 'entry') return
    if (turn.board.limits.nodeLeaving) turnAway(request, 'node-leaving', 'This node is shutting down; use another one.', turn)
    else if (!turn.board.configuration.isInitialized) turnAway(request, 'node-starting', 'This node has not yet learned the configuration; use another one.', turn)
  }

  private place (id: Events.PlacementWanted['request'], turn: Controllers.Turn): void {
    const request = turn.board.requests.get(id)
    if (request === undefined || request.expired) return
    turn.board.requests.retryBudgets.first(request.arrival.service, turn.now, request.policy.retryBudget)
    if (turn.now >= request.deadline) {
      fail(request, Refusals.notRun('deadline-exceeded', 'The deadline passed before a backend server was chosen.'), turn)
      return
    }
    const placement = this.placer.choose(request, turn)
    if (placement.isErr()) fail(request, placement.error, turn)
    else Attempts.start(request, placement.value, turn)
  }

  private respond (event: Events.AttemptResponded, turn: Controllers.Turn): void {
    const request = turn.board.requests.get(event.request)
    const attempt = request === undefined ? undefined : Attempts.open(request, event.attempt)
    if (request === undefined || attempt === undefined || request.relayed) return
    Records.observe(request, attempt, event, turn)
    if (request.idempotent && Retries.isFailure(event) && Retries.mayRepeat(request, attempt)) {
      const placement = Retries.next(request, false, this.placer, turn)
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

  /** The end of an attempt: of the relayed one, or of one that gave no response. */
  private settle (id: Events.AttemptFinished['request'], attemptId: Events.AttemptFinished['attempt'], end: Events.AttemptEnd, turn: Controllers.Turn): void {
    const request = turn.board.requests.get(id)
    const attempt = request === undefined ? undefined : Attempts.open(request, attemptId)
    if (request === undefined || attempt === undefined) return
    Attempts.close(request, attempt, turn)
    if (request.arrival.hop !== 'host') Outcomes.learn(end, attempt, this.placer.topology, turn)
    if (request.relayed) {
      Records.measure(request, attempt, end, turn)
      Records.end(request, { kind: 'relayed', status: request.relayedStatus, intact: end.kind === 'complete' }, turn)
      return
    }
    const refusal = Outcomes.refusalFor(end, request, attempt.hop)
    if (refusal.outcome !== 'not-run') request.mayHaveRun = true
    if (refusal.kind === 'upstream-disconnected') request.connectionsLost += 1
    const placement = Retries.mayRepeat(request, attempt) ? Retries.next(request, Outcomes.isNews(end, attempt), this.placer, turn) : undefined
    if (placement === undefined) fail(request, refusal, turn)
    else Attempts.start(request, placement, turn)
  }

  private tick (turn: Controllers.Turn): void {
    for (const request of turn.board.requests.byId.values()) {
      if (turn.now >= request.deadline) expire(request, turn)
      else this.repeatIfSilent(request, turn)
    }
    if (turn.now - this.prunedAt < PRUNE_INTERVAL) return
    this.prunedAt = turn.now
    const { avoidance, estimates, retryBudgets } = turn.board.requests
    avoidance.prune(turn.now)
    estimates.prune(turn.now)
    retryBudgets.prune(turn.now)
    this.placer.pools.prune(turn.now)
  }

  /** Tries an idempotent request elsewhere when its attempt gives no sign of life. */
  private repeatIfSilent (request: Requests.Request, turn: Controllers.Turn): void {
    const attempt = Patience.overdue(request, turn)
    if (attempt === undefined || !Retries.mayRepeat(request, attempt)) return
    const placement = Retries.next(request, false, this.placer, turn)
    if (placement === undefined || placement.target.target === attempt.target) return
    const elapsed = Clock.between(attempt.startedAt, turn.now)
    if (attempt.target !== undefined) turn.board.requests.estimates.failed(attempt.target, elapsed, turn.now)
    Attempts.withdraw(request, attempt, turn)
    Attempts.start(request, placement, turn)
  }

  /** A change on this node's own VM is known at once and must not wait for the pool's lifetime. */
  private forget (event: Events.TargetAnnounced | Events.TargetLeaving | Events.TargetGone, turn: Controllers.Turn): void {
    const known = turn.board.targets.get(event.target)
    if (event.kind === 'target-announced' && known !== undefined && known.announcedAt !== turn.now) return
    const service = event.kind === 'target-announced' ? event.service : known?.service
    if (service !== undefined) this.placer.pools.forget(service)
  }
}

/** Refuses a caller's request at a node that takes none now. */
function turnAway (request: Requests.Request, kind: 'node-leaving' | 'node-starting', detail: string, turn: Controllers.Turn): void {
  // An earlier send of a key may have run, and only its owner knows.
  const keyed = request.arrival.key !== undefined && !request.idempotent
  const refusal = keyed ? Refusals.unknown(kind, detail) : Refusals.notRun(kind, detail, NODE_RETRY_AFTER)
  turn.emit({ kind: 'refuse', request: request.arrival.request, refusal })
  Records.end(request, { kind: 'refused', refusal }, turn)
}

/** At hop `host` the attempt is the one that the sender chose the target for. */
function adopt (event: Events.AdmissionWanted, turn: Controllers.Turn): void {
  const request = turn.board.requests.get(event.request)
  if (request === undefined || request.attempts.some(known => known.attempt === event.attempt)) return
  const { attempt, target } = event
  request.attempts.push({ attempt, hop: 'dispatch', target, node: turn.board.identity.node, startedAt: turn.now })
}

function expire (request: Requests.Request, turn: Controllers.Turn): void {
  if (request.relayed) {
    Attempts.withdrawAll(request, turn)
    Records.end(request, { kind: 'relayed', status: request.relayedStatus, intact: false }, turn)
    return
  }
  const refusal = Refusals.notRun('deadline-exceeded', 'No response arrived before the deadline.')
  if (!request.expired) {
    request.expired = true
    request.decisions.push('deadline-passed')
    Records.blame(request, turn)
    Attempts.withdrawAll(request, turn)
    fail(request, refusal, turn)
  } else if (turn.now >= request.deadline + LEDGER_GRACE) {
    turn.emit({ kind: 'refuse', request: request.arrival.request, refusal: { ...refusal, outcome: 'unknown' } })
  }
}

/** A caller that leaves cancels its attempts, but not those of a key: the result is kept for the resend. */
function cancel (id: Events.RequestCancelled['request'], turn: Controllers.Turn): void {
  const request = turn.board.requests.get(id)
  if (request === undefined || turn.board.keys.held.has(id)) return
  Attempts.withdrawAll(request, turn)
  Records.end(request, { kind: 'cancelled' }, turn)
}

function fail (request: Requests.Request, refusal: Refusals.Refusal, turn: Controllers.Turn): void {
  turn.raise({ kind: 'placement-failed', request: request.arrival.request, refusal: Outcomes.finalRefusal(refusal, request) })
}

function refuse (event: Events.PlacementFailed, turn: Controllers.Turn): void {
  const { board } = turn
  if (board.keys.held.has(event.request) || board.requests.get(event.request) === undefined) return
  turn.emit({ kind: 'refuse', request: event.request, refusal: event.refusal })
}

function answered (event: Events.RequestAnswered, turn: Controllers.Turn): void {
  const request = turn.board.requests.get(event.request)
  if (request === undefined) return
  Attempts.withdrawAll(request, turn)
  const { answer } = event
  Records.end(request, answer.kind === 'replayed' ? { kind: 'replayed', status: answer.status } : { kind: 'refused', refusal: answer }, turn)
}
