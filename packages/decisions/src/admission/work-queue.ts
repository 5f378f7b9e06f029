/** Priority queue of the attempts that wait for one target; first in, first out within a priority. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'

export interface QueuedAttempt {
  readonly request: Ids.RequestId
  readonly attempt: Ids.AttemptId
  readonly priority: Policies.Priority
  readonly deadline: Clock.Milliseconds
}

/** Lower ranks run first. */
const PRIORITY_RANK: Record<Policies.Priority, number> = { critical: 0, normal: 1, sheddable: 2 }

/** Its fields are part of the explain report. */
export class WorkQueue {
  private entries: QueuedAttempt[] = []

  get length (): number {
    return this.entries.length
  }

  /** Number of entries that run before a new one of this priority. */
  countAhead (priority: Policies.Priority): number {
    return this.entries.filter(entry => PRIORITY_RANK[entry.priority] <= PRIORITY_RANK[priority]).length
  }

  add (entry: QueuedAttempt): void {
    this.entries.splice(this.countAhead(entry.priority), 0, entry)
  }

  takeFirst (): QueuedAttempt | undefined {
    return this.entries.shift()
  }

  /** Removes an attempt. Returns false if it is not in the queue. */
  remove (attempt: Ids.AttemptId): boolean {
    const index = this.entries.findIndex(entry => entry.attempt === attempt)
    if (index >= 0) this.entries.splice(index, 1)
    return index >= 0
  }

  /** Removes and returns the last entry if its priority is lower than `priority`. */
  displace (priority: Policies.Priority): QueuedAttempt | undefined {
    const last = this.entries.at(-1)
    return last !== undefined && PRIORITY_RANK[last.priority] > PRIORITY_RANK[priority] ? this.entries.pop() : undefined
  }

  /** Removes and returns the entries for which `keep` returns false; `position` is the number of kept entries ahead. */
  retain (keep: (entry: QueuedAttempt, position: number) => boolean): readonly QueuedAttempt[] {
    const kept: QueuedAttempt[] = []
    const removed: QueuedAttempt[] = []
    for (const entry of this.entries) (keep(entry, kept.length) ? kept : removed).push(entry)
    this.entries = kept
    return removed
  }

  removeAll (): readonly QueuedAttempt[] {
    return this.entries.splice(0)
  }
}
