/** Collects and renews the promises that the ejection of a local target required, ejects the target and returns it to service. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import type * as Targets from '../membership/targets.js'
import type * as TargetCounts from './target-counts.js'
import * as Claims from './claim.js'
import type * as LeaseRules from './lease-rules.js'
import type * as Messages from './message.js'
import * as MessageSenders from './message-sender.js'
import type * as PromiseGranters from './promise-granter.js'
import type * as TargetReturns from './target-returns.js'

/** A datagram without answer for this long is sent again; a round trip between regions takes 16 ms. */
const RESEND_MILLISECONDS = 200
const RENEWAL_INTERVAL_MILLISECONDS = 3_000
/** A renewal that is not complete after this time requests promises from all targets. */
const RENEWAL_TIMEOUT_MILLISECONDS = 500
/** Evaluates unchanged promises as well, because the target counts and the floor may change. */
const EVALUATION_INTERVAL_MILLISECONDS = 1_000
/** Collecting for longer would only keep the promisers in service without an ejection. */
const COLLECTION_TIMEOUT_MILLISECONDS = 1_500
/** Delay before the next claim; a random part is added, so that competing claims do not repeat at the same time. */
const CLAIM_DELAY_MILLISECONDS = 500
/**
 * Delay when many targets are suspect at once. Baselines follow a common slowdown within about 12 s at 2 requests/s
 * per target; an earlier claim would eject whichever target is the last to lose its evidence.
 */
const COMMON_CAUSE_CLAIM_DELAY_MILLISECONDS = 15_000

export class EjectionCoordinator {
  private readonly claims = new Map<Ids.TargetId, Claims.Claim>()
  private readonly nextClaimAt = new Map<Ids.TargetId, number>()

  constructor (
    private readonly leaseRules: LeaseRules.LeaseRules,
    private readonly targetCounts: TargetCounts.TargetCounts,
    private readonly sender: MessageSenders.MessageSender,
    private readonly granter: PromiseGranters.PromiseGranter,
    private readonly targetReturns: TargetReturns.TargetReturns
  ) {}

  /** Targets of this node that are ejected or for which promises are collected. */
  claimedTargets (): ReadonlySet<Ids.TargetId> {
    return new Set(this.claims.keys())
  }

  /** Returns targets whose leases have ended. Runs before each event is handled, because the node may have been paused. */
  endExpiredEjections (context: Controllers.StepContext): void {
    for (const claim of this.claims.values()) {
      if (claim.ejectedAt !== undefined && !this.leaseRules.isCurrent(claim.cachedSufficientUntil, context.now)) this.endEarly(claim, context)
    }
  }

  /** Requests promises of the targets in the same region at once, and of all others from the next tick on. */
  openClaim (event: Events.EjectionWanted, context: Controllers.StepContext): void {
    const target = context.board.targets.get(event.target)
    if (target?.host !== context.board.identity.node || target.state !== 'serving') return
    if (this.claims.has(event.target) || context.now < (this.nextClaimAt.get(event.target) ?? 0)) return
    const { service, region, incarnation } = target
    const details = { id: context.freshId(), target: event.target, incarnation, service, region, evidence: event.evidence, openedAt: context.now }
    const claim = new Claims.Claim(details)
    this.claims.set(event.target, claim)
    this.refreshLocalView(claim, context)
    this.requestPromises(claim, this.otherServingTargets(claim, context).filter(other => other.region === region), context)
    this.granter.requestRelease(event.target, context)
    this.evaluate(claim, context)
  }

  handleReply (message: Messages.PromiseReply, from: Ids.NodeId, context: Controllers.StepContext): void {
    const claim = this.claims.get(message.target)
    const { round, granted, floor } = message
    if (claim?.details.id !== message.claim) {
      this.sender.send(from, { kind: 'promise-release', claim: message.claim, round, promisers: granted }, context)
      return
    }
    const sentAt = claim.sentAtByRound.get(round)
    if (sentAt === undefined) return
    const count = { service: message.serviceCount, region: message.regionCount }
    for (const promiser of granted) {
      if (!this.leaseRules.isGrantUsable(round, claim.releaseRounds.get(promiser)) || (claim.promises.get(promiser)?.round ?? 0) >= round) continue
      const region = context.board.targets.get(promiser)?.region ?? Ids.region('')
      claim.promises.set(promiser, { node: from, region, until: this.leaseRules.leaseEnd(sentAt), round, count, floor })
      claim.refusals.delete(promiser)
    }
    for (const promiser of granted) if (!message.idle.includes(promiser)) claim.suspectVotes.set(promiser, false)
    for (const { target, reason } of message.refused) {
      if (reason === 'under-evidence') claim.suspectVotes.set(target, true)
      claim.refusals.set(target, reason)
      if (claim.promises.has(target)) claim.releaseRequests.add(target)
    }
    // Renewals only extend promises that are held, so their evaluation can wait for the tick.
    if (claim.ejectedAt === undefined) this.evaluate(claim, context)
    else claim.hasChanged = true
  }

