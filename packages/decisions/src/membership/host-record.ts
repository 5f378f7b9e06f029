/**
 * Tracks which changes of one host's targets this node has applied. The host numbers its changes; they may arrive in
 * any order. A full list of the host's targets (snapshot) supersedes all changes up to its sequence number. The
 * targets themselves are stored in section `targets` only, since a second copy of 78,000 would take 7 MB.
 */
import type * as Ids from '../core/ids.js'
import type * as Messages from './message.js'

/** Sequence numbers kept above a gap. Beyond this many, only a snapshot closes the gap. */
const OUT_OF_ORDER_MAXIMUM = 256

export class HostRecord {
  /** All changes up to this sequence number have been applied. */
  watermark = 0
  /** Sequence number of the newest change of each target that has not been removed. */
  readonly sequences = new Map<Ids.TargetId, number>()
  /** Removals above the watermark, kept since an older change of the target may still arrive. */
  readonly tombstones = new Map<Ids.TargetId, Messages.TargetChange>()
  /** Sequence numbers above the watermark that have been applied. */
  private readonly outOfOrder = new Set<number>()

  constructor (readonly incarnation: Ids.Incarnation) {}

  /** Applies changes; returns those that are newer than what was known of their target. */
  applyChanges (changes: readonly Messages.TargetChange[]): Messages.TargetChange[] {
    const newer = changes.filter(change => this.applyChange(change))
    this.advanceWatermark()
    return newer
  }

  /** Applies the full list of targets as of `lastSequence`; returns the newer changes and the targets not listed any more. */
  applySnapshot (lastSequence: number, changes: readonly Messages.TargetChange[]): { readonly newer: Messages.TargetChange[], readonly removed: Ids.TargetId[] } {
    if (lastSequence <= this.watermark) return { newer: [], removed: [] }
    const listedTargets = new Set(changes.map(([, target]) => target))
    const removed = [...this.sequences].filter(([target, sequence]) => sequence <= lastSequence && !listedTargets.has(target)).map(([target]) => target)
    for (const target of removed) this.sequences.delete(target)
    const newer = changes.filter(change => this.applyChange(change))
    this.watermark = lastSequence
    this.advanceWatermark()
    return { newer, removed }
  }

  private applyChange (change: Messages.TargetChange): boolean {
    const [sequence, target,,,, state] = change
    if (sequence <= this.watermark || this.outOfOrder.has(sequence)) return false
    if (this.outOfOrder.size < OUT_OF_ORDER_MAXIMUM) this.outOfOrder.add(sequence)
    const known = this.sequences.get(target) ?? this.tombstones.get(target)?.[0] ?? 0
    if (known >= sequence) return false
    this.sequences.delete(target)
    this.tombstones.delete(target)
    if (state === 'gone') this.tombstones.set(target, change)
    else this.sequences.set(target, sequence)
    return true
  }

  private advanceWatermark (): void {
    for (const sequence of this.outOfOrder) if (sequence <= this.watermark) this.outOfOrder.delete(sequence)
    while (this.outOfOrder.delete(this.watermark + 1)) this.watermark += 1
    for (const [target, [sequence]] of this.tombstones) if (sequence <= this.watermark) this.tombstones.delete(target)
  }
}
