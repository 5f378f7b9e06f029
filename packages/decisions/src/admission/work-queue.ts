/** Waiting requests of one target: critical first, then normal, then sheddable, each in order of arrival. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'

export interface Waiting {
  readonly request: Ids.RequestId
  readonly attempt: Ids.AttemptId
  readonly priority: Policies.Priority
  readonly deadline: Clock.Milliseconds
}

const ORDER: Record<Policies.Priority, number> = { critical: 0, normal: 1, sheddable: 2 }

export class WorkQueue {
  private entries: Waiting[] = []

  get length (): number {
    return this.entries.length
  }

  /** Entries that would run before a new one of this priority. */
  ahead (priority: Policies.Priority): number {
    return this.entries.filter(entry => ORDER[entry.priority] <= ORDER[priority]).length
  }

  add (waiting: Waiting): void {
    this.entries.splice(this.ahead(waiting.priority), 0, waiting)
  }

  next (): Waiting | undefined {
    return this.entries.shift()
  }

  /** Removes an attempt; false when it does not wait here. */
  remove (attempt: Ids.AttemptId): boolean {
    const index = this.entries.findIndex(entry => entry.attempt === attempt)
    if (index >= 0) this.entries.splice(index, 1)
    return index >= 0
  }

  /** Takes the last entry if its priority is lower than `priority`. */
  displace (priority: Policies.Priority): Waiting | undefined {
    const last = this.entries.at(-1)
    return last !== undefined && ORDER[last.priority] > ORDER[priority] ? this.entries.pop() : undefined
  }

  /** Removes and returns the entries for which `keep` is false; `position` counts the kept entries ahead. */
  sift (keep: (entry: Waiting, position: number) => boolean): readonly Waiting[] {
    const kept: Waiting[] = []
    const removed: Waiting[] = []
    for (const entry of this.entries) (keep(entry, kept.length) ? kept : removed).push(entry)
    this.entries = kept
    return removed
  }

  clear (): readonly Waiting[] {
    return this.entries.splice(0)
  }
}
