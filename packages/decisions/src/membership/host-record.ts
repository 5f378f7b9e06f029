/**
 * Which changes of one host's targets are known. The host numbers its changes; they may arrive in any order, and a
 * complete list replaces everything up to its number. The targets themselves are in section `targets` only, since
 * a second copy of 78,000 would take 7 MB.
 */
import type * as Ids from '../core/ids.js'
import type * as Messages from './message.js'

/** Numbers kept beyond a gap; with more, only a complete list closes it. */
const BEYOND_LIMIT = 256

export class HostRecord {
  /** All changes up to this number are known. */
  watermark = 0
  /** Newest change of each target that is there. */
  readonly sequences = new Map<Ids.TargetId, number>()
  /** Removals after which an older change may still arrive. */
  readonly removals = new Map<Ids.TargetId, Messages.TargetChange>()
  private readonly beyond = new Set<number>()

  constructor (readonly incarnation: Ids.Incarnation) {}

  /** Takes changes in and returns those that are news for their target. */
  apply (changes: readonly Messages.TargetChange[]): Messages.TargetChange[] {
    const news = changes.filter(change => this.take(change))
    this.advance()
    return news
  }

  /** Takes a complete list in; returns the news and the targets that are no longer there. */
  replace (complete: number, changes: readonly Messages.TargetChange[]): { readonly news: Messages.TargetChange[], readonly gone: Ids.TargetId[] } {
    if (complete <= this.watermark) return { news: [], gone: [] }
    const listed = new Set(changes.map(([, target]) => target))
    const gone = [...this.sequences].filter(([target, sequence]) => sequence <= complete && !listed.has(target)).map(([target]) => target)
    for (const target of gone) this.sequences.delete(target)
    const news = changes.filter(change => this.take(change))
    this.watermark = complete
    this.advance()
    return { news, gone }
  }

  private take (change: Messages.TargetChange): boolean {
    const [sequence, target,,,, state] = change
    if (sequence <= this.watermark || this.beyond.has(sequence)) return false
    if (this.beyond.size < BEYOND_LIMIT) this.beyond.add(sequence)
    const known = this.sequences.get(target) ?? this.removals.get(target)?.[0] ?? 0
    if (known >= sequence) return false
    this.sequences.delete(target)
    this.removals.delete(target)
    if (state === 'gone') this.removals.set(target, change)
    else this.sequences.set(target, sequence)
    return true
  }

  private advance (): void {
    for (const sequence of this.beyond) if (sequence <= this.watermark) this.beyond.delete(sequence)
    while (this.beyond.delete(this.watermark + 1)) this.watermark += 1
    for (const [target, [sequence]] of this.removals) if (sequence <= this.watermark) this.removals.delete(target)
  }
}
