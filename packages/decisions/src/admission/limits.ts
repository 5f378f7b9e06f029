/** Section `limits`: concurrency limits and queue lengths of this node's targets. Written by Admission. */
import type * as Ids from '../core/ids.js'

export interface TargetLimit {
  /** Requests that may run at once. */
  readonly limit: number
  readonly running: number
  readonly queued: number
}

export class Limits {
  readonly byTarget = new Map<Ids.TargetId, TargetLimit>()
  /** Attempts that were dispatched and have not ended. An attempt that never was in this map has certainly not run. */
  readonly dispatched = new Map<Ids.AttemptId, Ids.TargetId>()
  /** Whether the whole node is shutting down and takes no new requests from callers. */
  isNodeLeaving = false
}
