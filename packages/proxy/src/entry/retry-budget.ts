/** Bounds the retries of a service by its requests. Each node enforces its own share of the budget, without coordination. */
import * as Decisions from '@jasminedale/decisions'

const BUCKET_COUNT = 10

export interface RetryBudgetSettings {
  readonly window: Decisions.Clock.Milliseconds
  /** Retries allowed per request. */
  readonly ratio: number
  /** Further retries allowed in a window, over all nodes together. */
  readonly slack: number
}

/**
 * Share of the allowance that is used. The rest covers retries that nodes cannot recognize: when a request is retried,
 * the target repeats its calls to other services.
 */
const USABLE_SHARE = 0.85

class ServiceBudget {
  readonly requests: Decisions.RollingCounts.RollingCount
  readonly retries: Decisions.RollingCounts.RollingCount

  constructor (window: Decisions.Clock.Milliseconds) {
    this.requests = new Decisions.RollingCounts.RollingCount(window, BUCKET_COUNT)
    // One bucket more, since a window may start in the middle of a bucket.
    this.retries = new Decisions.RollingCounts.RollingCount(Decisions.Clock.milliseconds(window / BUCKET_COUNT * (BUCKET_COUNT + 1)), BUCKET_COUNT + 1)
  }
}

export class RetryBudget {
  private readonly byService = new Map<Decisions.Ids.Service, ServiceBudget>()

  /** `settings` may change, but for the window. */
  constructor (private readonly settings: () => RetryBudgetSettings) {}

  /** Counts a request, which earns a share of a retry. */
  recordRequest (service: Decisions.Ids.Service, now: Decisions.Clock.Milliseconds): void {
    this.of(service).requests.add(now)
  }

  /** Whether this node's share of the budget allows one more retry. `nodes` is the number of nodes that share the slack. */
  mayRetry (service: Decisions.Ids.Service, nodes: number, now: Decisions.Clock.Milliseconds): boolean {
    const budget = this.of(service)
    const allowance = USABLE_SHARE * (this.settings().ratio * budget.requests.total(now) + this.settings().slack / Math.max(1, nodes))
    return budget.retries.total(now) + 1 <= Math.max(1, allowance)
  }

  /** Takes one retry out of the budget; false if this node's share is used up. */
  tryAcquire (service: Decisions.Ids.Service, nodes: number, now: Decisions.Clock.Milliseconds): boolean {
    if (!this.mayRetry(service, nodes, now)) return false
    this.of(service).retries.add(now)
    return true
  }

  private of (service: Decisions.Ids.Service): ServiceBudget {
    const existing = this.byService.get(service)
    if (existing !== undefined) return existing
    const created = new ServiceBudget(this.settings().window)
    this.byService.set(service, created)
    return created
  }
}
