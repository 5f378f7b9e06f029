/**
 * Timing and ordering rules of promises that keep the capacity floor, in one class so that tests can weaken each rule.
 * A promise has two intervals: the claiming node relies on it for the lease, counted from when it sent the
 * request; the promiser stays in service for longer, counted from when it received the request, which is later.
 * So no rule compares the clocks of two nodes.
 */
import * as Clock from '../core/clock.js'

/** Time after the request for which a claim may rely on a promise. */
export const LEASE_DURATION = Clock.seconds(10)
/** Allows for clocks that run at different rates during a lease. */
export const CLOCK_RATE_MARGIN = Clock.seconds(2)

export class LeaseRules {
  /** End of a lease by the clock of the claiming node. */
  leaseEnd (sentAt: Clock.Milliseconds): Clock.Milliseconds {
    return Clock.add(sentAt, LEASE_DURATION)
  }

  /** End of a promise by the clock of the granting node. */
  promiseEnd (receivedAt: Clock.Milliseconds): Clock.Milliseconds {
    return Clock.add(receivedAt, Clock.add(LEASE_DURATION, CLOCK_RATE_MARGIN))
  }

  /** Whether a target must stay in service because of a promise that ends at `until`. */
  isBound (until: Clock.Milliseconds, now: Clock.Milliseconds): boolean {
    return now < until
  }

  /** Whether a lease that ends at `until` may be relied on. Checked before each event is handled. */
  isCurrent (until: Clock.Milliseconds, now: Clock.Milliseconds): boolean {
    return now < until
  }

  /** A restarted node has lost its stored promises, so it ejects nothing until they have ended. */
  mayEjectAfterStart (startedAt: Clock.Milliseconds, now: Clock.Milliseconds): boolean {
    return now >= this.promiseEnd(startedAt)
  }

  /** A grant counts only if no release of the same or a later round was sent to its promiser. */
  isGrantUsable (grantRound: number, releaseRound: number | undefined): boolean {
    return releaseRound === undefined || grantRound > releaseRound
  }

  /** A release ends only promises of the same or an earlier round. */
  isReleased (promiseRound: number, releaseRound: number): boolean {
    return promiseRound <= releaseRound
  }
}
