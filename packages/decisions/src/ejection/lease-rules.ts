/**
 * The rules on which the floor rests, in one place so that tests can weaken each of them.
 * No rule compares the clocks of two nodes: a lease is counted from the moment its request was sent,
 * a promise from the moment that request was received, which is later.
 */
import * as Clock from '../core/clock.js'

/** How long a promise may be relied on after it was asked for. */
export const LEASE = Clock.seconds(10)
/** Allows for clocks that run at different rates while a lease lasts. */
export const MARGIN = Clock.seconds(2)

export class LeaseRules {
  /** End of a lease, by the clock of the node that relies on it. */
  leaseUntil (sentAt: Clock.Milliseconds): Clock.Milliseconds {
    return Clock.add(sentAt, LEASE)
  }

  /** End of a promise, by the clock of the node that gave it. */
  promiseUntil (receivedAt: Clock.Milliseconds): Clock.Milliseconds {
    return Clock.add(receivedAt, Clock.add(LEASE, MARGIN))
  }

  /** Whether a target must stay in service because of a promise that ends at `until`. */
  isBound (until: Clock.Milliseconds, now: Clock.Milliseconds): boolean {
    return now < until
  }

  /** Whether the leases of an ejection may be relied on. Asked before any other handling of an event. */
  isCurrent (until: Clock.Milliseconds, now: Clock.Milliseconds): boolean {
    return now < until
  }

  /** A node that restarted may have forgotten promises, so it ejects nothing until they have ended. */
  isSettled (startedAt: Clock.Milliseconds, now: Clock.Milliseconds): boolean {
    return now >= this.promiseUntil(startedAt)
  }

  /** A grant counts only if no release of its round or a later one was sent to that promiser. */
  isUsable (grantedIn: number, releasedIn: number | undefined): boolean {
    return releasedIn === undefined || grantedIn > releasedIn
  }

  /** A release ends only promises of its round or an earlier one. */
  ends (promisedIn: number, releasedIn: number): boolean {
    return promisedIn <= releasedIn
  }
}
