/** What the shared log holds about one target. */
import type * as Decisions from '@jasminedale/decisions'

export type TargetState = 'ready' | 'leaving' | 'gone'

export interface Registration {
  readonly target: Decisions.Ids.TargetId
  readonly service: Decisions.Ids.Service
  /** Address at which the target's host takes work from other nodes. */
  readonly host: Decisions.Ids.Endpoint
  readonly dataCenter: Decisions.Ids.DataCenter
  readonly region: Decisions.Ids.Region
  readonly slots: number
  readonly state: TargetState
  /** Start of the target's process. */
  readonly incarnation: Decisions.Ids.Incarnation
  /** Rises with each announcement of one incarnation. */
  readonly sequence: number
}

/** Whether `left` says something newer about the target than `right`; at a tie the later state holds. */
export function isNewer (left: Registration, right: Registration): boolean {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation
  if (left.sequence !== right.sequence) return left.sequence > right.sequence
  return STATE_ORDER[left.state] > STATE_ORDER[right.state]
}

const STATE_ORDER: Readonly<Record<TargetState, number>> = { ready: 0, leaving: 1, gone: 2 }
