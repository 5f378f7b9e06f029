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

  react (event: Events.Event, context: Controllers.StepContext): void {
    switch (event.kind) {
      case 'request-arrived': this.checkRequest(event, context); break
      case 'attempt-finished': this.handleAttemptEnd(event, context); break
      case 'target-announced': this.handleAnnouncement(event, context); break
      case 'target-gone': this.handleTargetGone(event, context); break
      case 'message-received': this.handleMessage(event, context); break
      case 'tick': this.tick(context); break
      default: break
    }
  }

  private checkRequest (event: Events.RequestArrived, context: Controllers.StepContext): void {
    const { crashes } = context.board
    if (!crashes.isBlocked(event.signature, context.now)) {
      context.raise({ kind: 'request-cleared', request: event.request })
      return
    }
    const renewed = crashes.renewedBlock(event.signature, context.now)
    if (renewed !== undefined && renewed.until - (crashes.blockEnds.get(event.signature) ?? 0) >= RENEWAL_STEP_MINIMUM) {
      this.applyFact({ kind: 'block', signature: event.signature, ...renewed }, context)
    }
    // Routing creates the record of the request after this controller runs, so the refusal is raised as an event like any other.
    context.raise({ kind: 'placement-failed', request: event.request, refusal: refusalOf(event, context) })
  }

  private handleAttemptEnd (event: Events.AttemptFinished, context: Controllers.StepContext): void {
    const request = context.board.requests.get(event.request)
    const attempt = request?.attempts.find(entry => entry.attempt === event.attempt)
    if (request === undefined) return
    const { signature } = request.arrival
    if (event.end.kind === 'complete' && (context.board.crashes.suspects.get(signature)?.crashes.size ?? 0) > 0) {
      this.applyFact({ kind: 'completion', signature, at: context.now }, context)
    }
    const target = attempt?.target ?? request.arrival.target
    const incarnation = target === undefined ? undefined : this.incarnations.get(target)
    if (event.end.kind !== 'disconnected' || target === undefined || incarnation === undefined) return
    this.lostRequests.push({ target, incarnation, signature, at: context.now })
    if (this.lostRequests.length > LOST_REQUESTS_MAXIMUM) this.lostRequests.shift()
  }

  /** A new incarnation after lost connections means that the target crashed and restarted before announcements were missed. */
  private handleAnnouncement (event: Events.TargetAnnounced, context: Controllers.StepContext): void {
    const earlier = this.incarnations.get(event.target)
    if (earlier !== undefined && earlier !== event.incarnation) {
      const signatures = this.takeLostSignatures(event.target, earlier, context)
      if (signatures.length > 0) this.reportCrash(event.target, earlier, signatures, context)
    }
    this.incarnations.set(event.target, event.incarnation)
  }

  private handleTargetGone (event: Events.TargetGone, context: Controllers.StepContext): void {
    const incarnation = this.incarnations.get(event.target)
    this.incarnations.delete(event.target)
    if (incarnation === undefined || !event.crashed) return
    const { limits, requests } = context.board
    // Requests that are still queued for the target have not reached it.
    const dispatchedRequests = [...requests.byId.values()].filter(request =>
      request.attempts.some(attempt => limits.dispatched.get(attempt.attempt) === event.target))
    const signatures = dispatchedRequests.map(request => request.arrival.signature)
    this.reportCrash(event.target, incarnation, [...signatures, ...this.takeLostSignatures(event.target, incarnation, context)], context)
  }

  /** Removes the lost requests of the target and returns the signatures of the recent ones. */
  private takeLostSignatures (target: Ids.TargetId, incarnation: Ids.Incarnation, context: Controllers.StepContext): Ids.Signature[] {
    const recent = this.lostRequests.filter(entry => entry.target === target && entry.incarnation === incarnation && entry.at >= context.now - LOST_REQUEST_LIFETIME)
    this.lostRequests = this.lostRequests.filter(entry => entry.target !== target)
    return recent.map(entry => entry.signature)
  }

  private reportCrash (target: Ids.TargetId, incarnation: Ids.Incarnation, signatures: readonly Ids.Signature[], context: Controllers.StepContext): void {
    const distinct = [...new Set(signatures)]
    for (const signature of distinct) this.applyFact({ kind: 'crash', signature, crash: `${target}@${incarnation}`, at: context.now }, context)
    context.raise({ kind: 'target-crashed', target, incarnation, signatures: distinct })
  }

  private applyFact (fact: Messages.CrashFact, context: Controllers.StepContext): void {
    const { crashes } = context.board
    const signature = fact.signature as Ids.Signature
    const wasBlocked = crashes.isBlocked(signature, context.now)
    if (!crashes.apply(fact)) return
    this.gossip.add(fact, context)
    const isBlocked = crashes.isBlocked(signature, context.now)
    if (isBlocked === wasBlocked) return
    const evidence = [...crashes.suspects.get(signature)?.crashes.keys() ?? []].join(', ')
    context.record({ controller: 'quarantine', decision: isBlocked ? `block request ${signature}` : `unblock request ${signature}`, evidence: isBlocked ? `in flight at the crashes of ${evidence}` : 'completed since' })
  }

  private handleMessage (event: Events.MessageReceived, context: Controllers.StepContext): void {
    const { message } = event
    if (message.kind === 'crash-rumors') {
      this.isSynchronized ||= message.whole
      for (const fact of message.rumors) this.applyFact(fact, context)
    }
    if (message.kind !== 'crash-request') return
    const answer: Messages.QuarantineMessage = { kind: 'crash-rumors', whole: true, rumors: context.board.crashes.allFacts() }
    context.emit({ kind: 'send', to: event.from, address: event.address, channel: answer.rumors.length === 0 ? 'datagram' : 'stream', message: answer })
  }

  private tick (context: Controllers.StepContext): void {
    this.gossip.tick(context)
    if (!this.isSynchronized && Math.abs(context.now - this.factsRequestedAt) >= FACTS_REQUEST_INTERVAL) this.requestFacts(context)
    // A removal that is due later than after one interval means that the clock was set back.
    if (context.now < this.nextExpiryAt && this.nextExpiryAt - context.now <= EXPIRY_INTERVAL) return
    this.nextExpiryAt = context.now + EXPIRY_INTERVAL
    context.board.crashes.expire(context.now)
  }

  private requestFacts (context: Controllers.StepContext): void {
    this.factsRequestedAt = context.now
    const peer = context.random.pick(context.board.members.usable().filter(member => member.node !== context.board.identity.node))
    if (peer !== undefined) context.emit({ kind: 'send', to: peer.node, address: peer.address, channel: 'datagram', message: { kind: 'crash-request' } })
  }
}

/**
 * A keyed non-idempotent request may have run in an earlier attempt, so its outcome is unknown. At hop `host` the sender
 * keeps track of earlier attempts itself.
 */
function refusalOf (event: Events.RequestArrived, context: Controllers.StepContext): Refusals.Refusal {
  const policy = context.board.configuration.policyFor(event, context.now)
  const mayHaveRun = event.key !== undefined && !Policies.isIdempotent(policy, event.method) && event.hop !== 'host'
  const detail = 'Backend servers crashed while they ran this request; it is blocked.'
  return mayHaveRun ? Refusals.unknown('request-blocked', detail) : Refusals.notRun('request-blocked', detail, RETRY_AFTER)
}
