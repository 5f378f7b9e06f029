/** Collects and renews promises for this node's targets, ejects them and takes them back. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import type * as Targets from '../membership/targets.js'
import type * as Census from './census.js'
import * as Claims from './claim.js'
import type * as LeaseRules from './lease-rules.js'
import type * as Messages from './message.js'
import * as Posts from './post.js'
import type * as Promisers from './promiser.js'
import type * as Returns from './returns.js'

/** Lost datagrams are replaced after this time; a round trip between regions takes 16 ms. */
const RESEND_MILLISECONDS = 200
const RENEW_MILLISECONDS = 3_000
/** A renewal that is not complete after this time asks further targets. */
const REPLACE_MILLISECONDS = 500
/** Counts and the floor may change while nothing else does. */
const WEIGH_MILLISECONDS = 1_000
/** Collecting promises for longer keeps others bound to no purpose. */
const COLLECT_MILLISECONDS = 1_500
/** Wait after a refusal, with a random part so that competing claims do not stay in step. */
const PAUSE_MILLISECONDS = 500
/**
 * Wait after evidence that many targets share. Baselines follow the shared change within about 12 s at two
 * requests a second and target; an earlier claim ejects whichever target is last to lose its evidence.
 */
const SHARED_PAUSE_MILLISECONDS = 15_000

export class Claimant {
  private readonly claims = new Map<Ids.TargetId, Claims.Claim>()
  private readonly pausedUntil = new Map<Ids.TargetId, number>()

  constructor (
    private readonly guard: LeaseRules.LeaseRules,
    private readonly census: Census.Census,
    private readonly post: Posts.Post,
    private readonly promiser: Promisers.Promiser,
    private readonly returns: Returns.Returns
  ) {}

  claimed (): ReadonlySet<Ids.TargetId> {
    return new Set(this.claims.keys())
  }

  /** Returns targets whose leases ended. Runs before any event is handled, as the node may have been paused. */
  verify (turn: Controllers.Turn): void {
    for (const claim of this.claims.values()) {
      if (claim.since !== undefined && !this.guard.isCurrent(claim.goodUntil, turn.now)) this.fallShort(claim, turn)
    }
  }

  wanted (event: Events.EjectionWanted, turn: Controllers.Turn): void {
    const target = turn.board.targets.get(event.target)
    if (target?.host !== turn.board.identity.node || target.state !== 'serving') return
    if (this.claims.has(event.target) || turn.now < (this.pausedUntil.get(event.target) ?? 0)) return
    const { service, region, incarnation } = target
    const subject = { id: turn.freshId(), target: event.target, incarnation, service, region, evidence: event.evidence, openedAt: turn.now }
    const claim = new Claims.Claim(subject)
    this.claims.set(event.target, claim)
    this.refresh(claim, turn)
    this.ask(claim, this.others(claim, turn).filter(other => other.region === region), turn)
    this.promiser.askBack(event.target, turn)
    this.settle(claim, turn)
  }

  replied (message: Messages.PromiseReply, from: Ids.NodeId, turn: Controllers.Turn): void {
    const claim = this.claims.get(message.target)
    const { round, granted, floor } = message
    if (claim?.subject.id !== message.claim) {
      this.post.send(from, { kind: 'promise-release', claim: message.claim, round, promisers: granted }, turn)
      return
    }
    const sentAt = claim.sentAt.get(round)
    if (sentAt === undefined) return
    const count = { service: message.serviceCount, region: message.regionCount }
    for (const promiser of granted) {
      if (!this.guard.isUsable(round, claim.released.get(promiser)) || (claim.held.get(promiser)?.round ?? 0) >= round) continue
      const region = turn.board.targets.get(promiser)?.region ?? Ids.region('')
      claim.held.set(promiser, { node: from, region, until: this.guard.leaseUntil(sentAt), round, count, floor })
      claim.refusals.delete(promiser)
    }
    for (const promiser of granted) if (!message.idle.includes(promiser)) claim.votes.set(promiser, false)
    for (const { target, reason } of message.refused) {
      if (reason === 'under-evidence') claim.votes.set(target, true)
      claim.refusals.set(target, reason)
      if (claim.held.has(target)) claim.wantedBack.add(target)
    }
    // Renewals only extend what is held already, so weighing them can wait for the tick.
    if (claim.since === undefined) this.settle(claim, turn)
    else claim.changed = true
  }

