/** What the witnesses of one roster version have promised. */
import * as Clock from '../core/clock.js'
import type * as Records from './roster-record.js'

/** Promises in the order of the version's witnesses, as sent between nodes. */
export interface PromiseList {
  /** Largest instant promised by each witness; 0 when none is known. */
  readonly until: readonly number[]
  /** Instant that each witness's promises will never exceed; 0 while they may still rise. */
  readonly ended: readonly number[]
}

/**
 * A witness's promise "version v may govern keys with a time at or before X" only rises
 * until the witness learns of version v + 1; it then ends. Both lists hold facts that stay
 * true, and merging keeps the strongest, so loss, repetition and reordering are harmless.
 */
export class Promises {
  readonly until: number[]
  readonly ended: number[]

  constructor (readonly witnesses: readonly Records.Witness[]) {
    this.until = witnesses.map(() => 0)
    this.ended = witnesses.map(() => 0)
  }

  get majority (): number {
    return Math.floor(this.witnesses.length / 2) + 1
  }

  /** Returns whether anything was new. */
  merge (list: PromiseList): boolean {
    let changed = false
    for (const index of this.witnesses.keys()) {
      changed = this.extend(index, list.until[index] ?? 0) || changed
      changed = this.end(index, list.ended[index] ?? 0) || changed
    }
    return changed
  }

  /** Returns whether the promise rose. */
  extend (index: number, until: number): boolean {
    if (until <= (this.until[index] ?? 0)) return false
    this.until[index] = until
    return true
  }

  /** Returns whether the bound is new or lower; 0 says nothing. */
  end (index: number, bound: number): boolean {
    const known = this.ended[index] ?? 0
    if (bound === 0 || (known !== 0 && known <= bound)) return false
    this.ended[index] = bound
    return true
  }

  /** Largest key time that a majority of the witnesses has promised. */
  promisedUntil (): Clock.Milliseconds {
    const descending = [...this.until].sort((left, right) => right - left)
    return Clock.milliseconds(descending[this.majority - 1] ?? 0)
  }

  /**
   * Instant after which the version governs no key: above it fewer than a majority can
   * ever promise. Undefined until a majority of the promises has ended.
   */
  closedAt (): Clock.Milliseconds | undefined {
    // A restarted witness only estimates its earlier promises; a larger one may be known from others.
    const bounds = this.ended.map((bound, index) => bound === 0 ? 0 : Math.max(bound, this.until[index] ?? 0))
      .filter(bound => bound !== 0).sort((left, right) => left - right)
    const bound = bounds[this.majority - 1]
    return bound === undefined ? undefined : Clock.milliseconds(bound)
  }
}