  /** A promiser is suspect and asks to be released. */
  handleReleaseRequest (message: Messages.PromiseReturn, from: Ids.NodeId, context: Controllers.StepContext): void {
    const claim = this.claims.get(message.target)
    if (claim?.details.id !== message.claim) {
      // The claim was closed, so the promises of all its rounds are released.
      this.sender.send(from, { kind: 'promise-release', claim: message.claim, round: Number.MAX_SAFE_INTEGER, promisers: message.promisers }, context)
      return
    }
    for (const promiser of message.promisers) {
      if (claim.promises.has(promiser)) claim.releaseRequests.add(promiser)
      else this.releasePromises(claim, [promiser], context)
    }
    this.evaluate(claim, context)
  }

  /** Promisers are leaving or gone: drops their promises at once. */
  handleWithdrawal (message: Messages.PromiseWithdrawal, context: Controllers.StepContext): void {
    const claim = this.claims.get(message.target)
    if (claim?.details.id !== message.claim) return
    this.releasePromises(claim, message.promisers, context)
    this.evaluate(claim, context)
  }

  tick (context: Controllers.StepContext): void {
    for (const claim of this.claims.values()) {
      const target = context.board.targets.get(claim.details.target)
      if (target?.state !== 'serving' || target.incarnation !== claim.details.incarnation) {
        this.closeClaim(claim, context)
        this.targetReturns.cancel(claim.details.target)
        context.board.ejections.local.delete(claim.details.target)
        continue
      }
      this.refreshLocalView(claim, context)
      if (claim.ejectedAt === undefined) this.continueCollecting(claim, context)
      else this.maintainEjection(claim, context)
    }
    for (const [target, until] of this.nextClaimAt) if (until <= context.now) this.nextClaimAt.delete(target)
  }

  private continueCollecting (claim: Claims.Claim, context: Controllers.StepContext): void {
    if (!this.granter.isBound(claim.details.target, context.now)) this.evaluate(claim, context)
    if (claim.ejectedAt !== undefined) return
    if (context.now - claim.details.openedAt >= COLLECTION_TIMEOUT_MILLISECONDS) {
      this.giveUp(claim, context)
      return
    }
    const waited = context.now - claim.requestedAt
    if (waited < RESEND_MILLISECONDS && claim.round > 1) return
    this.requestPromises(claim, this.otherServingTargets(claim, context).filter(other => !claim.promises.has(other.target)), context)
    this.granter.requestRelease(claim.details.target, context)
  }

  private maintainEjection (claim: Claims.Claim, context: Controllers.StepContext): void {
    if (context.now >= claim.holdUntil) {
      this.completeHold(claim, context)
      return
    }
    if (claim.hasChanged || context.now - claim.evaluatedAt >= EVALUATION_INTERVAL_MILLISECONDS) this.evaluate(claim, context)
    if (!this.claims.has(claim.details.target)) return
    const waited = context.now - claim.requestedAt
    if (context.now - claim.renewalStartedAt >= RENEWAL_INTERVAL_MILLISECONDS) {
      claim.renewalStartedAt = context.now
      claim.renewalRound = claim.round + 1
      this.requestPromises(claim, this.otherServingTargets(claim, context).filter(other => claim.promises.has(other.target)), context)
    } else if (!claim.isRenewed() && waited >= RENEWAL_TIMEOUT_MILLISECONDS) {
      this.requestPromises(claim, this.otherServingTargets(claim, context), context)
    } else if (claim.releaseRequests.size > 0 && waited >= RESEND_MILLISECONDS) {
      this.requestPromises(claim, this.otherServingTargets(claim, context).filter(other => !claim.promises.has(other.target)), context)
    }
  }

  /** Ejects the target once the promises suffice, or returns it when they no longer do. Releases surplus promises. */
  private evaluate (claim: Claims.Claim, context: Controllers.StepContext): void {
    claim.hasChanged = false
    claim.evaluatedAt = context.now
    claim.cachedSufficientUntil = claim.sufficientUntil()
    const isSufficient = this.leaseRules.isCurrent(claim.cachedSufficientUntil, context.now)
    if (claim.ejectedAt === undefined) {
      if (!isSufficient || claim.hasCommonCause() || this.granter.isBound(claim.details.target, context.now)) return
      this.eject(claim, context)
    } else if (!isSufficient) {
      this.endEarly(claim, context)
      return
    }
    const surplus = claim.surplusPromisers(this.leaseRules, context.now)
    if (surplus.length === 0) return
    this.releasePromises(claim, surplus, context)
    claim.cachedSufficientUntil = claim.sufficientUntil()
  }