  /** A promiser is suspect and asks to be released. */
  wantedBack (message: Messages.PromiseReturn, from: Ids.NodeId, turn: Controllers.Turn): void {
    const claim = this.claims.get(message.target)
    if (claim?.subject.id !== message.claim) {
      this.post.send(from, { kind: 'promise-release', claim: message.claim, round: Number.MAX_SAFE_INTEGER, promisers: message.promisers }, turn)
      return
    }
    for (const promiser of message.promisers) {
      if (claim.held.has(promiser)) claim.wantedBack.add(promiser)
      else this.release(claim, [promiser], turn)
    }
    this.settle(claim, turn)
  }

  /** Promisers no longer serve: their promises are void at once. */
  withdrawn (message: Messages.PromiseWithdrawal, turn: Controllers.Turn): void {
    const claim = this.claims.get(message.target)
    if (claim?.subject.id !== message.claim) return
    this.release(claim, message.promisers, turn)
    this.settle(claim, turn)
  }

  tick (turn: Controllers.Turn): void {
    for (const claim of this.claims.values()) {
      const target = turn.board.targets.get(claim.subject.target)
      if (target?.state !== 'serving' || target.incarnation !== claim.subject.incarnation) {
        this.close(claim, turn)
        this.returns.cancel(claim.subject.target)
        turn.board.ejections.local.delete(claim.subject.target)
        continue
      }
      this.refresh(claim, turn)
      if (claim.since === undefined) this.collect(claim, turn)
      else this.maintain(claim, turn)
    }
    for (const [target, until] of this.pausedUntil) if (until <= turn.now) this.pausedUntil.delete(target)
  }

  private collect (claim: Claims.Claim, turn: Controllers.Turn): void {
    if (!this.promiser.isBound(claim.subject.target, turn.now)) this.settle(claim, turn)
    if (claim.since !== undefined) return
    if (turn.now - claim.subject.openedAt >= COLLECT_MILLISECONDS) {
      this.refuse(claim, turn)
      return
    }
    const waited = turn.now - claim.askedAt
    if (waited < RESEND_MILLISECONDS && claim.round > 1) return
    this.ask(claim, this.others(claim, turn).filter(other => !claim.held.has(other.target)), turn)
    this.promiser.askBack(claim.subject.target, turn)
  }

  private maintain (claim: Claims.Claim, turn: Controllers.Turn): void {
    if (turn.now >= claim.until) {
      this.complete(claim, turn)
      return
    }
    if (claim.changed || turn.now - claim.weighedAt >= WEIGH_MILLISECONDS) this.settle(claim, turn)
    if (!this.claims.has(claim.subject.target)) return
    const waited = turn.now - claim.askedAt
    if (turn.now - claim.renewedAt >= RENEW_MILLISECONDS) {
      claim.renewedAt = turn.now
      claim.renewalRound = claim.round + 1
      this.ask(claim, this.others(claim, turn).filter(other => claim.held.has(other.target)), turn)
    } else if (!claim.isRenewed() && waited >= REPLACE_MILLISECONDS) {
      this.ask(claim, this.others(claim, turn), turn)
    } else if (claim.wantedBack.size > 0 && waited >= RESEND_MILLISECONDS) {
      this.ask(claim, this.others(claim, turn).filter(other => !claim.held.has(other.target)), turn)
    }
  }

  /** Ejects as soon as the promises suffice; afterwards drops what is not needed. */
  private settle (claim: Claims.Claim, turn: Controllers.Turn): void {
    claim.changed = false
    claim.weighedAt = turn.now
    claim.goodUntil = claim.sufficientUntil()
    const sufficient = this.guard.isCurrent(claim.goodUntil, turn.now)
    if (claim.since === undefined) {
      if (!sufficient || claim.isShared() || this.promiser.isBound(claim.subject.target, turn.now)) return
      this.eject(claim, turn)
    } else if (!sufficient) {
      this.fallShort(claim, turn)
      return
    }
    const surplus = claim.surplus(this.guard, turn.now)
    if (surplus.length === 0) return
    this.release(claim, surplus, turn)
    claim.goodUntil = claim.sufficientUntil()
  }

