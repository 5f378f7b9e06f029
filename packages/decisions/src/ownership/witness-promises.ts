/** Promises (lease grants) that the witnesses of one roster version have given. */
import * as Clock from '../core/clock.js'
import type * as RosterRecords from './roster-record.js'

/** Bounds of the promises, in the order of the version's witnesses, as sent between nodes. */
export interface PromiseBounds {
  /** Latest key time that each witness is known to have promised; 0 if none is known. */
  readonly until: readonly number[]
  /** Key time that the promises of each witness will never exceed; 0 while they may still be extended. */
  readonly ended: readonly number[]
}

/**
 * A witness promises that version v may govern keys with a time at or before X. It extends this promise until it learns
 * of version v + 1, and never after. Both lists only record facts that stay true, and merging keeps the strongest bound,
 * so messages may be lost, repeated or reordered.
 */
export class WitnessPromises {
  readonly until: number[]
  readonly ended: number[]

  constructor (readonly witnesses: readonly RosterRecords.Witness[]) {
    this.until = witnesses.map(() => 0)
    this.ended = witnesses.map(() => 0)
  }

  get majority (): number {
    return Math.floor(this.witnesses.length / 2) + 1
  }

  /** Adopts stronger bounds. Returns whether any bound changed. */
  merge (received: PromiseBounds): boolean {
    let changed = false
    for (const index of this.witnesses.keys()) {
      changed = this.extend(index, received.until[index] ?? 0) || changed
      changed = this.end(index, received.ended[index] ?? 0) || changed
    }
    return changed
  }

  /** Returns whether the promise was extended. */
  extend (index: number, until: number): boolean {
    if (until <= (this.until[index] ?? 0)) return false
    this.until[index] = until
    return true
  }

  /** Sets the final bound of a promise. Returns whether the bound is new or lower; a bound of 0 is ignored. */
  end (index: number, bound: number): boolean {
    const known = this.ended[index] ?? 0
    if (bound === 0 || (known !== 0 && known <= bound)) return false
    this.ended[index] = bound
    return true
  }

  /** Latest key time that a majority of the witnesses has promised. */
  promisedUntil (): Clock.Milliseconds {
    const descending = [...this.until].sort((left, right) => right - left)
    return Clock.milliseconds(descending[this.majority - 1] ?? 0)
  }

  /**
   * Key time after which the version can never govern a key, since less than a majority can ever promise a later one.
   * Undefined until a majority of the promises has ended.
   */
  lastGovernedTime (): Clock.Milliseconds | undefined {
    // A restarted witness only estimates the promises of its predecessor; other nodes may know of a later one.
    const bounds = this.ended.map((bound, index) => bound === 0 ? 0 : Math.max(bound, this.until[index] ?? 0))
      .filter(bound => bound !== 0).sort((left, right) => left - right)
    const bound = bounds[this.majority - 1]
    return bound === undefined ? undefined : Clock.milliseconds(bound)
  }
}
