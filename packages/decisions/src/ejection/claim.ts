/** One attempt to eject a target: the promises it holds and whether they suffice. */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Census from './census.js'
import * as Floor from './floor.js'
import type * as LeaseRules from './lease-rules.js'

export interface Held {
  readonly node: Ids.NodeId
  readonly region: Ids.Region
  readonly until: Clock.Milliseconds
  /** Round of the newest grant. */
  readonly round: number
  readonly count: Census.Count
  readonly floor: number
}

export interface ClaimSubject {
  readonly id: string
  readonly target: Ids.TargetId
  readonly incarnation: Ids.Incarnation
  readonly service: Ids.Service
  readonly region: Ids.Region
  readonly evidence: string
  readonly openedAt: Clock.Milliseconds
}

/** Rounds older than this cannot bring a usable lease any more. */
const ROUNDS_KEPT = 128
/** With this share of the working targets under evidence, and at least so many, the cause is shared. */
const SHARED_SHARE = 1 / 3
const SHARED_MINIMUM = 2

const NEVER = Clock.milliseconds(Number.NEGATIVE_INFINITY)

export class Claim {
  readonly held = new Map<Ids.TargetId, Held>()
  /** Promisers that asked to be released. */
  readonly wantedBack = new Set<Ids.TargetId>()
  readonly refusals = new Map<Ids.TargetId, string>()
  /** What working targets said of themselves: true when under evidence. */
  readonly votes = new Map<Ids.TargetId, boolean>()
  readonly released = new Map<Ids.TargetId, number>()
  readonly sentAt = new Map<number, Clock.Milliseconds>()
  round = 0
  askedAt = NEVER
  renewedAt = NEVER
  /** Round in which the last renewal began. */
  renewalRound = 0
  /** Instant at which the target became ejected; undefined while promises are collected. */
  since: Clock.Milliseconds | undefined
  /** End of the hold. */
  until = NEVER
  /** Promises changed since they were last weighed, and when that was. */
  changed = false
  weighedAt = NEVER
  /** Cached result of `sufficientUntil`. */
  goodUntil = NEVER
  /** The target's count and floor as this node knows them. */
  own: { readonly count: Census.Count, readonly floor: number } = { count: { service: 0, region: 0 }, floor: 1 }

  constructor (readonly subject: ClaimSubject) {}

  nextRound (now: Clock.Milliseconds): number {
    this.round += 1
    this.sentAt.set(this.round, now)
    this.sentAt.delete(this.round - ROUNDS_KEPT)
    this.askedAt = now
    return this.round
  }

  /** Promises needed under the rule for the whole service and under the one for the target's region. */
  needs (): Census.Count {
    const counts = [this.own, ...this.held.values()]
    const floor = Math.max(...counts.map(known => known.floor))
    return {
      service: Floor.needed(floor, Math.max(...counts.map(known => known.count.service))),
      region: Floor.needed(floor, Math.max(...counts.map(known => known.count.region)))
    }
  }

  /** Whether so many other targets are suspect that ejecting this one would not help. */
  isShared (): boolean {
    const suspect = [...this.votes.values()].filter(vote => vote).length
    return suspect >= SHARED_MINIMUM && suspect > SHARED_SHARE * this.votes.size
  }

  /** Instant until which either rule is met; in the past or minus infinity when none is. */
  sufficientUntil (without?: Ids.TargetId): Clock.Milliseconds {
    const needs = this.needs()
    const held = [...this.held].filter(([promiser]) => promiser !== without).map(([, promise]) => promise)
    const regional = held.filter(promise => promise.region === this.subject.region)
    return Clock.milliseconds(Math.max(nthEnd(held, needs.service), nthEnd(regional, needs.region)))
  }

  /**
   * Promises that may be released: all beyond one spare under the first rule that can do without those
   * that are wanted back. The spare covers a promiser that leaves.
   */
  surplus (guard: LeaseRules.LeaseRules, now: Clock.Milliseconds): Ids.TargetId[] {
    const needs = this.needs()
    const current = [...this.held].filter(([, promise]) => guard.isCurrent(promise.until, now)).sort((left, right) => this.compare(left, right))
    const willing = current.filter(([promiser]) => !this.wantedBack.has(promiser))
    for (const pool of [willing, current]) {
      const regional = pool.filter(([, promise]) => promise.region === this.subject.region)
      if (regional.length >= needs.region) return this.beyond(regional, needs.region)
      if (pool.length >= needs.service) return this.beyond(pool, needs.service)
    }
    return []
  }

  private beyond (pool: readonly (readonly [Ids.TargetId, Held])[], need: number): Ids.TargetId[] {
    const kept = new Set(pool.slice(0, need + 1).map(([promiser]) => promiser))
    return [...this.held.keys()].filter(promiser => !kept.has(promiser))
  }

  /** Whether the renewal in progress has reached enough promisers. */
  isRenewed (): boolean {
    const needs = this.needs()
    const renewed = [...this.held.values()].filter(promise => promise.round >= this.renewalRound)
    const regional = renewed.filter(promise => promise.region === this.subject.region)
    return renewed.length >= needs.service || regional.length >= needs.region
  }

  /** Among equals, all claims keep the same promisers, so that the others stay free to be ejected themselves. */
  private compare (left: readonly [Ids.TargetId, Held], right: readonly [Ids.TargetId, Held]): number {
    return this.rank(left) - this.rank(right) || (left[0] < right[0] ? -1 : 1)
  }

  private rank ([promiser, promise]: readonly [Ids.TargetId, Held]): number {
    return (this.wantedBack.has(promiser) ? 2 : 0) + (promise.round < this.renewalRound ? 1 : 0)
  }
}

function nthEnd (promises: readonly Held[], need: number): number {
  if (need === 0) return Number.POSITIVE_INFINITY
  const ends = promises.map(promise => promise.until).sort((left, right) => right - left)
  return ends[need - 1] ?? Number.NEGATIVE_INFINITY
}
