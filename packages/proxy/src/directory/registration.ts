/** The record of one target in the shared log. */
import type * as Decisions from '@jasminedale/decisions'

export type TargetState = 'ready' | 'leaving' | 'gone'

/** What decides which of two registrations of a target is newer. */
export interface Revision {
  /** Identifies one process of the target by its start time; a later process has a greater value. */
  readonly incarnation: Decisions.Ids.Incarnation
  readonly state: TargetState
  /** Sequence number of the announcement, increasing within one incarnation. */
  readonly sequence: number
}

export interface Registration extends Revision {
  readonly target: Decisions.Ids.TargetId
  readonly service: Decisions.Ids.Service
  /** Address at which the node on the target's VM accepts requests from other nodes. */
  readonly host: Decisions.Ids.Endpoint
  readonly dataCenter: Decisions.Ids.DataCenter
  readonly region: Decisions.Ids.Region
  readonly slots: number
}

/**
 * Whether `left` is newer than `right`: by incarnation, then by state in the order ready, leaving, gone, then by sequence
 * number. A target that leaves does not become ready again within one incarnation.
 */
export function isNewer (left: Revision, right: Revision): boolean {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation
  if (left.state !== right.state) return STATE_ORDER[left.state] > STATE_ORDER[right.state]
  return left.sequence > right.sequence
}

const STATE_ORDER: Readonly<Record<TargetState, number>> = { ready: 0, leaving: 1, gone: 2 }
