/**
 * Decides which requests crash the targets that run them. A crash counts only if its execution began after the crash
 * before it: a popular request that was running on several targets when they failed together counts once. One completed
 * execution clears the request.
 *
 * Load pattern: a request that takes down each target that runs it, and that its caller sends again and again.
 */
import * as Decisions from '@jasminedale/decisions'
import * as LruCache from 'lru-cache'

/** Successive crashes after which all nodes watch for a completed execution. */
const CRASHES_FOR_SUSPICION = 2
/** Successive crashes after which the request is blocked. The users' rules allow this many. */
const CRASHES_FOR_BLOCK = 3
/** Time after the last crash for which its count is kept. */
const MEMORY_DURATION = Decisions.Clock.minutes(2)
export const BLOCK_DURATION = Decisions.Clock.minutes(1)
const MAXIMUM_ENTRIES = 1_000

/** Classification of a request: `cleared` after a completed execution. */
export type Suspicion = 'suspected' | 'blocked' | 'cleared'

interface Entry {
  readonly crashes: number
  readonly lastCrashAt: Decisions.Clock.Milliseconds
}

export class CrashTable {
  private readonly entries = new LruCache.LRUCache<Decisions.Ids.Signature, Entry>({ max: MAXIMUM_ENTRIES })

  /** Records that a target crashed while it ran the request. Returns the classification if the crash counts and other nodes need to know. */
  recordCrash (signature: Decisions.Ids.Signature, startedAt: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): Suspicion | undefined {
    const known = this.entries.get(signature)
    const isForgotten = known === undefined || now - known.lastCrashAt > MEMORY_DURATION
    if (!isForgotten && startedAt <= known.lastCrashAt) return undefined
    const crashes = isForgotten ? 1 : known.crashes + 1
    this.entries.set(signature, { crashes, lastCrashAt: now })
    if (crashes >= CRASHES_FOR_BLOCK) return 'blocked'
    return crashes >= CRASHES_FOR_SUSPICION ? 'suspected' : undefined
  }

  /** Records a completed execution. Returns whether the request was suspected. */
  recordCompletion (signature: Decisions.Ids.Signature): boolean {
    const crashes = this.entries.get(signature)?.crashes ?? 0
    this.entries.delete(signature)
    return crashes >= CRASHES_FOR_SUSPICION
  }
}
