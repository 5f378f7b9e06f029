/** A planned stop of a target or of the node: new work is refused, work in progress finishes. */
import * as Clock from '../core/clock.js'

export class Drain {
  /** The end was reported; a drain ends once. */
  private ended = false

  constructor (private readonly startedAt: Clock.Milliseconds, private readonly limit: Clock.Milliseconds) {}

  /** True exactly once: when no work is left or the time is over. */
  ends (workLeft: number, now: Clock.Milliseconds): boolean {
    if (this.ended || (workLeft > 0 && now < Clock.add(this.startedAt, this.limit))) return false
    this.ended = true
    return true
  }
}
