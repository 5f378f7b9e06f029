/** Limits retries to a fraction of first attempts, so that retries cannot multiply an overload. */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import * as RollingCounts from '../core/rolling-count.js'

const SPAN = Clock.seconds(10)
const BUCKETS = 10
/**
 * Retries that a quiet service may make at once. The token is earned by first attempts like
 * every other, because a minimum per time would allow thousands of quiet entries together
 * to multiply a service's load.
 */
const MINIMUM = 1
const IDLE_LIMIT = Clock.minutes(10)

export class RetryBudget {
  private readonly firsts = new RollingCounts.RollingCount(SPAN, BUCKETS)
  /** One bucket more than for first attempts, so that both errors of the buckets make the budget stricter. */
  private readonly retries = new RollingCounts.RollingCount(Clock.milliseconds(SPAN / BUCKETS * (BUCKETS + 1)), BUCKETS + 1)
  private balance = MINIMUM
  usedAt = Clock.milliseconds(0)

  /** Counts a first attempt, which earns `ratio` of a retry. */
  first (now: Clock.Milliseconds, ratio: number): void {
    this.usedAt = now
    this.firsts.add(now)
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
    return Math.max(MINIMUM, ratio * this.firsts.total(now))
  }
}

/** One budget for the node and one for each service; a retry needs both. */
export class RetryBudgets {
  private readonly node = new RetryBudget()
  private readonly byService = new Map<Ids.Service, RetryBudget>()

  first (service: Ids.Service, now: Clock.Milliseconds, ratio: number): void {
    this.node.first(now, ratio)
    this.of(service).first(now, ratio)
  }

  /** Takes one retry from both budgets; false when either is spent. */
  take (service: Ids.Service, now: Clock.Milliseconds, ratio: number): boolean {
    const own = this.of(service)
    if (!own.permits(now, ratio) || !this.node.permits(now, ratio)) return false
    own.spend(now)
    this.node.spend(now)
    return true
  }

  prune (now: Clock.Milliseconds): void {
    for (const [service, budget] of this.byService) if (now - budget.usedAt > IDLE_LIMIT) this.byService.delete(service)
  }

  private of (service: Ids.Service): RetryBudget {
    const known = this.byService.get(service)
    if (known !== undefined) return known
    const fresh = new RetryBudget()
    this.byService.set(service, fresh)
    return fresh
  }
}
