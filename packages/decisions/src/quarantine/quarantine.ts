/** Detects requests that crash backend servers, and blocks them by their signature on all nodes. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Policies from '../core/policy.js'
import * as Refusals from '../core/refusal.js'
import type * as Messages from './message.js'
import * as CrashGossips from './crash-gossip.js'

/** A request whose connection to the target was lost. */
interface LostRequest { readonly target: Ids.TargetId, readonly incarnation: Ids.Incarnation, readonly signature: Ids.Signature, readonly at: number }

/** A crash is detected up to three missed announcements after the connections were lost. */
const LOST_REQUEST_LIFETIME = Clock.seconds(10)
const LOST_REQUESTS_MAXIMUM = 1_000
const EXPIRY_INTERVAL = Clock.seconds(10)
/** A renewal is gossiped only if it extends the block by at least this much. */
const RENEWAL_STEP_MINIMUM = Clock.minutes(1)
const FACTS_REQUEST_INTERVAL = Clock.seconds(1)
const RETRY_AFTER = Clock.minutes(10)

export class Quarantine extends Controllers.Controller {
  private readonly gossip = new CrashGossips.CrashGossip()
  private readonly incarnations = new Map<Ids.TargetId, Ids.Incarnation>()
  private lostRequests: LostRequest[] = []
  private nextExpiryAt = 0
  private isSynchronized = false
  private factsRequestedAt = 0

  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'request-arrived': this.checkRequest(event, turn); break
      case 'attempt-finished': this.handleAttemptEnd(event, turn); break
      case 'target-announced': this.handleAnnouncement(event, turn); break
      case 'target-gone': this.handleTargetGone(event, turn); break
      case 'message-received': this.handleMessage(event, turn); break
      case 'tick': this.tick(turn); break
      default: break
    }
  }

  private checkRequest (event: Events.RequestArrived, turn: Controllers.Turn): void {
    const { crashes } = turn.board
    if (!crashes.isBlocked(event.signature, turn.now)) {
      turn.raise({ kind: 'request-cleared', request: event.request })
      return
    }
    const renewed = crashes.renewedBlock(event.signature, turn.now)
    if (renewed !== undefined && renewed.until - (crashes.blockEnds.get(event.signature) ?? 0) >= RENEWAL_STEP_MINIMUM) {
      this.applyFact({ kind: 'block', signature: event.signature, ...renewed }, turn)
    }
    // Routing creates the record of the request after this controller runs, so the refusal is raised as an event like any other.
    turn.raise({ kind: 'placement-failed', request: event.request, refusal: refusalOf(event, turn) })
  }

  private handleAttemptEnd (event: Events.AttemptFinished, turn: Controllers.Turn): void {
    const request = turn.board.requests.get(event.request)
    const attempt = request?.attempts.find(entry => entry.attempt === event.attempt)
    if (request === undefined) return
    const { signature } = request.arrival
    if (event.end.kind === 'complete' && (turn.board.crashes.suspects.get(signature)?.crashes.size ?? 0) > 0) {
      this.applyFact({ kind: 'completion', signature, at: turn.now }, turn)
    }
    const target = attempt?.target ?? request.arrival.target
    const incarnation = target === undefined ? undefined : this.incarnations.get(target)
    if (event.end.kind !== 'disconnected' || target === undefined || incarnation === undefined) return
    this.lostRequests.push({ target, incarnation, signature, at: turn.now })
    if (this.lostRequests.length > LOST_REQUESTS_MAXIMUM) this.lostRequests.shift()
  }

  /** A new incarnation after lost connections means that the target crashed and restarted before announcements were missed. */
  private handleAnnouncement (event: Events.TargetAnnounced, turn: Controllers.Turn): void {
    const earlier = this.incarnations.get(event.target)
    if (earlier !== undefined && earlier !== event.incarnation) {
      const signatures = this.takeLostSignatures(event.target, earlier, turn)
      if (signatures.length > 0) this.reportCrash(event.target, earlier, signatures, turn)
    }
    this.incarnations.set(event.target, event.incarnation)
  }

  private handleTargetGone (event: Events.TargetGone, turn: Controllers.Turn): void {
    const incarnation = this.incarnations.get(event.target)
    this.incarnations.delete(event.target)
    if (incarnation === undefined || !event.crashed) return
    const { limits, requests } = turn.board
    // Requests that are still queued for the target have not reached it.
    const dispatchedRequests = [...requests.byId.values()].filter(request =>
      request.attempts.some(attempt => limits.dispatched.get(attempt.attempt) === event.target))
    const signatures = dispatchedRequests.map(request => request.arrival.signature)
    this.reportCrash(event.target, incarnation, [...signatures, ...this.takeLostSignatures(event.target, incarnation, turn)], turn)
  }

  /** Removes the lost requests of the target and returns the signatures of the recent ones. */
  private takeLostSignatures (target: Ids.TargetId, incarnation: Ids.Incarnation, turn: Controllers.Turn): Ids.Signature[] {
    const recent = this.lostRequests.filter(entry => entry.target === target && entry.incarnation === incarnation && entry.at >= turn.now - LOST_REQUEST_LIFETIME)
    this.lostRequests = this.lostRequests.filter(entry => entry.target !== target)
    return recent.map(entry => entry.signature)
  }

  private reportCrash (target: Ids.TargetId, incarnation: Ids.Incarnation, signatures: readonly Ids.Signature[], turn: Controllers.Turn): void {
    const distinct = [...new Set(signatures)]
    for (const signature of distinct) this.applyFact({ kind: 'crash', signature, crash: `${target}@${incarnation}`, at: turn.now }, turn)
    turn.raise({ kind: 'target-crashed', target, incarnation, signatures: distinct })
  }

  private applyFact (fact: Messages.CrashFact, turn: Controllers.Turn): void {
    const { crashes } = turn.board
    const signature = fact.signature as Ids.Signature
    const wasBlocked = crashes.isBlocked(signature, turn.now)
    if (!crashes.apply(fact)) return
    this.gossip.add(fact, turn)
    const isBlocked = crashes.isBlocked(signature, turn.now)
    if (isBlocked === wasBlocked) return
    const evidence = [...crashes.suspects.get(signature)?.crashes.keys() ?? []].join(', ')
    turn.record({ controller: 'quarantine', decision: isBlocked ? `block request ${signature}` : `unblock request ${signature}`, evidence: isBlocked ? `in flight at the crashes of ${evidence}` : 'completed since' })
  }

  private handleMessage (event: Events.MessageReceived, turn: Controllers.Turn): void {
    const { message } = event
    if (message.kind === 'crash-rumors') {
      this.isSynchronized ||= message.whole
      for (const fact of message.rumors) this.applyFact(fact, turn)
    }
    if (message.kind !== 'crash-request') return
    const answer: Messages.QuarantineMessage = { kind: 'crash-rumors', whole: true, rumors: turn.board.crashes.allFacts() }
    turn.emit({ kind: 'send', to: event.from, address: event.address, channel: answer.rumors.length === 0 ? 'datagram' : 'stream', message: answer })
  }

  private tick (turn: Controllers.Turn): void {
    this.gossip.tick(turn)
    if (!this.isSynchronized && Math.abs(turn.now - this.factsRequestedAt) >= FACTS_REQUEST_INTERVAL) this.requestFacts(turn)
    // A removal that is due later than after one interval means that the clock was set back.
    if (turn.now < this.nextExpiryAt && this.nextExpiryAt - turn.now <= EXPIRY_INTERVAL) return
    this.nextExpiryAt = turn.now + EXPIRY_INTERVAL
    turn.board.crashes.expire(turn.now)
  }

  private requestFacts (turn: Controllers.Turn): void {
    this.factsRequestedAt = turn.now
    const peer = turn.random.pick(turn.board.members.usable().filter(member => member.node !== turn.board.identity.node))
    if (peer !== undefined) turn.emit({ kind: 'send', to: peer.node, address: peer.address, channel: 'datagram', message: { kind: 'crash-request' } })
  }
}

/**
 * A keyed non-idempotent request may have run in an earlier attempt, so its outcome is unknown. At hop `host` the sender
 * keeps track of earlier attempts itself.
 */
function refusalOf (event: Events.RequestArrived, turn: Controllers.Turn): Refusals.Refusal {
  const policy = turn.board.configuration.policyFor(event, turn.now)
  const mayHaveRun = event.key !== undefined && !Policies.isIdempotent(policy, event.method) && event.hop !== 'host'
  const detail = 'Backend servers crashed while they ran this request; it is blocked.'
  return mayHaveRun ? Refusals.unknown('request-blocked', detail) : Refusals.notRun('request-blocked', detail, RETRY_AFTER)
}
