/** Health test that counts consecutive errors. Kept as a reference for measurements; it does not detect slowness. */
import * as HealthTests from './health-test.js'

const CONSECUTIVE_ERRORS_FOR_EJECTION = 5

export class ConsecutiveErrors extends HealthTests.HealthTest {
  private consecutiveErrors = 0

  override observe (sample: HealthTests.Sample): void {
    if (sample.outcome === 'answered') this.consecutiveErrors = 0
    if (sample.outcome === 'failed') this.consecutiveErrors += 1
  }

  override observeProbe (): void {
    // A successful probe does not reset the count, because it does not run real work.
  }

  override retract (): void {
    // Attempts in flight contribute nothing.
  }

  override finalize (): void {
    // Attempts in flight contribute nothing.
  }

  override score (threshold: number): number {
    return threshold * this.consecutiveErrors / CONSECUTIVE_ERRORS_FOR_EJECTION
  }

  override reset (): void {
    this.consecutiveErrors = 0
  }
}
