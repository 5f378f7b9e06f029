/**
 * Tells a silent connection from a target that hangs. The first request that seems lost makes the daemon
 * retire the pooled connections. Only when work on a new connection, or a probe, fails as well does the
 * waiting of the earlier requests count against the target.
 */
import * as Clock from '../core/clock.js'

/** A lost request this long after a retirement is a new incident. */
const INCIDENT_MILLISECONDS = 30_000

export class Silence {
  private retiredAt: Clock.Milliseconds | undefined
  private verdict: 'open' | 'target' | 'connection' = 'open'

  /** Reports a request that seems lost. Returns true when the pooled connections are to be retired now. */
  lost (dispatchedAt: Clock.Milliseconds, now: Clock.Milliseconds): boolean {
    if (this.retiredAt === undefined || now - this.retiredAt > INCIDENT_MILLISECONDS) {
      this.retiredAt = now
      this.verdict = 'open'
      return true
    }
    if (dispatchedAt >= this.retiredAt && this.verdict === 'open') this.verdict = 'target'
    return false
  }

  /** Reports an answer: when it came over a new connection, the old ones were at fault. */
  answered (dispatchedAt: Clock.Milliseconds): void {
    const fresh = this.retiredAt !== undefined && dispatchedAt >= this.retiredAt
    if (fresh && this.verdict === 'open') this.verdict = 'connection'
  }

  /** Reports a failed probe, which uses a connection of its own. */
  probeFailed (): void {
    if (this.retiredAt !== undefined && this.verdict === 'open') this.verdict = 'target'
  }

  /** Whether waiting, a timeout or a lost connection of a request dispatched then is evidence against the target. */
  counts (dispatchedAt: Clock.Milliseconds): boolean {
    return this.retiredAt === undefined || dispatchedAt >= this.retiredAt || this.verdict === 'target'
  }
}