  private eject (claim: Claims.Claim, context: Controllers.StepContext): void {
    const { target, service, evidence } = claim.details
    const policy = context.board.configuration.policyFor({ service }, context.now)
    claim.ejectedAt = context.now
    claim.renewalStartedAt = context.now
    claim.renewalRound = 0
    claim.holdUntil = Clock.add(context.now, this.targetReturns.holdDuration(target, policy, context.now))
    this.targetReturns.cancel(target)
    context.board.ejections.local.set(target, { kind: 'ejected', since: context.now, until: claim.holdUntil, evidence })
    this.record('ejected', `${evidence}; ${describePromises(claim)}; hold ${claim.holdUntil - context.now} ms`, claim, context)
  }

  private completeHold (claim: Claims.Claim, context: Controllers.StepContext): void {
    this.closeClaim(claim, context)
    this.targetReturns.start(claim.details.target, context)
    this.record('returned', 'The hold ended.', claim, context)
  }

  /** Returns the target at once and at full weight, because without enough promises the floor may need it. */
  private endEarly (claim: Claims.Claim, context: Controllers.StepContext): void {
    this.closeClaim(claim, context)
    context.board.ejections.local.delete(claim.details.target)
    this.delayNextClaim(claim, context)
    this.record('returned', `Too few promises were renewed: ${describePromises(claim)}.`, claim, context)
  }

  /** Ends a claim that could not collect enough promises. */
  private giveUp (claim: Claims.Claim, context: Controllers.StepContext): void {
    const reasons = [...claim.refusals].map(([target, reason]) => `${target} ${reason}`).join(', ')
    this.record('refused-by-floor', `${claim.details.evidence}; ${describePromises(claim)}; refused: ${reasons === '' ? 'none' : reasons}`, claim, context)
    this.closeClaim(claim, context)
    this.delayNextClaim(claim, context)
  }

  private delayNextClaim (claim: Claims.Claim, context: Controllers.StepContext): void {
    const wait = claim.hasCommonCause() ? COMMON_CAUSE_CLAIM_DELAY_MILLISECONDS : CLAIM_DELAY_MILLISECONDS
    this.nextClaimAt.set(claim.details.target, context.now + wait * (1 + context.random.fraction()))
  }

  private closeClaim (claim: Claims.Claim, context: Controllers.StepContext): void {
    this.claims.delete(claim.details.target)
    this.releasePromises(claim, [...claim.promises.keys()], context)
  }

  private releasePromises (claim: Claims.Claim, promisers: readonly Ids.TargetId[], context: Controllers.StepContext): void {
    const { id } = claim.details
    for (const [host, ids] of MessageSenders.groupByHost(promisers, context)) {
      this.sender.send(host, { kind: 'promise-release', claim: id, round: claim.round, promisers: ids }, context)
    }
    for (const promiser of promisers) {
      claim.promises.delete(promiser)
      claim.releaseRequests.delete(promiser)
      claim.releaseRounds.set(promiser, claim.round)
    }
  }

  private requestPromises (claim: Claims.Claim, others: readonly Targets.Target[], context: Controllers.StepContext): void {
    const { id, target, service, region } = claim.details
    const round = claim.startRound(context.now)
    for (const [host, promisers] of MessageSenders.groupByHost(others.map(other => other.target), context)) {
      this.sender.send(host, { kind: 'promise-request', claim: id, target, service, region, round, promisers }, context)
    }
  }

  private otherServingTargets (claim: Claims.Claim, context: Controllers.StepContext): Targets.Target[] {
    const { service, target } = claim.details
    return context.board.targets.ofService(service).filter(other => other.target !== target && other.state === 'serving')
  }

  private refreshLocalView (claim: Claims.Claim, context: Controllers.StepContext): void {
    const { service, region } = claim.details
    const count = this.targetCounts.count(service, region, context.board.targets, context.now)
    claim.localView = { count, floor: context.board.configuration.policyFor({ service }, context.now).capacityFloor }
  }

  private record (decision: string, evidence: string, claim: Claims.Claim, context: Controllers.StepContext): void {
    const { target, service } = claim.details
    context.record({ controller: 'ejection', decision, evidence, target, service })
  }
}

function describePromises (claim: Claims.Claim): string {
  const required = claim.requiredPromises()
  const regional = [...claim.promises.values()].filter(promise => promise.region === claim.details.region).length
  return `promises ${claim.promises.size} of ${required.service} for the service, ${regional} of ${required.region} for the region`
}
