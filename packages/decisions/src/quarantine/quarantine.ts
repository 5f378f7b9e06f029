/** Recognizes and blocks requests that crash backend servers. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Policies from '../core/policy.js'
import * as Refusals from '../core/refusal.js'
import type * as Messages from './message.js'
import * as Rumors from './rumors.js'

interface Lost { readonly target: Ids.TargetId, readonly incarnation: Ids.Incarnation, readonly signature: Ids.Signature, readonly at: number }

/** A crash is reported up to three missed announcements after the connections broke. */
const LOST_KEPT = Clock.seconds(10)
const LOST_LIMIT = 1_000
const FORGET_INTERVAL = Clock.seconds(10)
/** A renewal is spread only if it moves the end by this much. */
const RENEWAL_STEP = Clock.minutes(1)
const REQUEST_INTERVAL = Clock.seconds(1)
const RETRY_AFTER = Clock.minutes(10)

export class Quarantine extends Controllers.Controller {
  private readonly rumors = new Rumors.Rumors()
  private readonly incarnations = new Map<Ids.TargetId, Ids.Incarnation>()
  private lost: Lost[] = []
  private forgetAt = 0
  private synchronized = false
  private requestAt = 0

  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'request-arrived': this.check(event, turn); break
      case 'attempt-finished': this.finished(event, turn); break
      case 'target-announced': this.announced(event, turn); break
      case 'target-gone': this.gone(event, turn); break
      case 'message-received': this.receive(event, turn); break
      case 'tick': this.tick(turn); break
      default: break
    }
  }

  private check (event: Events.RequestArrived, turn: Controllers.Turn): void {
    const { crashes } = turn.board
    if (!crashes.isBlocked(event.signature, turn.now)) {
      turn.raise({ kind: 'request-cleared', request: event.request })
      return
    }
    const renewed = crashes.renewed(event.signature, turn.now)
    if (renewed !== undefined && renewed.until - (crashes.blocked.get(event.signature) ?? 0) >= RENEWAL_STEP) {
      this.learn({ kind: 'block', signature: event.signature, ...renewed }, turn)
    }
    // Routing opens the request's record after this controller, so the refusal goes the way of every other one.
    turn.raise({ kind: 'placement-failed', request: event.request, refusal: refusalOf(event, turn) })
  }

  private finished (event: Events.AttemptFinished, turn: Controllers.Turn): void {
    const request = turn.board.requests.get(event.request)
    const attempt = request?.attempts.find(entry => entry.attempt === event.attempt)
    if (request === undefined) return
    const { signature } = request.arrival
    if (event.end.kind === 'complete' && (turn.board.crashes.suspects.get(signature)?.crashes.size ?? 0) > 0) {
      this.learn({ kind: 'completion', signature, at: turn.now }, turn)
    }
    const target = attempt?.target ?? request.arrival.target
    const incarnation = target === undefined ? undefined : this.incarnations.get(target)
    if (event.end.kind !== 'disconnected' || target === undefined || incarnation === undefined) return
    this.lost.push({ target, incarnation, signature, at: turn.now })
    if (this.lost.length > LOST_LIMIT) this.lost.shift()
  }

  /** A new incarnation after broken connections is a crash that was repaired before announcements were missed. */
  private announced (event: Events.TargetAnnounced, turn: Controllers.Turn): void {
    const earlier = this.incarnations.get(event.target)
    if (earlier !== undefined && earlier !== event.incarnation) {
      const signatures = this.broken(event.target, earlier, turn)
      if (signatures.length > 0) this.report(event.target, earlier, signatures, turn)
    }
    this.incarnations.set(event.target, event.incarnation)
  }

  private gone (event: Events.TargetGone, turn: Controllers.Turn): void {
    const incarnation = this.incarnations.get(event.target)
    this.incarnations.delete(event.target)
    if (incarnation === undefined || !event.crashed) return
    const { limits, requests } = turn.board
    // Requests in the target's queue have not reached it.
    const flying = [...requests.byId.values()].filter(request =>
      request.attempts.some(attempt => limits.dispatched.get(attempt.attempt) === event.target))
    const signatures = flying.map(request => request.arrival.signature)
    this.report(event.target, incarnation, [...signatures, ...this.broken(event.target, incarnation, turn)], turn)
  }

  /** Signatures of requests whose connection to the target was lost a short time ago. */
  private broken (target: Ids.TargetId, incarnation: Ids.Incarnation, turn: Controllers.Turn): Ids.Signature[] {
    const broken = this.lost.filter(entry => entry.target === target && entry.incarnation === incarnation && entry.at >= turn.now - LOST_KEPT)
    this.lost = this.lost.filter(entry => entry.target !== target)
    return broken.map(entry => entry.signature)
  }

  private report (target: Ids.TargetId, incarnation: Ids.Incarnation, signatures: readonly Ids.Signature[], turn: Controllers.Turn): void {
    const distinct = [...new Set(signatures)]
    for (const signature of distinct) this.learn({ kind: 'crash', signature, crash: `${target}@${incarnation}`, at: turn.now }, turn)
    turn.raise({ kind: 'target-crashed', target, incarnation, signatures: distinct })
  }

  private learn (fact: Messages.Rumor, turn: Controllers.Turn): void {
    const { crashes } = turn.board
    const signature = fact.signature as Ids.Signature
    const wasBlocked = crashes.isBlocked(signature, turn.now)
    if (!crashes.learn(fact)) return
    this.rumors.add(fact, turn)
    const isBlocked = crashes.isBlocked(signature, turn.now)
    if (isBlocked === wasBlocked) return
    const evidence = [...crashes.suspects.get(signature)?.crashes.keys() ?? []].join(', ')
    turn.record({ controller: 'quarantine', decision: isBlocked ? `block request ${signature}` : `unblock request ${signature}`, evidence: isBlocked ? `in flight at the crashes of ${evidence}` : 'completed since' })
  }

  private receive (event: Events.MessageReceived, turn: Controllers.Turn): void {
    const { message } = event
    if (message.kind === 'crash-rumors') {
      this.synchronized ||= message.whole
      for (const fact of message.rumors) this.learn(fact, turn)
    }
    if (message.kind !== 'crash-request') return
    const answer: Messages.QuarantineMessage = { kind: 'crash-rumors', whole: true, rumors: turn.board.crashes.facts() }
    turn.emit({ kind: 'send', to: event.from, address: event.address, channel: answer.rumors.length === 0 ? 'datagram' : 'stream', message: answer })
  }

  private tick (turn: Controllers.Turn): void {
    this.rumors.tick(turn)
    if (!this.synchronized && Math.abs(turn.now - this.requestAt) >= REQUEST_INTERVAL) this.request(turn)
    if (turn.now < this.forgetAt && this.forgetAt - turn.now <= FORGET_INTERVAL) return
    this.forgetAt = turn.now + FORGET_INTERVAL
    turn.board.crashes.forget(turn.now)
  }

  private request (turn: Controllers.Turn): void {
    this.requestAt = turn.now
    const peer = turn.random.pick(turn.board.members.usable().filter(member => member.node !== turn.board.identity.node))
    if (peer !== undefined) turn.emit({ kind: 'send', to: peer.node, address: peer.address, channel: 'datagram', message: { kind: 'crash-request' } })
  }
}

/** At hop `host` the sender knows about earlier sends; elsewhere only a request without a key is certain not to have run. */
function refusalOf (event: Events.RequestArrived, turn: Controllers.Turn): Refusals.Refusal {
  const policy = turn.board.configuration.policyFor(event, turn.now)
  const keyed = event.key !== undefined && !Policies.isIdempotent(policy, event.method) && event.hop !== 'host'
  const detail = 'Backend servers crashed while they ran this request; it is blocked.'
  return keyed ? Refusals.unknown('request-blocked', detail) : Refusals.notRun('request-blocked', detail, RETRY_AFTER)
}
