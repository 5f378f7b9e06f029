/** Default decider: CUSUM of log-likelihood ratios, one for errors and one for slowness. */
import type * as Ids from '../core/ids.js'
import * as Accumulators from './accumulator.js'
import * as Deciders from './decider.js'
import * as Likelihood from './likelihood.js'

/** A failed probe weighs less than a failed request. */
const PROBE_INCREMENT = 3
/** Share of the threshold that probes can reach while real work succeeds: never enough to eject. */
const PROBE_SHARE = 0.4
/** Without a baseline, a request in flight for this long counts as lost. */
const WAIT_WITHOUT_BASELINE_MILLISECONDS = 2_000

/**
 * Errors and slowness have separate sums, because fast answers between errors would otherwise cancel them.
 * The larger sum counts.
 */
export class SequentialTest extends Deciders.Decider {
  private readonly errors = new Accumulators.Accumulator()
  private readonly slowness = new Accumulators.Accumulator()
  private probes = 0
  private lastFailed = false

  override observe (sample: Deciders.Sample): void {
    switch (sample.outcome) {
      case 'answered': this.answered(sample); break
      case 'failed':
        this.errors.settle(sample.attempt, Likelihood.failure(sample.reference))
        this.lastFailed = true
        break
      case 'waiting': this.waiting(sample); break
    }
  }

  override probed (healthy: boolean): void {
    this.probes = Math.max(0, this.probes + (healthy ? -PROBE_INCREMENT : PROBE_INCREMENT))
  }

  override waive (attempt: Ids.AttemptId): void {
    this.errors.waive(attempt)
    this.slowness.waive(attempt)
  }

  override abandon (attempt: Ids.AttemptId): void {
    this.errors.abandon(attempt)
    this.slowness.abandon(attempt)
  }

  override score (threshold: number): number {
    const work = Math.max(this.errors.value, this.slowness.value)
    const allowed = this.lastFailed ? threshold - Likelihood.LARGEST_INCREMENT : threshold * PROBE_SHARE
    this.probes = Math.min(this.probes, threshold)
    return work + Math.min(this.probes, Math.max(0, allowed))
  }

  override reset (): void {
    this.errors.reset()
    this.slowness.reset()
    this.probes = 0
    this.lastFailed = false
  }

  private answered (sample: Deciders.Sample): void {
    const { attempt, elapsed, reference, slownessWeight } = sample
    this.lastFailed = false
    this.errors.settle(attempt, Likelihood.success(reference))
    const increment = reference === undefined ? 0 : Likelihood.slowAnswer(elapsed, reference)
    this.slowness.settle(attempt, increment > 0 ? increment * slownessWeight : increment)
  }

  private waiting (sample: Deciders.Sample): void {
    const { attempt, elapsed, reference, slownessWeight, waitingWeight } = sample
    if (reference === undefined) {
      if (elapsed >= WAIT_WITHOUT_BASELINE_MILLISECONDS) this.lost(attempt, Likelihood.failure(reference), waitingWeight)
      return
    }
    this.lost(attempt, Likelihood.lostWait(elapsed, reference), waitingWeight)
    this.slowness.hold(attempt, slownessWeight * Likelihood.slowWait(elapsed, reference))
  }

  private lost (attempt: Ids.AttemptId, increment: number, weight: number): void {
    if (increment >= Likelihood.LARGEST_INCREMENT) this.lastFailed = true
    this.errors.hold(attempt, increment * weight)
  }
}
