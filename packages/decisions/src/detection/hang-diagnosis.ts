/**
 * Distinguishes dead connections from a hanging target. After the first request that seems lost, the daemon
 * retires the pooled connections. The earlier requests count against the target only when a request on a new
 * connection, or a probe, fails as well.
 */
import * as Clock from '../core/clock.js'

/** A lost request this long after the connections were retired starts a new diagnosis. */
const INCIDENT_MILLISECONDS = 30_000

export class HangDiagnosis {
  private retiredAt: Clock.Milliseconds | undefined
  private cause: 'undetermined' | 'target' | 'connection' = 'undetermined'

  /**
   * Returns true when the pooled connections are to be retired now. A lost request on a new connection shows that the
   * target hangs.
   */
  reportLostRequest (dispatchedAt: Clock.Milliseconds, now: Clock.Milliseconds): boolean {
    if (this.retiredAt === undefined || now - this.retiredAt > INCIDENT_MILLISECONDS) {
      this.retiredAt = now
      this.cause = 'undetermined'
      return true
    }
    if (dispatchedAt >= this.retiredAt && this.cause === 'undetermined') this.cause = 'target'
    return false
  }

  /** An answer over a new connection shows that the old connections were at fault. */
  reportAnswer (dispatchedAt: Clock.Milliseconds): void {
    const isOnNewConnection = this.retiredAt !== undefined && dispatchedAt >= this.retiredAt
    if (isOnNewConnection && this.cause === 'undetermined') this.cause = 'connection'
  }

  /** A probe uses a connection of its own, so its failure shows that the target hangs. */
  reportFailedProbe (): void {
    if (this.retiredAt !== undefined && this.cause === 'undetermined') this.cause = 'target'
  }

  /** Whether a missing response or a lost connection of a request dispatched at `dispatchedAt` is evidence against the target. */
  countsAgainstTarget (dispatchedAt: Clock.Milliseconds): boolean {
    return this.retiredAt === undefined || dispatchedAt >= this.retiredAt || this.cause === 'target'
  }
}
