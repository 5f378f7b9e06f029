/** Rate of a quantity per ms, weighted by age with an exponential. */
import * as Decisions from '@jasminedale/decisions'

export class DecayingRate {
  private value = 0
  private updatedAt = Decisions.Clock.milliseconds(0)

  /** @param timeConstant Time in ms over which the rate is averaged; may change between calls. */
  add (amount: number, timeConstant: number, now: Decisions.Clock.Milliseconds): void {
    this.value = this.at(timeConstant, now) + amount / timeConstant
    this.updatedAt = now
  }

  at (timeConstant: number, now: Decisions.Clock.Milliseconds): number {
    return this.value * Math.exp(Math.min(0, this.updatedAt - now) / timeConstant)
  }
}
