/** Whether and where a request gets another attempt. */
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Placements from './placement.js'
import type * as Requests from './requests.js'

/** Statuses that another target may answer better. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504])

/**
 * A request that crashes backend servers shows itself by lost connections. The second crash is as many as the
 * fleet may suffer for one request, and a third attempt could start before the news of both has arrived here.
 */
const CONNECTIONS_LOST_MAXIMUM = 2

export function isFailure (event: Events.AttemptResponded): boolean {
  return event.shed || RETRYABLE_STATUSES.has(event.status)
}

/**
 * Whether the request may run again after this attempt ended. A host never repeats work, and
 * the owner of a key decides alone about its key, so that only one layer retries.
 */
export function mayRepeat (request: Requests.Request, attempt: Requests.Attempt): boolean {
  return (request.idempotent || !request.mayHaveRun) && attempt.hop !== 'owner' && request.arrival.hop !== 'host'
}

/**
 * The next target, or undefined when there is none or a limit forbids another attempt.
 * `free` retries pass the budget: each follows news about one target, which is then avoided,
 * so their number is bounded by the requests in flight when the news came.
 */
export function next (
  request: Requests.Request, free: boolean, placer: Placements.Placer, turn: Controllers.Turn
): Placements.Placement | undefined {
  const { arrival, policy } = request
  if (!arrival.replayable || turn.now >= request.deadline) return undefined
  if (request.connectionsLost >= CONNECTIONS_LOST_MAXIMUM) {
    request.decisions.push('connections-lost')
    return undefined
  }
  if (arrival.earlierAttempts + request.attempts.length >= policy.attempts) {
    request.decisions.push('attempts-spent')
    return undefined
  }
  const placement = placer.choose(request, turn)
  if (placement.isErr()) return undefined
  if (!free && !turn.board.requests.retryBudgets.take(arrival.service, turn.now, policy.retryBudget)) {
    request.decisions.push('retry-budget-spent')
    return undefined
  }
  request.decisions.push('retried')
  return placement.value
}
