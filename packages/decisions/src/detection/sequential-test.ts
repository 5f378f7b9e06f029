/** Default health test: sequential test with two CUSUMs of log-likelihood ratios, one for errors and one for slowness. */
import type * as Clock from '../core/clock.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Cusums from './cusum.js'
import * as HealthTests from './health-test.js'
import * as LogLikelihoodRatios from './log-likelihood-ratio.js'

/**
 * One pause of a healthy process delays all its answers, so slow answers within this window count as one.
 * Without this limit a healthy target was ejected 5.5 times a day at an ejection evidence of 14.
 */
const SLOWNESS_WINDOW_MILLISECONDS = 500
/** Evidence that a failed probe adds and a successful one subtracts; less than a failed request adds. */
const PROBE_INCREMENT_NATS = 3
/** Fraction of the threshold that probes can add while real work succeeds: never enough to eject. */
const PROBE_SCORE_FRACTION_MAXIMUM = 0.25
/** Without a baseline, a request without response for this long counts as lost. */
const LOST_REQUEST_MILLISECONDS_WITHOUT_BASELINE = 2_000

/** Weight of the newest answer in the moving average of the log latency, which covers about seven answers. */
const LOG_LATENCY_AVERAGE_WEIGHT = 0.25
/** Evidence from which the wait of a request in flight counts as long. */
const LONG_WAIT_NATS = 1
/** Excess of the recent mean log latency over the current baseline from which the target counts as still slow. */
const SLOW_LOG_LATENCY_EXCESS = LogLikelihoodRatios.SLOWNESS_LOG_SHIFT / 3
/** Fraction of the threshold to which slowness is limited when recent answers are no longer slow: suspect, but not ejected. */
const PAST_SLOWNESS_SCORE_FRACTION = 0.9

/**
 * Errors and slowness have separate CUSUMs, because fast answers between errors would otherwise cancel the errors.
 * The larger one is the score.
 */
export class SequentialTest extends HealthTests.HealthTest {
  private readonly errorCusum = new Cusums.Cusum()
  private readonly slownessCusum = new Cusums.Cusum(LogLikelihoodRatios.INCREMENT_MAXIMUM_NATS, SLOWNESS_WINDOW_MILLISECONDS)
  private probeScore = 0
  private hasLastRequestFailed = false
  /** Moving average of the log latency of recent answers. */
  private recentLogLatency: number | undefined
  private baseline: Events.Baseline | undefined
  /** The last observation of the latency was a request that waits for longer than expected. */
  private hasLongWait = false

  override observe (sample: HealthTests.Sample): void {
    switch (sample.outcome) {
      case 'answered': this.observeAnswer(sample); break
      case 'failed':
        this.errorCusum.addFinal(sample.attempt, LogLikelihoodRatios.ofError(sample.baseline), sample.at)
        this.hasLastRequestFailed = true
        break
      case 'waiting': this.observeWaiting(sample); break
    }
  }

  override observeProbe (healthy: boolean): void {
    this.probeScore = Math.max(0, this.probeScore + (healthy ? -PROBE_INCREMENT_NATS : PROBE_INCREMENT_NATS))
  }

  override retract (attempt: Ids.AttemptId): void {
    this.errorCusum.retract(attempt)
    this.slownessCusum.retract(attempt)
  }

  override finalize (attempt: Ids.AttemptId): void {
    this.errorCusum.finalize(attempt)
    this.slownessCusum.finalize(attempt)
  }

  override score (threshold: number): number {
    for (const sum of [this.errorCusum, this.slownessCusum]) sum.cap(threshold + LogLikelihoodRatios.INCREMENT_MAXIMUM_NATS)
    const slowness = this.isCurrentlySlow() ? this.slownessCusum.value : Math.min(this.slownessCusum.value, PAST_SLOWNESS_SCORE_FRACTION * threshold)
    const workScore = Math.max(this.errorCusum.value, slowness)
    const probeScoreMaximum = this.hasLastRequestFailed ? threshold - LogLikelihoodRatios.INCREMENT_MAXIMUM_NATS : threshold * PROBE_SCORE_FRACTION_MAXIMUM
    this.probeScore = Math.min(this.probeScore, threshold)
    return workScore + Math.min(this.probeScore, Math.max(0, probeScoreMaximum))
  }

  override reset (): void {
    this.errorCusum.reset()
    this.slownessCusum.reset()
    this.probeScore = 0
    this.hasLastRequestFailed = false
    this.recentLogLatency = undefined
    this.hasLongWait = false
  }

  /**
   * When all targets become slow, the baseline follows only after the first evidence, and the CUSUM needs time to
   * fall again. Recent answers show at once that the target is no slower than the others.
   */
  private isCurrentlySlow (): boolean {
    if (this.hasLongWait || this.recentLogLatency === undefined || this.baseline === undefined) return true
    return this.recentLogLatency - this.baseline.meanLogLatency >= SLOW_LOG_LATENCY_EXCESS
  }

  private observeAnswer (sample: HealthTests.Sample): void {
    const { attempt, elapsed, baseline, slownessWeight, at } = sample
    this.hasLastRequestFailed = false
    this.hasLongWait = false
    this.baseline = baseline
    const logLatency = Math.log(Math.max(elapsed, 1))
    this.recentLogLatency = this.recentLogLatency === undefined ? logLatency : this.recentLogLatency + LOG_LATENCY_AVERAGE_WEIGHT * (logLatency - this.recentLogLatency)
    this.errorCusum.addFinal(attempt, LogLikelihoodRatios.ofSuccess(baseline), at)
    const increment = baseline === undefined ? 0 : LogLikelihoodRatios.ofAnswerLatency(elapsed, baseline)
    this.slownessCusum.addFinal(attempt, increment > 0 ? increment * slownessWeight : increment, at)
  }

  private observeWaiting (sample: HealthTests.Sample): void {
    const { attempt, elapsed, baseline, slownessWeight, waitingWeight, at } = sample
    if (baseline === undefined) {
      if (elapsed >= LOST_REQUEST_MILLISECONDS_WITHOUT_BASELINE) this.addLostRequest(attempt, LogLikelihoodRatios.ofError(baseline), waitingWeight, at)
      return
    }
    this.addLostRequest(attempt, LogLikelihoodRatios.ofLostRequest(elapsed, baseline), waitingWeight, at)
    const increment = LogLikelihoodRatios.ofWaitingLatency(elapsed, baseline)
    if (increment >= LONG_WAIT_NATS) this.hasLongWait = true
    this.slownessCusum.addProvisional(attempt, slownessWeight * increment, at)
  }

  /** Adds the evidence that a request in flight is lost. */
  private addLostRequest (attempt: Ids.AttemptId, increment: number, weight: number, at: Clock.Milliseconds): void {
    if (increment >= LogLikelihoodRatios.INCREMENT_MAXIMUM_NATS) this.hasLastRequestFailed = true
    this.errorCusum.addProvisional(attempt, increment * weight, at)
  }
}
