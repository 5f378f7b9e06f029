/** Gives promises on behalf of this node's targets and keeps them. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as Census from './census.js'
import type * as LeaseRules from './lease-rules.js'
import type * as Messages from './message.js'
import type * as Posts from './post.js'

/**
 * Share of `ejection-evidence` from which a target promises nothing. One moderately slow answer stays
 * below it; under slowness that all targets share, most of them exceed it before the first is ejected.
 */
const SUSPECT_SHARE = 1 / 3

/** A target without work for this long has no say on whether a trouble is shared. */
const IDLE_MILLISECONDS = 60_000

interface Promise {
  readonly node: Ids.NodeId
  readonly target: Ids.TargetId
  readonly round: number
  readonly until: Clock.Milliseconds
}

type Reason = Messages.PromiseReply['refused'][number]['reason']

export class Promiser {
  /** By promiser, then by claim. */
  private readonly promises = new Map<Ids.TargetId, Map<string, Promise>>()

  constructor (
    private readonly guard: LeaseRules.LeaseRules,
    private readonly census: Census.Census,
    private readonly post: Posts.Post
  ) {}

  /** Whether the target has promised to stay in service. */
  isBound (target: Ids.TargetId, now: Clock.Milliseconds): boolean {
    return [...this.promises.get(target)?.values() ?? []].some(promise => this.guard.isBound(promise.until, now))
  }

  requested (message: Messages.PromiseRequest, from: Ids.NodeId, claimed: ReadonlySet<Ids.TargetId>, turn: Controllers.Turn): void {
    const granted: Ids.TargetId[] = []
    const refused: { target: Ids.TargetId, reason: Reason }[] = []
    for (const promiser of message.promisers) {
      const reason = claimed.has(promiser) ? 'under-evidence' : reasonAgainst(promiser, message, turn)
      if (reason !== undefined) {
        refused.push({ target: promiser, reason })
        continue
      }
      this.keep(promiser, message, from, turn.now)
      granted.push(promiser)
    }
    const { claim, target, round, service, region } = message
    const count = this.census.count(service, region, turn.board.targets, turn.now)
    const floor = turn.board.configuration.policyFor({ service }, turn.now).capacityFloor
    const idle = granted.filter(promiser => isIdle(promiser, turn))
    const counts = { serviceCount: count.service, regionCount: count.region, floor }
    this.post.send(from, { kind: 'promise-reply', claim, target, round, granted, idle, refused, ...counts }, turn)
  }

  released (message: Messages.PromiseRelease): void {
    for (const promiser of message.promisers) {
      const promise = this.promises.get(promiser)?.get(message.claim)
      if (promise !== undefined && this.guard.ends(promise.round, message.round)) this.promises.get(promiser)?.delete(message.claim)
    }
  }

  /** Asks every claim that holds the target's promise to release it. */
  askBack (target: Ids.TargetId, turn: Controllers.Turn): void {
    for (const [claim, promise] of this.promises.get(target) ?? []) {
      this.post.send(promise.node, { kind: 'promise-return', claim, target: promise.target, promisers: [target] }, turn)
    }
  }

  /** Forgets ended promises and tells the holders of the others when a promiser no longer serves. */
  tick (turn: Controllers.Turn): void {
    for (const [target, byClaim] of this.promises) {
      for (const [claim, promise] of byClaim) if (promise.until <= turn.now) byClaim.delete(claim)
      if (byClaim.size === 0) this.promises.delete(target)
      else if (turn.board.targets.get(target)?.state !== 'serving') this.withdraw(target, byClaim, turn)
    }
  }

  /** Repeated at each tick until the holder's release arrives, as a datagram may be lost. */
  private withdraw (target: Ids.TargetId, byClaim: ReadonlyMap<string, Promise>, turn: Controllers.Turn): void {
    for (const [claim, promise] of byClaim) {
      this.post.send(promise.node, { kind: 'promise-withdrawal', claim, target: promise.target, promisers: [target] }, turn)
    }
  }

  private keep (promiser: Ids.TargetId, message: Messages.PromiseRequest, node: Ids.NodeId, now: Clock.Milliseconds): void {
    const byClaim = this.promises.get(promiser) ?? new Map<string, Promise>()
    const earlier = byClaim.get(message.claim)
    const until = Math.max(this.guard.promiseUntil(now), earlier?.until ?? 0)
    const round = Math.max(message.round, earlier?.round ?? 0)
    byClaim.set(message.claim, { node, target: message.target, round, until: Clock.milliseconds(until) })
    this.promises.set(promiser, byClaim)
  }
}

function reasonAgainst (promiser: Ids.TargetId, message: Messages.PromiseRequest, turn: Controllers.Turn): Reason | undefined {
  const { board, now } = turn
  const target = board.targets.get(promiser)
  if (target?.host !== board.identity.node || target.service !== message.service || promiser === message.target) return 'unknown'
  const standing = board.ejections.stateOf(promiser)
  if (target.state !== 'serving' || standing.kind !== 'in-service' || standing.weight < 1) return 'not-in-service'
  const { ejectionEvidence } = board.configuration.policyFor({ service: target.service }, now)
  const score = board.evidence.local.get(promiser)?.score ?? 0
  return score >= SUSPECT_SHARE * ejectionEvidence ? 'under-evidence' : undefined
}

function isIdle (promiser: Ids.TargetId, turn: Controllers.Turn): boolean {
  const lastWork = turn.board.evidence.local.get(promiser)?.lastWork
  return lastWork === undefined || turn.now - lastWork > IDLE_MILLISECONDS
}
