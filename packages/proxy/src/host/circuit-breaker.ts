/**
 * Circuit breaker in front of the local target. One failure trips it, since a single failure raises the odds of an
 * ongoing fault by one to two orders of magnitude. While it is tripped, the target gets one probe request at a time,
 * preferably a request that can still be retried elsewhere. Enough successful probes reset the breaker.
 *
 * On the wire and in logs, a target whose breaker is tripped is `closed` and a probe request is a `trial`.
 */
import * as Decisions from '@jasminedale/decisions'

/** `pass`: run as an ordinary request; `trial`: run as the probe request; `closed`: refuse. Logged as `passage`. */
export type Admission = 'pass' | 'trial' | 'closed'

/** Delay before the first probe: short compared with partial failures, which last for seconds. */
const PROBE_DELAY_INITIAL = Decisions.Clock.milliseconds(300)
/** Factor by which each failed probe lengthens the delay. */
const PROBE_DELAY_GROWTH = 1.5
/** Kept below 2 s, since operators regard a target as healthy 2 s after its last failure. */
const PROBE_DELAY_MAXIMUM = Decisions.Clock.milliseconds(900)
/** Failures within this time are attributed to the same fault; faults of the platform's targets last several seconds. */
const FAULT_WINDOW = Decisions.Clock.seconds(5)
/** Successful probes that reset the breaker after an isolated failure. */
const PROBES_AFTER_ISOLATED_FAILURE = 1
/** After repeated failures. A target that fails 90 % of its requests passes two probes with a probability of 1 in 100. */
const PROBES_AFTER_REPEATED_FAILURES = 2
/**
 * Time after the probe delay for which only retryable requests may be the probe. Then any request may, since a service
 * without retryable requests would otherwise never probe its target.
 */
const RETRYABLE_PROBE_PERIOD = Decisions.Clock.seconds(4)

export class CircuitBreaker {
  /** Undefined unless the breaker is tripped. */
  private nextProbeAt: Decisions.Clock.Milliseconds | undefined
  private probeDelay = PROBE_DELAY_INITIAL
  private lastFailureAt: Decisions.Clock.Milliseconds | undefined
  /** Successful probes still needed to reset the breaker. */
  private probesRequired = 0
  private failureCount = 0
  private isProbeInFlight = false

  /** Milliseconds until the next probe is allowed; undefined unless the breaker is tripped. */
  timeUntilProbe (now: Decisions.Clock.Milliseconds): number | undefined {
    return this.nextProbeAt === undefined ? undefined : Math.max(0, this.nextProbeAt - now)
  }

  /** Failures since the breaker tripped; zero unless it is tripped. */
  get failures (): number {
    return this.failureCount
  }

  /**
   * Decides about one request. The caller must report the end of each admitted request with `recordSuccess`,
   * `recordFailure` or `recordInconclusive`; until then a probe blocks further probes.
   * @param mayBeProbe Whether the request can be retried elsewhere if it fails here.
   * @param mayBypassBreaker Whether to admit the request even though the breaker is tripped: it has found no other
   * target, and an attempt here is better than refusing it.
   */
  admit (mayBeProbe: boolean, mayBypassBreaker: boolean, now: Decisions.Clock.Milliseconds): Admission {
    if (this.nextProbeAt === undefined) return 'pass'
    if (mayBypassBreaker) {
      if (this.isProbeInFlight) return 'pass'
      this.isProbeInFlight = true
      return 'trial'
    }
    if (now < this.nextProbeAt || this.isProbeInFlight) return 'closed'
    if (!mayBeProbe && now < this.nextProbeAt + RETRYABLE_PROBE_PERIOD) return 'closed'
    this.isProbeInFlight = true
    return 'trial'
  }

  recordSuccess (admission: Admission): void {
    if (admission !== 'trial') return
    this.isProbeInFlight = false
    this.probesRequired -= 1
    if (this.probesRequired > 0) return
    this.nextProbeAt = undefined
    this.failureCount = 0
    this.probeDelay = PROBE_DELAY_INITIAL
  }

  recordFailure (admission: Admission, now: Decisions.Clock.Milliseconds): void {
    const isRepeated = this.lastFailureAt !== undefined && now - this.lastFailureAt < FAULT_WINDOW
    this.lastFailureAt = now
    this.failureCount += 1
    if (admission === 'trial') {
      this.isProbeInFlight = false
      this.probeDelay = Decisions.Clock.milliseconds(Math.min(this.probeDelay * PROBE_DELAY_GROWTH, PROBE_DELAY_MAXIMUM))
    }
    this.probesRequired = isRepeated ? PROBES_AFTER_REPEATED_FAILURES : PROBES_AFTER_ISOLATED_FAILURE
    this.nextProbeAt = Decisions.Clock.add(now, this.probeDelay)
  }

  /** The request ended in a way that says nothing about the health of the target. */
  recordInconclusive (admission: Admission): void {
    if (admission === 'trial') this.isProbeInFlight = false
  }

  /** Discards the state, which does not apply to a restarted or replaced target. */
  reset (): void {
    this.nextProbeAt = undefined
    this.probeDelay = PROBE_DELAY_INITIAL
    this.lastFailureAt = undefined
    this.failureCount = 0
    this.isProbeInFlight = false
  }
}
