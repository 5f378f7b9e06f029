/** A request that a backend server of this VM is working on. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

export interface Flight {
  readonly attempt: Ids.AttemptId
  readonly request: Ids.RequestId
  readonly target: Ids.TargetId
  readonly dispatchedAt: Clock.Milliseconds
  /** The response head has arrived; only a failure of the rest is still of interest. */
  answered: boolean
  /** This node was stalled meanwhile, so that durations say nothing about the target. */
  stalled: boolean
}
