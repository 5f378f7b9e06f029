/**
 * Rate limit that the local target states in its responses, as a token bucket. All requests to the target pass its host,
 * so the limit holds for all nodes together without coordination.
 *
 * Load pattern: a target under stress takes fewer requests than it has slots for, while many nodes send a few each.
 */
import * as Decisions from '@jasminedale/decisions'

const MILLISECONDS_PER_SECOND = 1_000
/** Requests that may follow each other at once, as the time in which the limit allows them. */
const BURST_DURATION = Decisions.Clock.seconds(1)
/** Requests per second even with a limit of zero: only a response can show that the target has lifted the limit. */
const MINIMUM_RATE = 0.25

export class RateLimit {
  private currentRate: number | undefined
  private tokens = 0
  private refilledAt = Decisions.Clock.milliseconds(0)

  /** Requests per second as the target stated them; undefined without a limit. */
  get rate (): number | undefined {
    return this.currentRate
  }

  /** Mean time in ms between two requests; zero without a limit. */
  get interval (): number {
    return this.currentRate === undefined ? 0 : MILLISECONDS_PER_SECOND / Math.max(this.currentRate, MINIMUM_RATE)
  }

  /** Sets the limit that the last response stated. A first limit allows nothing at once, since the target already has too many requests. */
  setRate (rate: number | undefined, now: Decisions.Clock.Milliseconds): void {
    if (this.currentRate === undefined) this.tokens = 0
    else this.refill(now)
    this.currentRate = rate
    this.refilledAt = now
    this.tokens = Math.min(this.tokens, this.capacity)
  }

  /** Milliseconds until the next request is allowed; zero if one is allowed now. */
  timeUntilToken (now: Decisions.Clock.Milliseconds): number {
    if (this.currentRate === undefined) return 0
    this.refill(now)
    return this.tokens >= 1 ? 0 : (1 - this.tokens) * this.interval
  }

  /** Counts a request. The caller must have checked `timeUntilToken`. */
  take (now: Decisions.Clock.Milliseconds): void {
    if (this.currentRate === undefined) return
    this.refill(now)
    this.tokens -= 1
  }

  /** Takes back a counted request that was not sent to the target. */
  giveBack (): void {
    if (this.currentRate !== undefined) this.tokens = Math.min(this.tokens + 1, this.capacity)
  }

  private get capacity (): number {
    return this.currentRate === undefined ? 0 : Math.max(1, BURST_DURATION / this.interval)
  }

  private refill (now: Decisions.Clock.Milliseconds): void {
    this.tokens = Math.min(this.tokens + Math.max(0, now - this.refilledAt) / this.interval, this.capacity)
    this.refilledAt = now
  }
}
