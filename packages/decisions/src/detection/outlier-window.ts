/** Windowed decider: success rate and mean log latency of recent samples as outliers. Kept for comparison. */
import * as HealthTests from './health-test.js'

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

export class OutlierWindow extends HealthTests.HealthTest {
  private samples: HealthTests.Sample[] = []
  private errors = 0
  private logs = 0

  override observe (sample: HealthTests.Sample): void {
    if (sample.outcome === 'waiting') return
    this.samples.push(sample)
    this.count(sample, 1)
    while (this.samples.length > MAXIMUM_SAMPLES || this.isOld(sample)) {
      const oldest = this.samples.shift()
      if (oldest !== undefined) this.count(oldest, -1)
    }
  }

  override observeProbe (): void {
    // Only real work enters the window.
  }

  override retract (): void {
    // Attempts in flight contribute nothing.
  }

  override finalize (): void {
    // Attempts in flight contribute nothing.
  }

  override score (threshold: number): number {
    if (this.samples.length < MINIMUM_SAMPLES) return 0
    return threshold * Math.max(this.errorLevel(), this.latencyLevel())
  }

  override reset (): void {
    this.samples = []
    this.errors = 0
    this.logs = 0
  }

  private count (sample: HealthTests.Sample, direction: 1 | -1): void {
    if (sample.outcome === 'failed') this.errors += direction
    else this.logs += direction * Math.log(Math.max(sample.elapsed, 1))
  }

  private isOld (latest: HealthTests.Sample): boolean {
    const oldest = this.samples[0]
    return this.samples.length > MINIMUM_SAMPLES && oldest !== undefined && latest.at - oldest.at > WINDOW_MILLISECONDS
  }

  private errorLevel (): number {
    const usual = this.samples.at(-1)?.baseline?.errorRate ?? 0
    return Math.max(0, this.errors / this.samples.length - usual) / SUCCESS_RATE_DEFICIT
  }

  private latencyLevel (): number {
    const reference = this.samples.at(-1)?.baseline
    const answers = this.samples.length - this.errors
    if (reference === undefined || answers < MINIMUM_SAMPLES) return 0
    const excess = this.logs / answers - reference.meanLogLatency
    const standardError = Math.max(reference.deviation, DEVIATION_MINIMUM) / Math.sqrt(answers)
    return Math.max(0, Math.min(excess / Math.log(LATENCY_RATIO), excess / standardError / STANDARD_ERRORS))
  }
}
