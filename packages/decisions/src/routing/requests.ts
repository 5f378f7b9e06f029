/** Section `requests`: requests in progress on this node. Written by Routing; Ownership adds attempts. */
import type * as Clock from '../core/clock.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'
import * as Avoidance from './avoidance.js'
import type * as Decisions from './decision.js'
import * as Estimates from './estimates.js'
import * as LinkBudgets from './link-budget.js'
import * as RetryBudgets from './retry-budget.js'

/** An attempt to run a request on a target of this node or of another node. */
export interface Attempt {
  readonly attempt: Ids.AttemptId
  readonly hop: 'owner' | 'host' | 'dispatch'
  /** Absent at hop `owner`. */
  readonly target?: Ids.TargetId
  readonly node: Ids.NodeId
  readonly startedAt: Clock.Milliseconds
  /** Whether the target was already avoided when it was chosen, so that its refusal does not exempt a retry from the budget. */
  readonly avoided?: boolean
  /** Bytes that were charged to the link budget when the attempt started. */
  readonly chargedBytes?: number
}

export interface Request {
  readonly arrival: Events.RequestArrived
  readonly policy: Policies.Policy
  readonly idempotent: boolean
  readonly arrivedAt: Clock.Milliseconds
  readonly deadline: Clock.Milliseconds
  /** Id of the attempt at hop `host`, where the sender has already chosen the target. */
  readonly firstAttempt: Ids.AttemptId
  readonly attempts: Attempt[]
  /** Attempts that ended or were withdrawn; later events about them are ignored. */
  readonly closed: Set<Ids.AttemptId>
  readonly decisions: Decisions.Decision[]
  /** Whether an attempt may have run, so that the outcome of a refusal is `unknown`. */
  mayHaveRun: boolean
  /** Number of attempts whose connection to the backend server was lost, as when the server crashes. */
  connectionsLost: number
  /** Whether a response is being streamed to the requester; no further attempt is possible then. */
  relayed: boolean
  /** HTTP status of the response that is being streamed; 0 before that. */
  relayedStatus: number
  /** Whether the deadline has passed and `placement-failed` was raised for it. */
  expired: boolean
}

export class Requests {
  readonly byId = new Map<Ids.RequestId, Request>()
  readonly estimates = new Estimates.Estimates()
  readonly avoidance = new Avoidance.Avoidance()
  readonly retryBudgets = new RetryBudgets.RetryBudgets()
  readonly linkBudget = new LinkBudgets.LinkBudget()

  get (request: Ids.RequestId): Request | undefined {
    return this.byId.get(request)
  }
}
