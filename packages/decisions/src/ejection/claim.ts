/**
 * One attempt to eject a target. Other targets of the service (the promisers) promise to stay in service for
 * a limited time. The target may be ejected while enough promises are held to keep the capacity floor.
 */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as TargetCounts from './target-counts.js'
import * as Floor from './floor.js'
import type * as LeaseRules from './lease-rules.js'

export interface HeldPromise {
  readonly node: Ids.NodeId
  readonly region: Ids.Region
  /** End of the lease by the clock of this node. */
  readonly until: Clock.Milliseconds
  /** Round of the latest grant. */
  readonly round: number
  /** Target count and capacity floor as the granting node knows them. */
  readonly count: TargetCounts.TargetCount
  readonly floor: number
}

export interface ClaimDetails {
  readonly id: string
  readonly target: Ids.TargetId
  readonly incarnation: Ids.Incarnation
  readonly service: Ids.Service
  readonly region: Ids.Region
  readonly evidence: string
  readonly openedAt: Clock.Milliseconds
}

/** Replies to earlier rounds are ignored: a lease counts from when its round was sent, so leases of those rounds have ended. */
const ROUNDS_KEPT = 128
/** When more than this fraction of the other active targets and at least this many are suspect, the cause is likely common to them. */
const COMMON_CAUSE_FRACTION = 1 / 3
const COMMON_CAUSE_SUSPECTS_MINIMUM = 2

const NEVER = Clock.milliseconds(Number.NEGATIVE_INFINITY)

export class Claim {
  readonly promises = new Map<Ids.TargetId, HeldPromise>()
  /** Promisers that asked to be released, or whose renewal was refused. */
  readonly releaseRequests = new Set<Ids.TargetId>()
  readonly refusals = new Map<Ids.TargetId, string>()
  /** Health of the other active targets as their hosts reported it: true when suspect. */
  readonly suspectVotes = new Map<Ids.TargetId, boolean>()
  /** By promiser, the last round whose grants were released. */
  readonly releaseRounds = new Map<Ids.TargetId, number>()
  readonly sentAtByRound = new Map<number, Clock.Milliseconds>()
  round = 0
  requestedAt = NEVER
  renewalStartedAt = NEVER
  /** First round of the last renewal. */
  renewalRound = 0
  /** Undefined while promises are collected. */
  ejectedAt: Clock.Milliseconds | undefined
  /** End of the time for which the target stays ejected. */
  holdUntil = NEVER
  /** Promises were renewed since the last evaluation. */
  hasChanged = false
  evaluatedAt = NEVER
  /** Cached result of `sufficientUntil`. */
  cachedSufficientUntil = NEVER
  /** Target count and capacity floor as this node knows them. */
  localView: { readonly count: TargetCounts.TargetCount, readonly floor: number } = { count: { service: 0, region: 0 }, floor: 1 }

  constructor (readonly details: ClaimDetails) {}

  startRound (now: Clock.Milliseconds): number {
    this.round += 1
    this.sentAtByRound.set(this.round, now)
    this.sentAtByRound.delete(this.round - ROUNDS_KEPT)
    this.requestedAt = now
    return this.round
  }

  /**
   * Promises needed under the rule for the whole service and under the rule for the region of the target.
   * Nodes may differ in counts and floor; the largest are used.
   */
  requiredPromises (): TargetCounts.TargetCount {
    const counts = [this.localView, ...this.promises.values()]
    const floor = Math.max(...counts.map(known => known.floor))
    return {
      service: Floor.requiredTargets(floor, Math.max(...counts.map(known => known.count.service))),
      region: Floor.requiredTargets(floor, Math.max(...counts.map(known => known.count.region)))
    }
  }

  /** Whether so many other targets are suspect that the cause is likely common to them and ejection would not help. */
  hasCommonCause (): boolean {
    const suspects = [...this.suspectVotes.values()].filter(vote => vote).length
    return suspects >= COMMON_CAUSE_SUSPECTS_MINIMUM && suspects > COMMON_CAUSE_FRACTION * this.suspectVotes.size
  }

  /** Time until which at least one rule is met; in the past or minus infinity when none is. */
  sufficientUntil (without?: Ids.TargetId): Clock.Milliseconds {
    const required = this.requiredPromises()
    const promises = [...this.promises].filter(([promiser]) => promiser !== without).map(([, promise]) => promise)
    const regional = promises.filter(promise => promise.region === this.details.region)
    return Clock.milliseconds(Math.max(nthLatestEnd(promises, required.service), nthLatestEnd(regional, required.region)))
  }

  /**
   * Promisers that may be released: all but the required ones and one spare, which covers a promiser that leaves.
   * Promisers that asked to be released are kept only when no rule is met without them; the rule for the region
   * is preferred.
   */
  surplusPromisers (leaseRules: LeaseRules.LeaseRules, now: Clock.Milliseconds): Ids.TargetId[] {
    const required = this.requiredPromises()
    const current = [...this.promises].filter(([, promise]) => leaseRules.isCurrent(promise.until, now)).sort((left, right) => this.compareForKeeping(left, right))
    const withoutReleaseRequest = current.filter(([promiser]) => !this.releaseRequests.has(promiser))
    for (const pool of [withoutReleaseRequest, current]) {
      const regional = pool.filter(([, promise]) => promise.region === this.details.region)
      if (regional.length >= required.region) return this.promisersOutside(regional, required.region)
      if (pool.length >= required.service) return this.promisersOutside(pool, required.service)
    }
    return []
  }

  private promisersOutside (pool: readonly (readonly [Ids.TargetId, HeldPromise])[], need: number): Ids.TargetId[] {
    const kept = new Set(pool.slice(0, need + 1).map(([promiser]) => promiser))
    return [...this.promises.keys()].filter(promiser => !kept.has(promiser))
  }

  /** Whether enough promises have been renewed since the last renewal began. */
  isRenewed (): boolean {
    const required = this.requiredPromises()
    const renewed = [...this.promises.values()].filter(promise => promise.round >= this.renewalRound)
    const regional = renewed.filter(promise => promise.region === this.details.region)
    return renewed.length >= required.service || regional.length >= required.region
  }

  /** Among equals, all claims keep the promisers with the lowest ids, so that the other targets can be ejected themselves. */
  private compareForKeeping (left: readonly [Ids.TargetId, HeldPromise], right: readonly [Ids.TargetId, HeldPromise]): number {
    return this.releaseRank(left) - this.releaseRank(right) || (left[0] < right[0] ? -1 : 1)
  }

  /** Promisers with a higher rank are released first. */
  private releaseRank ([promiser, promise]: readonly [Ids.TargetId, HeldPromise]): number {
    return (this.releaseRequests.has(promiser) ? 2 : 0) + (promise.round < this.renewalRound ? 1 : 0)
  }
}

/** Time until which `need` of the promises hold. */
function nthLatestEnd (promises: readonly HeldPromise[], need: number): number {
  if (need === 0) return Number.POSITIVE_INFINITY
  const ends = promises.map(promise => promise.until).sort((left, right) => right - left)
  return ends[need - 1] ?? Number.NEGATIVE_INFINITY
}
