/** Settings of one proxy node, from its local settings file and never from the shared log. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Authentications from './accounts/authentication.js'
import type * as TargetSelectors from './entry/target-selector.js'
import type * as RetryBudgets from './entry/retry-budget.js'

/** What the operating system lets this process use. */
export interface ResourceSettings {
  /** The process is killed beyond this. */
  readonly memoryBytes: number
  readonly descriptors: number
}

/** Bounds on the quotas of client accounts, over all nodes together. */
export interface QuotaSettings {
  readonly window: Decisions.Clock.Milliseconds
  /** Share of a quota by which it may be exceeded within a window. */
  readonly overshoot: number
  /** Requests by which it may be exceeded besides. */
  readonly slack: number
}

export interface ProxySettings {
  readonly node: Decisions.Ids.NodeId
  readonly location: TargetSelectors.NodeLocation
  /** Service of the backend server on this VM. */
  readonly service: Decisions.Ids.Service
  /** Address at which the backend server on this VM accepts requests. */
  readonly targetAddress: Decisions.Ids.Endpoint
  /** Address at which this node accepts requests of callers on its VM. */
  readonly callerAddress: Decisions.Ids.Endpoint
  /** UDP port for host reports between nodes; the same on all nodes. */
  readonly reportPort: number
  readonly retryBudget: RetryBudgets.RetryBudgetSettings
  /** Time from the request to stop until the process must have ended. */
  readonly shutdownTimeout: Decisions.Clock.Milliseconds
  readonly resources: ResourceSettings
  readonly quotas: QuotaSettings
  readonly revocation: Authentications.RevocationSettings
  /** Digest of the settings file, by which operators compare what is in force on different nodes. */
  readonly checksum: string
}
