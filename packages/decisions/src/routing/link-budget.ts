/** This node's share of the traffic that its data center may send between regions. */
import * as Clock from '../core/clock.js'
import type * as Policies from '../core/policy.js'

const BITS_PER_MEGABIT = 1_000_000
const BITS_PER_BYTE = 8
const MILLISECONDS_PER_SECOND = 1_000
/** Unused budget that may be spent at once. */
const BURST = Clock.seconds(1)

/** Fraction of the burst that must be left for work of a priority, so that critical work passes last of all. */
const RESERVE: Record<Policies.Priority, number> = { critical: 0, normal: 0.1, sheddable: 0.5 }

export class LinkBudget {
  /** Bytes that may be sent now; negative after an underestimate, until the time has paid for it. */
  private balance = 0
  private filledAt: Clock.Milliseconds | undefined

  /** Whether work may cross regions. `budget` is in Mbit/s for the data center, shared by `nodes`. */
  permits (now: Clock.Milliseconds, budget: number, nodes: number, priority: Policies.Priority): boolean {
    const rate = budget * BITS_PER_MEGABIT / BITS_PER_BYTE / MILLISECONDS_PER_SECOND / Math.max(1, nodes)
    const burst = rate * BURST
    this.balance = Math.min(burst, this.filledAt === undefined ? burst : this.balance + rate * Math.max(0, now - this.filledAt))
    this.filledAt = now
    return rate > 0 && this.balance > RESERVE[priority] * burst
  }

  /** Charges the estimate of a request that crosses regions, or corrects it by a difference. */
  charge (bytes: number): void {
    this.balance -= bytes
  }
}
