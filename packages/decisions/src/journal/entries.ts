/** Section `journal`: the most recent decisions of all controllers with their evidence. Written by the engine. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

export interface Entry {
  readonly at: Clock.Milliseconds
  /** Name of the controller that made the decision. */
  readonly controller: string
  readonly decision: string
  readonly evidence: string
  readonly target?: Ids.TargetId
  readonly service?: Ids.Service
  readonly node?: Ids.NodeId
}

const ENTRIES_MAXIMUM = 2_000

export class Entries {
  private readonly kept: Entry[] = []

  add (entry: Entry): void {
    this.kept.push(entry)
    if (this.kept.length > ENTRIES_MAXIMUM) this.kept.shift()
  }

  all (): readonly Entry[] {
    return this.kept
  }

  forTarget (target: Ids.TargetId): readonly Entry[] {
    return this.kept.filter(entry => entry.target === target)
  }
}
