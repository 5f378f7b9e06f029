/** Limits retries to a fraction of first attempts, so that retries cannot amplify an overload. */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import * as RollingCounts from '../core/rolling-count.js'

const WINDOW = Clock.seconds(10)
const WINDOW_BUCKETS = 10
/**
 * Retries that a service with little traffic may make at once. They are earned by first attempts like all others:
 * a minimum per unit of time would let thousands of entries with little traffic multiply the load of a service.
 */
const RETRIES_MINIMUM = 1
/** Time after the last request for which the budget of a service is kept. */
const IDLE_RETENTION = Clock.minutes(10)

/** Token bucket that first attempts fill and retries empty, combined with a limit for a sliding window. */
export class RetryBudget {
  private readonly firstAttempts = new RollingCounts.RollingCount(WINDOW, WINDOW_BUCKETS)
  /** Its window is one bucket longer than that of first attempts, so that rounding to buckets only makes the budget stricter. */
  private readonly retries = new RollingCounts.RollingCount(Clock.milliseconds(WINDOW / WINDOW_BUCKETS * (WINDOW_BUCKETS + 1)), WINDOW_BUCKETS + 1)
  private balance = RETRIES_MINIMUM
  usedAt = Clock.milliseconds(0)

  /** Counts a first attempt, which adds `ratio` of a retry to the balance. */
  recordFirstAttempt (now: Clock.Milliseconds, ratio: number): void {
    this.usedAt = now
    this.firstAttempts.add(now)
    this.balance = Math.min(this.balance + ratio, this.allowance(now, ratio))
  }

  permits (now: Clock.Milliseconds, ratio: number): boolean {
    return ratio > 0 && this.balance >= 1 && this.retries.total(now) + 1 <= this.allowance(now, ratio)
  }

  spend (now: Clock.Milliseconds): void {
    this.balance -= 1
    this.retries.add(now)
  }

  private allowance (now: Clock.Milliseconds, ratio: number): number {
    return Math.max(RETRIES_MINIMUM, ratio * this.firstAttempts.total(now))
  }
}

/** One budget for the node and one for each service. A retry needs a token of both. */
export class RetryBudgets {
  private readonly node = new RetryBudget()
  private readonly byService = new Map<Ids.Service, RetryBudget>()

  recordFirstAttempt (service: Ids.Service, now: Clock.Milliseconds, ratio: number): void {
    this.node.recordFirstAttempt(now, ratio)
    this.budgetOf(service).recordFirstAttempt(now, ratio)
  }

  /** Charges one retry to both budgets. Returns false, and charges nothing, if either is spent. */
  takeRetry (service: Ids.Service, now: Clock.Milliseconds, ratio: number): boolean {
    const own = this.budgetOf(service)
    if (!own.permits(now, ratio) || !this.node.permits(now, ratio)) return false
    own.spend(now)
    this.node.spend(now)
    return true
  }

  prune (now: Clock.Milliseconds): void {
    for (const [service, budget] of this.byService) if (now - budget.usedAt > IDLE_RETENTION) this.byService.delete(service)
  }

  private budgetOf (service: Ids.Service): RetryBudget {
    const known = this.byService.get(service)
    if (known !== undefined) return known
    const fresh = new RetryBudget()
    this.byService.set(service, fresh)
    return fresh
  }
}
