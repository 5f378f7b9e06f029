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

/** One try at a target, at this node or through another. */
export interface Attempt {
  readonly attempt: Ids.AttemptId
  readonly hop: 'owner' | 'host' | 'dispatch'
  /** Absent at hop `owner`. */
  readonly target?: Ids.TargetId
  readonly node: Ids.NodeId
  readonly startedAt: Clock.Milliseconds
  /** The target was avoided when it was chosen, so that its refusal is no news. */
  readonly avoided?: boolean
  /** Bytes charged to the link between regions. */
  readonly charged?: number
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
  /** Attempts that ended or were withdrawn; later events about them are ignored. */
  readonly closed: Set<Ids.AttemptId>
  readonly decisions: Decisions.Decision[]
  /** Some attempt may have run, so that a refusal cannot say `not-run`. */
  mayHaveRun: boolean
  /** Attempts whose backend server's connection was lost, as when it crashes. */
  connectionsLost: number
  /** A response is being streamed to the requester; no further attempt is possible. */
  relayed: boolean
  /** Status of the response that is being streamed. */
  relayedStatus: number
  /** The deadline passed and the final refusal was asked for. */
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