  private eject (claim: Claims.Claim, turn: Controllers.Turn): void {
    const { target, service, evidence } = claim.subject
    const policy = turn.board.configuration.policyFor({ service }, turn.now)
    claim.since = turn.now
    claim.renewedAt = turn.now
    claim.renewalRound = 0
    claim.until = Clock.add(turn.now, this.returns.hold(target, policy, turn.now))
    this.returns.cancel(target)
    turn.board.ejections.local.set(target, { kind: 'ejected', since: turn.now, until: claim.until, evidence })
    this.record('ejected', `${evidence}; ${holdings(claim)}; hold ${claim.until - turn.now} ms`, claim, turn)
  }

  private complete (claim: Claims.Claim, turn: Controllers.Turn): void {
    this.close(claim, turn)
    this.returns.begin(claim.subject.target, turn)
    this.record('returned', 'The hold ended.', claim, turn)
  }

  /** Too few leases: the service needs the target, so it returns at full weight. */
  private fallShort (claim: Claims.Claim, turn: Controllers.Turn): void {
    this.close(claim, turn)
    turn.board.ejections.local.delete(claim.subject.target)
    this.pause(claim, turn)
    this.record('returned', `Too few promises were renewed: ${holdings(claim)}.`, claim, turn)
  }

  private refuse (claim: Claims.Claim, turn: Controllers.Turn): void {
    const reasons = [...claim.refusals].map(([target, reason]) => `${target} ${reason}`).join(', ')
    this.record('refused-by-floor', `${claim.subject.evidence}; ${holdings(claim)}; refused: ${reasons === '' ? 'none' : reasons}`, claim, turn)
    this.close(claim, turn)
    this.pause(claim, turn)
  }

  private pause (claim: Claims.Claim, turn: Controllers.Turn): void {
    const wait = claim.isShared() ? SHARED_PAUSE_MILLISECONDS : PAUSE_MILLISECONDS
    this.pausedUntil.set(claim.subject.target, turn.now + wait * (1 + turn.random.fraction()))
  }

  private close (claim: Claims.Claim, turn: Controllers.Turn): void {
    this.claims.delete(claim.subject.target)
    this.release(claim, [...claim.held.keys()], turn)
  }

  private release (claim: Claims.Claim, promisers: readonly Ids.TargetId[], turn: Controllers.Turn): void {
    const { id } = claim.subject
    for (const [host, ids] of Posts.byHost(promisers, turn)) {
      this.post.send(host, { kind: 'promise-release', claim: id, round: claim.round, promisers: ids }, turn)
    }
    for (const promiser of promisers) {
      claim.held.delete(promiser)
      claim.wantedBack.delete(promiser)
      claim.released.set(promiser, claim.round)
    }
  }

  private ask (claim: Claims.Claim, others: readonly Targets.Target[], turn: Controllers.Turn): void {
    const { id, target, service, region } = claim.subject
    const round = claim.nextRound(turn.now)
    for (const [host, promisers] of Posts.byHost(others.map(other => other.target), turn)) {
      this.post.send(host, { kind: 'promise-request', claim: id, target, service, region, round, promisers }, turn)
    }
  }

  private others (claim: Claims.Claim, turn: Controllers.Turn): Targets.Target[] {
    const { service, target } = claim.subject
    return turn.board.targets.ofService(service).filter(other => other.target !== target && other.state === 'serving')
  }

  private refresh (claim: Claims.Claim, turn: Controllers.Turn): void {
    const { service, region } = claim.subject
    const count = this.census.count(service, region, turn.board.targets, turn.now)
    claim.own = { count, floor: turn.board.configuration.policyFor({ service }, turn.now).capacityFloor }
  }

  private record (decision: string, evidence: string, claim: Claims.Claim, turn: Controllers.Turn): void {
    const { target, service } = claim.subject
    turn.record({ controller: 'ejection', decision, evidence, target, service })
  }
}

function holdings (claim: Claims.Claim): string {
  const needs = claim.needs()
  const regional = [...claim.held.values()].filter(promise => promise.region === claim.subject.region).length
  return `promises ${claim.held.size} of ${needs.service} for the service, ${regional} of ${needs.region} for the region`
}
