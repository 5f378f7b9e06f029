/** Default decider: CUSUM of log-likelihood ratios, one for errors and one for slowness. */
import type * as Clock from '../core/clock.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Accumulators from './accumulator.js'
import * as HealthTests from './health-test.js'
import * as Likelihood from './likelihood.js'

/**
 * One pause of a healthy process delays all its answers at once, so slow answers within such a span count as one:
 * without this limit a healthy target was ejected 5.5 times a day at an evidence of 14.
 */
const PAUSE_MILLISECONDS = 500
/** A failed probe weighs less than a failed request. */
const PROBE_INCREMENT = 3
/** Share of the threshold that probes can reach while real work succeeds: never enough to eject. */
const PROBE_SHARE = 0.25
/** Without a baseline, a request in flight for this long counts as lost. */
const WAIT_WITHOUT_BASELINE_MILLISECONDS = 2_000

/** Weight of the newest answer in the recent log latency: about the last seven answers. */
const RECENT_WEIGHT = 0.25
/** Evidence of one waiting request from which it counts as a long wait. */
const LONG_WAIT = 1
/** Part of the three-fold shift that recent answers must still show against the baseline of today. */
const RECENT_EXCESS = Likelihood.SLOWNESS_SHIFT / 3
/** Share of the threshold for slowness that is over: suspicious, but no reason to eject. */
const PAST_SHARE = 0.9

/**
 * Errors and slowness have separate sums, because fast answers between errors would otherwise cancel them.
 * The larger sum counts.
 */
export class SequentialTest extends HealthTests.HealthTest {
  private readonly errors = new Accumulators.Accumulator()
  private readonly slowness = new Accumulators.Accumulator(Likelihood.LARGEST_INCREMENT, PAUSE_MILLISECONDS)
  private probes = 0
  private lastFailed = false
  /** Moving average of the log latency. */
  private recent: number | undefined
  private reference: Events.Baseline | undefined
  /** The last observation was a request that waits for longer than usual. */
  private waitsLong = false

  override observe (sample: HealthTests.Sample): void {
    switch (sample.outcome) {
      case 'answered': this.answered(sample); break
      case 'failed':
        this.errors.settle(sample.attempt, Likelihood.failure(sample.baseline), sample.at)
        this.lastFailed = true
        break
      case 'waiting': this.waiting(sample); break
    }
  }

  override observeProbe (healthy: boolean): void {
    this.probes = Math.max(0, this.probes + (healthy ? -PROBE_INCREMENT : PROBE_INCREMENT))
  }

  override retract (attempt: Ids.AttemptId): void {
    this.errors.waive(attempt)
    this.slowness.waive(attempt)
  }

  override finalize (attempt: Ids.AttemptId): void {
    this.errors.abandon(attempt)
    this.slowness.abandon(attempt)
  }

  override score (threshold: number): number {
    for (const sum of [this.errors, this.slowness]) sum.cap(threshold + Likelihood.LARGEST_INCREMENT)
    const slowness = this.isStillSlow() ? this.slowness.value : Math.min(this.slowness.value, PAST_SHARE * threshold)
    const work = Math.max(this.errors.value, slowness)
    const allowed = this.lastFailed ? threshold - Likelihood.LARGEST_INCREMENT : threshold * PROBE_SHARE
    this.probes = Math.min(this.probes, threshold)
    return work + Math.min(this.probes, Math.max(0, allowed))
  }

  override reset (): void {
    this.errors.reset()
    this.slowness.reset()
    this.probes = 0
    this.lastFailed = false
    this.recent = undefined
    this.waitsLong = false
  }

  /**
   * Slowness that all targets share reaches the baseline after the first evidence. The sum needs time to
   * fall again; recent answers show at once that the target is no slower than the others.
   */
  private isStillSlow (): boolean {
    if (this.waitsLong || this.recent === undefined || this.reference === undefined) return true
    return this.recent - this.reference.meanLogLatency >= RECENT_EXCESS
  }

  private answered (sample: HealthTests.Sample): void {
    const { attempt, elapsed, baseline: reference, slownessWeight, at } = sample
    this.lastFailed = false
    this.waitsLong = false
    this.reference = reference
    const log = Math.log(Math.max(elapsed, 1))
    this.recent = this.recent === undefined ? log : this.recent + RECENT_WEIGHT * (log - this.recent)
    this.errors.settle(attempt, Likelihood.success(reference), at)
    const increment = reference === undefined ? 0 : Likelihood.slowAnswer(elapsed, reference)
    this.slowness.settle(attempt, increment > 0 ? increment * slownessWeight : increment, at)
  }

  private waiting (sample: HealthTests.Sample): void {
    const { attempt, elapsed, baseline: reference, slownessWeight, waitingWeight, at } = sample
    if (reference === undefined) {
      if (elapsed >= WAIT_WITHOUT_BASELINE_MILLISECONDS) this.lost(attempt, Likelihood.failure(reference), waitingWeight, at)
      return
    }
    this.lost(attempt, Likelihood.lostWait(elapsed, reference), waitingWeight, at)
    const increment = Likelihood.slowWait(elapsed, reference)
    if (increment >= LONG_WAIT) this.waitsLong = true
    this.slowness.hold(attempt, slownessWeight * increment, at)
  }

  private lost (attempt: Ids.AttemptId, increment: number, weight: number, at: Clock.Milliseconds): void {
    if (increment >= Likelihood.LARGEST_INCREMENT) this.lastFailed = true
    this.errors.hold(attempt, increment * weight, at)
  }
}
