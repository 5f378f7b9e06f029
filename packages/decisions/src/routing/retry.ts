/** Decides whether and on which target a request is retried. */
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Placements from './placement.js'
import type * as Requests from './requests.js'

/** Response statuses after which a retry on another target may succeed. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504])

/**
 * A lost connection may mean that the request crashes backend servers. One request may crash at most two: a third
 * attempt could start before this node has learned of both crashes.
 */
const CONNECTIONS_LOST_MAXIMUM = 2

/** Whether a retry on another target may give a better response. */
export function isRetryableResponse (event: Events.AttemptResponded): boolean {
  return event.shed || RETRYABLE_STATUSES.has(event.status)
}

/**
 * Whether the request may be retried after this attempt ended. So that only one layer retries, a host never does,
 * and an entry does not retry what it sent to the owner of an idempotency key.
 */
export function mayRetry (request: Requests.Request, attempt: Requests.Attempt): boolean {
  return (request.idempotent || !request.mayHaveRun) && attempt.hop !== 'owner' && request.arrival.hop !== 'host'
}

/**
 * Chooses the target of a retry and charges the retry budget. Returns undefined if there is no target or a limit
 * forbids the retry. A retry that `isBudgetExempt` follows a refusal by a target that is avoided from then on, so
 * the number of such retries is bounded by the requests that were in flight to the target.
 */
export function chooseRetry (
  request: Requests.Request, isBudgetExempt: boolean, placer: Placements.Placer, context: Controllers.StepContext
): Placements.Placement | undefined {
  const { arrival, policy } = request
  if (!arrival.replayable || context.now >= request.deadline) return undefined
  if (request.connectionsLost >= CONNECTIONS_LOST_MAXIMUM) {
    request.decisions.push('connections-lost')
    return undefined
  }
  if (arrival.earlierAttempts + request.attempts.length >= policy.attempts) {
    request.decisions.push('attempts-spent')
    return undefined
  }
  const placement = placer.choose(request, context)
  if (placement.isErr()) return undefined
  if (!isBudgetExempt && !context.board.requests.retryBudgets.takeRetry(arrival.service, context.now, policy.retryBudget)) {
    request.decisions.push('retry-budget-spent')
    return undefined
  }
  request.decisions.push('retried')
  return placement.value
}
