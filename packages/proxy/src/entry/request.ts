/** A caller's request at its entry node, with the route and the service chosen for it. */
import * as Decisions from '@jasminedale/decisions'
import type * as Contents from '../resources/content.js'
import type * as Routes from '../routes/route.js'

export interface EntryRequest {
  readonly id: Decisions.Ids.RequestId
  readonly method: string
  readonly path: string
  /** Headers to pass on, as alternating names and values. */
  readonly headers: readonly string[]
  readonly body: Contents.Content
  readonly route: Routes.Route
  readonly service: Decisions.Ids.Service
  /** Client account of the caller, if its key is known. */
  readonly account: Decisions.Ids.Account | undefined
  /** Priority under overload, of the account or else of the route; 0 is the most urgent. */
  readonly priority: number
  /** Whether a backend server sent it while it ran another request, which fails without it. */
  readonly isCall: boolean
  /** Whether a late response has its full value, as for calls: the request waits for a target until its deadline and not only for its latency objective. */
  readonly waitsUntilDeadline?: boolean
  readonly arrivedAt: Decisions.Clock.Milliseconds
  /** The caller's deadline or the route's timeout, whichever is earlier. */
  readonly deadline: Decisions.Clock.Milliseconds
  /**
   * Called for a response without a length, which ends the connection of the caller. Returns whether it may: not while
   * requests behind this one run.
   */
  readonly tryEndConnection: () => boolean
}

/** Time after which a response is worth less to the caller. */
export function objectiveDeadline ({ waitsUntilDeadline, arrivedAt, deadline, route }: EntryRequest): Decisions.Clock.Milliseconds {
  return waitsUntilDeadline === true ? deadline : Decisions.Clock.add(arrivedAt, route.latencyObjective)
}
