/** Health test that detects an outlying success rate or mean log latency in a sliding window. Kept as a reference for measurements. */
import * as HealthTests from './health-test.js'

const WINDOW_MILLISECONDS = 10_000
/** So many samples are kept beyond the window, because low traffic would otherwise never reach the minimum. */
const MINIMUM_SAMPLES = 5
const MAXIMUM_SAMPLES = 100
/** Difference of success rates, baseline minus target, from which the target is an outlier. */
const SUCCESS_RATE_DEFICIT = 0.15
/** A target is an outlier when its mean latency exceeds the baseline by both this ratio and this number of standard errors. */
const LATENCY_RATIO = 2
const STANDARD_ERRORS = 3
const DEVIATION_MINIMUM = 0.2

export class OutlierWindow extends HealthTests.HealthTest {
  private samples: HealthTests.Sample[] = []
  private errorCount = 0
  private logLatencySum = 0

  override observe (sample: HealthTests.Sample): void {
    if (sample.outcome === 'waiting') return
    this.samples.push(sample)
    this.updateSums(sample, 1)
    while (this.samples.length > MAXIMUM_SAMPLES || this.isOldestExpired(sample)) {
      const oldest = this.samples.shift()
      if (oldest !== undefined) this.updateSums(oldest, -1)
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
    return threshold * Math.max(this.errorScore(), this.latencyScore())
  }

  override reset (): void {
    this.samples = []
    this.errorCount = 0
    this.logLatencySum = 0
  }

  private updateSums (sample: HealthTests.Sample, direction: 1 | -1): void {
    if (sample.outcome === 'failed') this.errorCount += direction
    else this.logLatencySum += direction * Math.log(Math.max(sample.elapsed, 1))
  }

  private isOldestExpired (latest: HealthTests.Sample): boolean {
    const oldest = this.samples[0]
    return this.samples.length > MINIMUM_SAMPLES && oldest !== undefined && latest.at - oldest.at > WINDOW_MILLISECONDS
  }

  private errorScore (): number {
    const expected = this.samples.at(-1)?.baseline?.errorRate ?? 0
    return Math.max(0, this.errorCount / this.samples.length - expected) / SUCCESS_RATE_DEFICIT
  }

  private latencyScore (): number {
    const baseline = this.samples.at(-1)?.baseline
    const answers = this.samples.length - this.errorCount
    if (baseline === undefined || answers < MINIMUM_SAMPLES) return 0
    const excess = this.logLatencySum / answers - baseline.meanLogLatency
    const standardError = Math.max(baseline.deviation, DEVIATION_MINIMUM) / Math.sqrt(answers)
    return Math.max(0, Math.min(excess / Math.log(LATENCY_RATIO), excess / standardError / STANDARD_ERRORS))
  }
}
