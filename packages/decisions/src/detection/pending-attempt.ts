/** An attempt that was dispatched to a target on this VM and has not ended. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

export interface PendingAttempt {
  readonly attempt: Ids.AttemptId
  readonly request: Ids.RequestId
  readonly target: Ids.TargetId
  readonly dispatchedAt: Clock.Milliseconds
  /** The response head has arrived; only a failure during the body is still evidence. */
  hasResponded: boolean
  /** This node stalled while the attempt was in flight, so its duration says nothing about the target. */
  hasObserverStalled: boolean
}
