/** Minimum share of the starts for requests that others go before, so that they are not starved while both wait. */
export class MinimumShare {
  private passedOver = 0

  /** @param interval One start in this many goes to those that are passed over otherwise. */
  constructor (private readonly interval: number) {}

  /** Called for each start while both wait. Whether it goes to those that are passed over otherwise. */
  isDue (): boolean {
    this.passedOver += 1
    if (this.passedOver < this.interval) return false
    this.passedOver = 0
    return true
  }
}
