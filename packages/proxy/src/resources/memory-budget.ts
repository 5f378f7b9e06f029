/**
 * Decides what of the bodies that a node holds may grow, and what is dropped for it. Load pattern: many bodies, in either
 * direction, that stop short of their end or are not read, beside ordinary requests and a few large ones. No I/O.
 */
import type * as Decisions from '@jasminedale/decisions'

/** Why a body is dropped. `memory`: others need its memory. `stalled`: it has made no progress for the idle timeout. */
export type DropReason = 'memory' | 'stalled'

export interface MemoryLimits {
  /** What all bodies may take together. */
  readonly totalBytes: number
  /** Left for small bodies when large ones have taken the rest. */
  readonly smallReserveBytes: number
}

/** A body up to this size, with what is counted for its head, is small: large ones are dropped for it, and never the reverse. */
export const SMALL_BYTES = 131_072

/** The memory of one body, from its first byte until it is given back. */
export class Holding {
  bytes = 0
  isOpen = true
  /** Its memory is given back only some time after it was dropped. */
  isPending = false

  /** @param drop Ends the body; undefined while it must not be ended, for example because a target runs its request. */
  constructor (public lastProgressAt: Decisions.Clock.Milliseconds, public drop: ((reason: DropReason) => void) | undefined) {}

  get isSmall (): boolean {
    return this.bytes <= SMALL_BYTES
  }
}

export interface Growth {
  readonly isGranted: boolean
  /** Holdings that no longer count as droppable; the caller ends them. */
  readonly victims: readonly Holding[]
}

export class MemoryBudget {
  private readonly holdings = new Set<Holding>()
  private usedBytes = 0
  private pendingBytes = 0
  private overheadBytes = 0

  constructor (private limits: MemoryLimits) {}

  /** Replaces the limits. Holdings beyond lower ones stay until others need their memory. */
  setLimits (limits: MemoryLimits): void {
    this.limits = limits
  }

  /** Bytes of all holdings, also of dropped ones that are not given back yet, and what else is in the way of them. */
  get used (): number {
    return this.usedBytes + this.overheadBytes
  }

  /** Sets what connections take beside the holdings. */
  setOverhead (bytes: number): void {
    this.overheadBytes = bytes
  }

  get size (): number {
    return this.holdings.size
  }

  open (now: Decisions.Clock.Milliseconds, drop?: (reason: DropReason) => void): Holding {
    const holding = new Holding(now, drop)
    this.holdings.add(holding)
    return holding
  }

  /**
   * Lets a holding grow if the memory is there. Otherwise names those to be dropped for it: large ones before small ones,
   * and of these the one that has made no progress for longest. The caller gives their memory back and asks again.
   */
  grow (holding: Holding, bytes: number, now: Decisions.Clock.Milliseconds): Growth {
    if (!holding.isOpen) return { isGranted: false, victims: [] }
    holding.lastProgressAt = now
    const isSmall = holding.bytes + bytes <= SMALL_BYTES
    const limit = isSmall ? this.limits.totalBytes : this.limits.totalBytes - this.limits.smallReserveBytes
    if (this.used + bytes <= limit) {
      this.usedBytes += bytes
      holding.bytes += bytes
      return { isGranted: true, victims: [] }
    }
    return { isGranted: false, victims: this.chooseVictims(holding, this.used - this.pendingBytes + bytes - limit, isSmall) }
  }

  /** Gives a part of the memory of a holding back. */
  shrink (holding: Holding, bytes: number): void {
    if (!holding.isOpen) return
    holding.bytes -= bytes
    this.usedBytes -= bytes
  }

  /** Droppable holdings without progress for `timeout`. */
  stalled (timeout: number, now: Decisions.Clock.Milliseconds): Holding[] {
    return [...this.holdings].filter(({ drop, lastProgressAt }) => drop !== undefined && now - lastProgressAt >= timeout)
  }

  /** Records that a dropped holding gives its memory back later. */
  markPending (holding: Holding): void {
    if (!holding.isOpen || holding.isPending) return
    holding.isPending = true
    holding.drop = undefined
    this.pendingBytes += holding.bytes
  }

  /** Gives the memory of a holding back. */
  release (holding: Holding): void {
    if (!holding.isOpen) return
    holding.isOpen = false
    holding.drop = undefined
    this.holdings.delete(holding)
    this.usedBytes -= holding.bytes
    if (holding.isPending) this.pendingBytes -= holding.bytes
  }

  private chooseVictims (requester: Holding, missingBytes: number, mayDropSmall: boolean): Holding[] {
    if (missingBytes <= 0) return []
    const candidates = [...this.holdings].filter(holding => holding !== requester && holding.drop !== undefined && holding.bytes > 0 && (mayDropSmall || !holding.isSmall))
    candidates.sort((a, b) => Number(a.isSmall) - Number(b.isSmall) || a.lastProgressAt - b.lastProgressAt)
    const victims: Holding[] = []
    let freed = 0
    for (const candidate of candidates) {
      if (freed >= missingBytes) break
      victims.push(candidate)
      freed += candidate.bytes
    }
    // Nothing is dropped for a body that would not fit all the same.
    return freed >= missingBytes ? victims : []
  }
}
