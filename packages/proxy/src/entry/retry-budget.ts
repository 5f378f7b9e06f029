/** This node's part of a service's retry budget, which all nodes share. */
import * as Decisions from '@jasminedale/decisions'

const BUCKETS = 10

export interface RetryBudgetSettings {
  readonly window: Decisions.Clock.Milliseconds
  /** Repeats allowed per request. */
  readonly ratio: number
  /** Repeats allowed in a window besides, over all nodes. */
  readonly slack: number
}

/**
 * Share of the allowance that is used. The rest covers repeats that nodes cannot see:
 * calls that a repeated request makes again at another service.
 */
const USABLE_SHARE = 0.85

class ServiceBudget {
  readonly requests: Decisions.RollingCounts.RollingCount
  readonly repeats: Decisions.RollingCounts.RollingCount

  constructor (window: Decisions.Clock.Milliseconds) {
    this.requests = new Decisions.RollingCounts.RollingCount(window, BUCKETS)
    // One bucket more, so that a window that starts within a bucket is covered too.
    this.repeats = new Decisions.RollingCounts.RollingCount(Decisions.Clock.milliseconds(window / BUCKETS * (BUCKETS + 1)), BUCKETS + 1)
  }
}

export class RetryBudget {
  private readonly byService = new Map<Decisions.Ids.Service, ServiceBudget>()

  constructor (private readonly terms: RetryBudgetSettings) {}

  /** Counts the first send of a request. */
  first (service: Decisions.Ids.Service, now: Decisions.Clock.Milliseconds): void {
    this.of(service).requests.add(now)
  }

  /** Whether this node's part holds one more repeat. `nodes` is the number of nodes that share the slack. */
  allows (service: Decisions.Ids.Service, nodes: number, now: Decisions.Clock.Milliseconds): boolean {
    const budget = this.of(service)
    const allowance = USABLE_SHARE * (this.terms.ratio * budget.requests.total(now) + this.terms.slack / Math.max(1, nodes))
    return budget.repeats.total(now) + 1 <= Math.max(1, allowance)
  }

  /** Takes one repeat; false when this node's part is spent. */
  take (service: Decisions.Ids.Service, nodes: number, now: Decisions.Clock.Milliseconds): boolean {
    if (!this.allows(service, nodes, now)) return false
    this.of(service).repeats.add(now)
    return true
  }

  private of (service: Decisions.Ids.Service): ServiceBudget {
    const known = this.byService.get(service)
    if (known !== undefined) return known
    const fresh = new ServiceBudget(this.terms.window)
    this.byService.set(service, fresh)
    return fresh
  }
}
