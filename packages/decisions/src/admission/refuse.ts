/** The refusals of Admission. All of them are certain: nothing was dispatched. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as Refusals from '../core/refusal.js'
import type * as Lanes from './lane.js'
import type * as WorkQueues from './work-queue.js'

/** Bounds of the advice to repeat, in ms. */
const RETRY_AFTER_MINIMUM = 10
const RETRY_AFTER_MAXIMUM = 5_000

export function refuse (entry: WorkQueues.Waiting, refusal: Refusals.Refusal, turn: Controllers.Turn): void {
  turn.raise({ kind: 'attempt-refused', request: entry.request, attempt: entry.attempt, refusal })
}

export function absent (target: Ids.TargetId): Refusals.Refusal {
  return Refusals.notRun('target-unknown', `No backend server ${target} is announced on this node.`)
}

export function leaving (target: Ids.TargetId): Refusals.Refusal {
  return Refusals.notRun('target-leaving', `Backend server ${target} is shutting down.`)
}

/** `wait` is the time in ms until the target may take work again. */
export function ejected (target: Ids.TargetId, wait: number): Refusals.Refusal {
  return Refusals.notRun('target-ejected', `Backend server ${target} is out of service.`, bounded(wait))
}

export function overloaded (lane: Lanes.Lane, detail: string): Refusals.Refusal {
  return Refusals.notRun('overloaded', detail, bounded(lane.waitFor(lane.queued)))
}

export function displaced (lane: Lanes.Lane): Refusals.Refusal {
  return overloaded(lane, `Work ahead at backend server ${lane.target} leaves no time before the deadline.`)
}

function bounded (wait: number): number {
  return Math.round(Math.min(Math.max(wait, RETRY_AFTER_MINIMUM), RETRY_AFTER_MAXIMUM))
}
