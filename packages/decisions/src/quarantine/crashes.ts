/** Blackboard section `crashes`: signatures of requests that crash backend servers. Written by Quarantine. */
import * as LruCache from 'lru-cache'
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Messages from './message.js'

export interface Suspect {
  /** Time of each crash, by target and incarnation. */
  readonly crashes: Map<string, number>
  /** Latest known completion; crashes before it do not count. */
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
 * A block can be renewed for this time after its start, doubled for each further block. Then the request may run
 * again: one that was blocked by mistake recovers, and one that does crash servers crashes one server for each block.
 */
const RENEWAL_PERIOD = Clock.minutes(30)
const RENEWAL_DOUBLINGS_MAXIMUM = 4
const CRASHES_FOR_BLOCK = 2
const SUSPECTS_MAXIMUM = 2_000
const CRASHES_PER_SUSPECT_MAXIMUM = 4
const BLOCKS_MAXIMUM = 1_000
/** Suspects are kept for this long: a further crash within this time blocks the signature again at once. */
const SUSPECT_LIFETIME = Clock.hours(12)

export class Crashes {
  /** End of the block by blocked signature. */
  readonly blockEnds = new Map<Ids.Signature, Clock.Milliseconds>()
  /** Current and past blocks. */
  readonly blocks = new Map<Ids.Signature, Block>()
  readonly suspects = new LruCache.LRUCache<Ids.Signature, Suspect>({ max: SUSPECTS_MAXIMUM })

  isBlocked (signature: Ids.Signature, now: Clock.Milliseconds): boolean {
    return now < (this.blockEnds.get(signature) ?? -Infinity)
  }

  /** Applies one fact. Returns whether it was new. */
  apply (fact: Messages.CrashFact): boolean {
    const signature = fact.signature as Ids.Signature
    switch (fact.kind) {
      case 'crash': return this.applyCrash(signature, fact.crash, fact.at)
      case 'completion': return this.applyCompletion(signature, fact.at)
      case 'block': return this.applyBlock(signature, { since: fact.since, until: fact.until, round: fact.round })
    }
  }

  private applyCrash (signature: Ids.Signature, crash: string, at: number): boolean {
    const suspect = this.suspects.get(signature) ?? { crashes: new Map<string, number>(), completedAt: -Infinity }
    this.suspects.set(signature, suspect)
    if (suspect.crashes.has(crash) || at <= suspect.completedAt) return false
    suspect.crashes.set(crash, at)
    const [oldest] = suspect.crashes.keys()
    if (suspect.crashes.size > CRASHES_PER_SUSPECT_MAXIMUM && oldest !== undefined) suspect.crashes.delete(oldest)
    if (suspect.crashes.size < CRASHES_FOR_BLOCK) return true
    const latest = Math.max(...suspect.crashes.values())
    const earlier = this.blocks.get(signature)
    if (earlier === undefined || latest >= earlier.until) {
      this.applyBlock(signature, { since: latest, until: latest + BLOCK_DURATION, round: (earlier?.round ?? 0) + 1 })
    }
    return true
  }

  /**
   * A request that completed did not cause the crashes before its completion, so a block on it ends. The completion
   * is stored even when no crash is known yet, because facts arrive in any order.
   */
  private applyCompletion (signature: Ids.Signature, at: number): boolean {
    const known = this.suspects.get(signature)
    const suspect = known ?? { crashes: new Map<string, number>(), completedAt: -Infinity }
    if (at <= suspect.completedAt) return false
    suspect.completedAt = at
    this.suspects.set(signature, suspect)
    const before = suspect.crashes.size
    for (const [crash, crashedAt] of suspect.crashes) if (crashedAt <= at) suspect.crashes.delete(crash)
    const hasCleared = suspect.crashes.size < before
    if (hasCleared && suspect.crashes.size < CRASHES_FOR_BLOCK) this.removeBlock(signature)
    return hasCleared || known === undefined
  }

  private applyBlock (signature: Ids.Signature, block: Block): boolean {
    const known = this.blocks.get(signature)
    if (known !== undefined && (known.round > block.round || (known.round === block.round && known.until >= block.until))) return false
    const suspect = this.suspects.get(signature)
    if (suspect !== undefined && suspect.completedAt >= block.since) return false
    this.blocks.set(signature, block)
    const [oldest] = this.blocks.keys()
    if (this.blocks.size > BLOCKS_MAXIMUM && oldest !== undefined) this.removeBlock(oldest)
    this.blockEnds.set(signature, Clock.milliseconds(block.until))
    return true
  }

  private removeBlock (signature: Ids.Signature): void {
    this.blocks.delete(signature)
    this.blockEnds.delete(signature)
  }

  /** The block, renewed because the request was repeated; undefined when it cannot be renewed further. */
  renewedBlock (signature: Ids.Signature, now: Clock.Milliseconds): Block | undefined {
    const block = this.blocks.get(signature)
    if (block === undefined) return undefined
    const limit = block.since + RENEWAL_PERIOD * 2 ** Math.min(block.round - 1, RENEWAL_DOUBLINGS_MAXIMUM)
    const until = Math.min(now + BLOCK_DURATION, limit)
    return until > block.until ? { ...block, until } : undefined
  }

  /** Facts for a node that starts. */
  allFacts (): Messages.CrashFact[] {
    const crashes = [...this.suspects.entries()].flatMap(([signature, suspect]) =>
      [...suspect.crashes].map(([crash, at]): Messages.CrashFact => ({ kind: 'crash', signature, crash, at })))
    const blocks = [...this.blocks].map(([signature, block]): Messages.CrashFact => ({ kind: 'block', signature, ...block }))
    return [...blocks, ...crashes]
  }

  /** Removes ended blocks from `blockEnds`, and suspects and blocks that are past their lifetime. */
  expire (now: Clock.Milliseconds): void {
    for (const [signature, until] of this.blockEnds) if (until <= now) this.blockEnds.delete(signature)
    for (const [signature, suspect] of this.suspects.entries()) {
      const latest = Math.max(suspect.completedAt, ...suspect.crashes.values())
      if (latest < now - SUSPECT_LIFETIME) this.suspects.delete(signature)
    }
    for (const [signature, block] of this.blocks) if (block.until < now - SUSPECT_LIFETIME) this.blocks.delete(signature)
  }
}
