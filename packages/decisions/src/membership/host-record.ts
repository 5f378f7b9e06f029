/**
 * What is known of one host's targets. The host numbers its changes; changes may arrive in any order, and a
 * complete list replaces everything up to its number.
 */
import type * as Ids from '../core/ids.js'
import type * as Messages from './message.js'

/** Numbers kept beyond a gap; with more, only a complete list closes it. */
const BEYOND_LIMIT = 256
const SEQUENCE_FIELD = 0
const TARGET_FIELD = 1
const STATE_FIELD = 5

export class HostRecord {
  /** All changes up to this number are known. */
  watermark = 0
  private readonly beyond = new Set<number>()
  /** Newest change of each target; removals are kept while an older change may still arrive. */
  readonly changes = new Map<Ids.TargetId, Messages.TargetChange>()

  constructor (readonly incarnation: Ids.Incarnation) {}

  /** Takes changes in and returns those that are news for their target. */
  apply (changes: readonly Messages.TargetChange[]): Messages.TargetChange[] {
    const news = changes.filter(change => this.take(change))
    this.advance()
    return news
  }

  /** Takes a complete list in and returns the changes against what was known. */
  replace (complete: number, changes: readonly Messages.TargetChange[]): Messages.TargetChange[] {
    if (complete <= this.watermark) return []
    const listed = new Set(changes.map(change => change[TARGET_FIELD]))
    const missing = [...this.changes.values()].filter(change => change[SEQUENCE_FIELD] <= complete && !listed.has(change[TARGET_FIELD]))
    const gone = missing.map(change => removal(change, complete))
    for (const change of gone) this.changes.delete(change[TARGET_FIELD])
    const news = changes.filter(change => this.take(change))
    this.watermark = complete
    this.advance()
    return [...gone, ...news]
  }

  private take (change: Messages.TargetChange): boolean {
    const sequence = change[SEQUENCE_FIELD]
    if (sequence <= this.watermark || this.beyond.has(sequence)) return false
    if (this.beyond.size < BEYOND_LIMIT) this.beyond.add(sequence)
    const known = this.changes.get(change[TARGET_FIELD])
    if (known !== undefined && known[SEQUENCE_FIELD] >= sequence) return false
    this.changes.set(change[TARGET_FIELD], change)
    return true
  }

  private advance (): void {
    for (const sequence of this.beyond) if (sequence <= this.watermark) this.beyond.delete(sequence)
    while (this.beyond.delete(this.watermark + 1)) this.watermark += 1
    for (const [target, change] of this.changes) {
      if (change[STATE_FIELD] === 'gone' && change[SEQUENCE_FIELD] <= this.watermark) this.changes.delete(target)
    }
  }
}

function removal (change: Messages.TargetChange, sequence: number): Messages.TargetChange {
  const [, target, service, slots, incarnation, , age] = change
  return [sequence, target, service, slots, incarnation, 'gone', age]
}
