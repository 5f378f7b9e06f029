/** Grants promises to stay in service on behalf of this node's targets, and stores them until they end or are released. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as TargetCounts from './target-counts.js'
import type * as LeaseRules from './lease-rules.js'
import type * as Messages from './message.js'
import type * as MessageSenders from './message-sender.js'

/**
 * Fraction of `ejection-evidence` from which a target grants no promise. One moderately slow answer does not reach it.
 * When all targets become slow, most of them reach it before the first is ejected.
 */
const REFUSAL_SCORE_FRACTION = 1 / 3

/** The health of a target without work for this long says nothing about a common cause. */
const IDLE_MILLISECONDS = 60_000

interface GivenPromise {
  /** Node and target of the claim. */
  readonly node: Ids.NodeId
  readonly target: Ids.TargetId
  readonly round: number
  readonly until: Clock.Milliseconds
}

type RefusalReason = Messages.PromiseReply['refused'][number]['reason']

export class PromiseGranter {
  /** By promiser, then by claim. */
  private readonly promises = new Map<Ids.TargetId, Map<string, GivenPromise>>()

  constructor (
    private readonly leaseRules: LeaseRules.LeaseRules,
    private readonly targetCounts: TargetCounts.TargetCounts,
    private readonly sender: MessageSenders.MessageSender
  ) {}

  /** Whether the target must stay in service because of a promise. */
  isBound (target: Ids.TargetId, now: Clock.Milliseconds): boolean {
    return [...this.promises.get(target)?.values() ?? []].some(promise => this.leaseRules.isBound(promise.until, now))
  }

  handleRequest (message: Messages.PromiseRequest, from: Ids.NodeId, claimed: ReadonlySet<Ids.TargetId>, context: Controllers.StepContext): void {
    const granted: Ids.TargetId[] = []
    const refused: { target: Ids.TargetId, reason: RefusalReason }[] = []
    for (const promiser of message.promisers) {
      const reason = claimed.has(promiser) ? 'under-evidence' : refusalReason(promiser, message, context)
      if (reason !== undefined) {
        refused.push({ target: promiser, reason })
        continue
      }
      this.storePromise(promiser, message, from, context.now)
      granted.push(promiser)
    }
    const { claim, target, round, service, region } = message
    const count = this.targetCounts.count(service, region, context.board.targets, context.now)
    const floor = context.board.configuration.policyFor({ service }, context.now).capacityFloor
    const idle = granted.filter(promiser => isIdle(promiser, context))
    const counts = { serviceCount: count.service, regionCount: count.region, floor }
    this.sender.send(from, { kind: 'promise-reply', claim, target, round, granted, idle, refused, ...counts }, context)
  }

  handleRelease (message: Messages.PromiseRelease): void {
    for (const promiser of message.promisers) {
      const promise = this.promises.get(promiser)?.get(message.claim)
      if (promise !== undefined && this.leaseRules.isReleased(promise.round, message.round)) this.promises.get(promiser)?.delete(message.claim)
    }
  }

  /** Asks every claim that holds a promise of the target to release it. */
  requestRelease (target: Ids.TargetId, context: Controllers.StepContext): void {
    for (const [claim, promise] of this.promises.get(target) ?? []) {
      this.sender.send(promise.node, { kind: 'promise-return', claim, target: promise.target, promisers: [target] }, context)
    }
  }

  /** Removes ended promises, and withdraws the others when their promiser no longer serves. */
  tick (context: Controllers.StepContext): void {
    for (const [target, byClaim] of this.promises) {
      for (const [claim, promise] of byClaim) if (promise.until <= context.now) byClaim.delete(claim)
      if (byClaim.size === 0) this.promises.delete(target)
      else if (context.board.targets.get(target)?.state !== 'serving') this.sendWithdrawals(target, byClaim, context)
    }
  }

  /** Repeated at each tick until the release arrives, because a datagram may be lost. */
  private sendWithdrawals (target: Ids.TargetId, byClaim: ReadonlyMap<string, GivenPromise>, context: Controllers.StepContext): void {
    for (const [claim, promise] of byClaim) {
      this.sender.send(promise.node, { kind: 'promise-withdrawal', claim, target: promise.target, promisers: [target] }, context)
    }
  }

  private storePromise (promiser: Ids.TargetId, message: Messages.PromiseRequest, node: Ids.NodeId, now: Clock.Milliseconds): void {
    const byClaim = this.promises.get(promiser) ?? new Map<string, GivenPromise>()
    const earlier = byClaim.get(message.claim)
    const until = Math.max(this.leaseRules.promiseEnd(now), earlier?.until ?? 0)
    const round = Math.max(message.round, earlier?.round ?? 0)
    byClaim.set(message.claim, { node, target: message.target, round, until: Clock.milliseconds(until) })
    this.promises.set(promiser, byClaim)
  }
}

function refusalReason (promiser: Ids.TargetId, message: Messages.PromiseRequest, context: Controllers.StepContext): RefusalReason | undefined {
  const { board, now } = context
  const target = board.targets.get(promiser)
  if (target?.host !== board.identity.node || target.service !== message.service || promiser === message.target) return 'unknown'
  const state = board.ejections.stateOf(promiser)
  if (target.state !== 'serving' || state.kind !== 'in-service' || state.weight < 1) return 'not-in-service'
  const { ejectionEvidence } = board.configuration.policyFor({ service: target.service }, now)
  const score = board.evidence.local.get(promiser)?.score ?? 0
  return score >= REFUSAL_SCORE_FRACTION * ejectionEvidence ? 'under-evidence' : undefined
}

function isIdle (promiser: Ids.TargetId, context: Controllers.StepContext): boolean {
  const lastWork = context.board.evidence.local.get(promiser)?.lastWork
  return lastWork === undefined || context.now - lastWork > IDLE_MILLISECONDS
}
