/** Settings of one proxy node. They never come from the shared log. */
import type * as Decisions from '@jasminedale/decisions'
import type * as TargetSelectors from './entry/target-selector.js'
import type * as RetryBudgets from './entry/retry-budget.js'

export interface ProxySettings {
  readonly node: Decisions.Ids.NodeId
  readonly place: TargetSelectors.NodeLocation
  /** Service of the backend server on this VM. */
  readonly service: Decisions.Ids.Service
  /** Where the backend server on this VM takes requests. */
  readonly targetAddress: Decisions.Ids.Endpoint
  /** Where callers on this VM send requests. */
  readonly callerAddress: Decisions.Ids.Endpoint
  /** UDP port on which nodes tell each other about their targets; the same on all nodes. */
  readonly reportPort: number
  readonly retryBudget: RetryBudgets.RetryBudgetSettings
  /** Time after the request to stop at which the process must have ended. */
  readonly shutdownTimeout: Decisions.Clock.Milliseconds
}
