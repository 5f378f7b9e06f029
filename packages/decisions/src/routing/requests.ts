/** Section `requests`: requests in progress on this node. Written by Routing; Ownership adds attempts. */
import type * as Clock from '../core/clock.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'

/** One try at a target, at this node or through another. */
export interface Attempt {
  readonly attempt: Ids.AttemptId
  readonly hop: 'owner' | 'host' | 'dispatch'
  /** Absent at hop `owner`. */
  readonly target?: Ids.TargetId
  readonly node: Ids.NodeId
  readonly startedAt: Clock.Milliseconds
}

export interface Request {
  readonly arrival: Events.RequestArrived
  readonly policy: Policies.Policy
  readonly idempotent: boolean
  readonly arrivedAt: Clock.Milliseconds
  readonly deadline: Clock.Milliseconds
  /** Id of the dispatch at hop `host`, where Routing chooses nothing. */
  readonly firstAttempt: Ids.AttemptId
  readonly attempts: Attempt[]
  /** A response is being streamed to the requester; no further attempt is possible. */
  relayed: boolean
}

export class Requests {
  readonly byId = new Map<Ids.RequestId, Request>()

  get (request: Ids.RequestId): Request | undefined {
    return this.byId.get(request)
  }
}
