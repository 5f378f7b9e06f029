/** Simplest decider: a number of errors in a row. Kept for comparison; it does not see slowness. */
import * as HealthTests from './health-test.js'

const ERRORS_IN_A_ROW = 5

export class ConsecutiveErrors extends HealthTests.HealthTest {
  private errors = 0

  override observe (sample: HealthTests.Sample): void {
    if (sample.outcome === 'answered') this.errors = 0
    if (sample.outcome === 'failed') this.errors += 1
  }

  override observeProbe (): void {
    // Probes are not real work and reset nothing.
  }

  override retract (): void {
    // Attempts in flight contribute nothing.
  }

  override finalize (): void {
    // Attempts in flight contribute nothing.
  }

  override score (threshold: number): number {
    return threshold * this.errors / ERRORS_IN_A_ROW
  }

  override reset (): void {
    this.errors = 0
  }
}
