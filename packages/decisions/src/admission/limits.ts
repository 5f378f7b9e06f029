/** Section `limits`: concurrency and queues of this node's targets. Written by Admission. */
import type * as Ids from '../core/ids.js'

export interface TargetLimit {
  /** Requests that may run at once. */
  readonly limit: number
  readonly running: number
  readonly queued: number
}

export class Limits {
  readonly byTarget = new Map<Ids.TargetId, TargetLimit>()
  /** Attempts that were dispatched and have not ended; all others have certainly not run. */
  readonly dispatched = new Map<Ids.AttemptId, Ids.TargetId>()
  /** The whole node is shutting down and takes no new work from callers. */
  nodeLeaving = false
}
