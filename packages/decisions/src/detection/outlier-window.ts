/** Windowed decider: success rate and mean log latency of recent samples as outliers. Kept for comparison. */
import * as Deciders from './decider.js'

const WINDOW_MILLISECONDS = 10_000
/** The last samples are kept beyond the window's time, or low traffic would never reach the minimum. */
const MINIMUM_SAMPLES = 5
const MAXIMUM_SAMPLES = 100
/** Success rate below the baseline at which the target is an outlier. */
const SUCCESS_RATE_DEFICIT = 0.15
/** Ratio of mean latencies that makes an outlier, together with the number of standard errors. */
const LATENCY_RATIO = 2
const STANDARD_ERRORS = 3
const DEVIATION_MINIMUM = 0.2

export class OutlierWindow extends Deciders.Decider {
  private samples: Deciders.Sample[] = []

  override observe (sample: Deciders.Sample): void {
    if (sample.outcome === 'waiting') return
    this.samples.push(sample)
    while (this.samples.length > MAXIMUM_SAMPLES || this.isOld(sample)) this.samples.shift()
  }

  override probed (): void {
    // Only real work enters the window.
  }

  override waive (): void {
    // Attempts in flight contribute nothing.
  }

  override abandon (): void {
    // Attempts in flight contribute nothing.
  }

  override score (threshold: number): number {
    if (this.samples.length < MINIMUM_SAMPLES) return 0
    return threshold * Math.max(this.errorLevel(), this.latencyLevel())
  }

  override reset (): void {
    this.samples = []
  }

  private isOld (latest: Deciders.Sample): boolean {
    const oldest = this.samples[0]
    return this.samples.length > MINIMUM_SAMPLES && oldest !== undefined && latest.at - oldest.at > WINDOW_MILLISECONDS
  }

  private errorLevel (): number {
    const errors = this.samples.filter(sample => sample.outcome === 'failed').length / this.samples.length
    const usual = this.samples.at(-1)?.reference?.errorRate ?? 0
    return Math.max(0, errors - usual) / SUCCESS_RATE_DEFICIT
  }

  private latencyLevel (): number {
    const reference = this.samples.at(-1)?.reference
    const logs = this.samples.filter(sample => sample.outcome === 'answered').map(sample => Math.log(Math.max(sample.elapsed, 1)))
    if (reference === undefined || logs.length < MINIMUM_SAMPLES) return 0
    const excess = logs.reduce((sum, log) => sum + log, 0) / logs.length - reference.meanLogLatency
    const standardError = Math.max(reference.deviation, DEVIATION_MINIMUM) / Math.sqrt(logs.length)
    return Math.max(0, Math.min(excess / Math.log(LATENCY_RATIO), excess / standardError / STANDARD_ERRORS))
  }
}
