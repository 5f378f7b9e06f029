/** Token bucket for this node's share of the traffic that its data center may send to other regions. */
import * as Clock from '../core/clock.js'
import type * as Policies from '../core/policy.js'

const BITS_PER_MEGABIT = 1_000_000
const BITS_PER_BYTE = 8
const MILLISECONDS_PER_SECOND = 1_000
/** Unused budget is saved for up to this time and may be spent at once. */
const BURST_DURATION = Clock.seconds(1)

/** Fraction of the burst that requests of a priority must leave unused, so that critical requests pass the longest. */
const RESERVED_FRACTION: Record<Policies.Priority, number> = { critical: 0, normal: 0.1, sheddable: 0.5 }

export class LinkBudget {
  /** Bytes that may be sent now. Negative after an underestimate, until enough budget has accrued. */
  private balance = 0
  private refilledAt: Clock.Milliseconds | undefined

  /** Whether a request may be sent to another region. `budget` in Mbit/s is shared by `nodes` nodes of the data center. */
  permits (now: Clock.Milliseconds, budget: number, nodes: number, priority: Policies.Priority): boolean {
    const rate = budget * BITS_PER_MEGABIT / BITS_PER_BYTE / MILLISECONDS_PER_SECOND / Math.max(1, nodes)
    const burst = rate * BURST_DURATION
    this.balance = Math.min(burst, this.refilledAt === undefined ? burst : this.balance + rate * Math.max(0, now - this.refilledAt))
    this.refilledAt = now
    return rate > 0 && this.balance > RESERVED_FRACTION[priority] * burst
  }

  /** Charges the estimated bytes of a request to another region, or the difference to the actual bytes later. */
  charge (bytes: number): void {
    this.balance -= bytes
  }
}
