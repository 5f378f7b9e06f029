/** Section `crashes`: requests that crash backend servers. Written by Quarantine. */
import * as LruCache from 'lru-cache'
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Messages from './message.js'

export interface Suspect {
  /** Crashed target incarnations with the time of the crash. */
  readonly crashes: Map<string, number>
  /** Last completion known; crashes before it do not count. */
  completedAt: number
}

export interface Block {
  readonly since: number
  readonly until: number
  /** How often the signature has been blocked. */
  readonly round: number
}

export const BLOCK_DURATION = Clock.minutes(10)
/**
 * Renewals end after this time from the start of a block, doubled for each further block: a bystander
 * that was blocked by mistake gets another try, and a request that does crash servers costs one server for each try.
 */
const RENEWAL_LIMIT = Clock.minutes(30)
const RENEWAL_DOUBLINGS = 4
const CRASHES_FOR_BLOCK = 2
const SUSPECTS_KEPT = 2_000
const CRASHES_KEPT = 4
const BLOCKS_KEPT = 1_000
/** A third crash long after two others blocks again at once. */
const SUSPECT_LIFETIME = Clock.hours(12)

export class Crashes {
  /** Blocked signatures and the instant at which the block ends. */
  readonly blocked = new Map<Ids.Signature, Clock.Milliseconds>()
  readonly blocks = new Map<Ids.Signature, Block>()
  readonly suspects = new LruCache.LRUCache<Ids.Signature, Suspect>({ max: SUSPECTS_KEPT })

  isBlocked (signature: Ids.Signature, now: Clock.Milliseconds): boolean {
    return now < (this.blocked.get(signature) ?? -Infinity)
  }

  /** Takes in one fact. Returns whether it was new. */
  learn (rumor: Messages.Rumor): boolean {
    const signature = rumor.signature as Ids.Signature
    switch (rumor.kind) {
      case 'crash': return this.crash(signature, rumor.crash, rumor.at)
      case 'completion': return this.complete(signature, rumor.at)
      case 'block': return this.block(signature, { since: rumor.since, until: rumor.until, round: rumor.round })
    }
  }

  private crash (signature: Ids.Signature, crash: string, at: number): boolean {
    const suspect = this.suspects.get(signature) ?? { crashes: new Map<string, number>(), completedAt: -Infinity }
    this.suspects.set(signature, suspect)
    if (suspect.crashes.has(crash) || at <= suspect.completedAt) return false
    suspect.crashes.set(crash, at)
    const [oldest] = suspect.crashes.keys()
    if (suspect.crashes.size > CRASHES_KEPT && oldest !== undefined) suspect.crashes.delete(oldest)
    if (suspect.crashes.size < CRASHES_FOR_BLOCK) return true
    const latest = Math.max(...suspect.crashes.values())
    const earlier = this.blocks.get(signature)
    if (earlier === undefined || latest >= earlier.until) {
      this.block(signature, { since: latest, until: latest + BLOCK_DURATION, round: (earlier?.round ?? 0) + 1 })
    }
    return true
  }

  /**
   * A request that completed did not cause the crashes before; a block on it ends. The completion is
   * remembered even before the crashes are heard of, because facts arrive in any order.
   */
  private complete (signature: Ids.Signature, at: number): boolean {
    const known = this.suspects.get(signature)
    const suspect = known ?? { crashes: new Map<string, number>(), completedAt: -Infinity }
    if (at <= suspect.completedAt) return false
    suspect.completedAt = at
    this.suspects.set(signature, suspect)
    const before = suspect.crashes.size
    for (const [crash, crashedAt] of suspect.crashes) if (crashedAt <= at) suspect.crashes.delete(crash)
    const cleared = suspect.crashes.size < before
    if (cleared && suspect.crashes.size < CRASHES_FOR_BLOCK) this.unblock(signature)
    return cleared || known === undefined
  }

  private block (signature: Ids.Signature, block: Block): boolean {
    const known = this.blocks.get(signature)
    if (known !== undefined && (known.round > block.round || (known.round === block.round && known.until >= block.until))) return false
    const suspect = this.suspects.get(signature)
    if (suspect !== undefined && suspect.completedAt >= block.since) return false
    this.blocks.set(signature, block)
    const [oldest] = this.blocks.keys()
    if (this.blocks.size > BLOCKS_KEPT && oldest !== undefined) this.unblock(oldest)
    this.blocked.set(signature, Clock.milliseconds(block.until))
    return true
  }

  private unblock (signature: Ids.Signature): void {
    this.blocks.delete(signature)
    this.blocked.delete(signature)
  }

  /** The block after a refused repeat; undefined when it cannot be renewed further. */
  renewed (signature: Ids.Signature, now: Clock.Milliseconds): Block | undefined {
    const block = this.blocks.get(signature)
    if (block === undefined) return undefined
    const limit = block.since + RENEWAL_LIMIT * 2 ** Math.min(block.round - 1, RENEWAL_DOUBLINGS)
    const until = Math.min(now + BLOCK_DURATION, limit)
    return until > block.until ? { ...block, until } : undefined
  }

  /** Everything known, for a node that starts. */
  facts (): Messages.Rumor[] {
    const crashes = [...this.suspects.entries()].flatMap(([signature, suspect]) =>
      [...suspect.crashes].map(([crash, at]): Messages.Rumor => ({ kind: 'crash', signature, crash, at })))
    const blocks = [...this.blocks].map(([signature, block]): Messages.Rumor => ({ kind: 'block', signature, ...block }))
    return [...blocks, ...crashes]
  }

  forget (now: Clock.Milliseconds): void {
    for (const [signature, until] of this.blocked) if (until <= now) this.blocked.delete(signature)
    for (const [signature, suspect] of this.suspects.entries()) {
      const latest = Math.max(suspect.completedAt, ...suspect.crashes.values())
      if (latest < now - SUSPECT_LIFETIME) this.suspects.delete(signature)
    }
    for (const [signature, block] of this.blocks) if (block.until < now - SUSPECT_LIFETIME) this.blocks.delete(signature)
  }
}
