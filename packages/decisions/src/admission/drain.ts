/** Drain of a target or of the node before a planned stop: new work is refused, work in progress may finish. */
import * as Clock from '../core/clock.js'

export class Drain {
  private hasEnded = false

  constructor (private readonly startedAt: Clock.Milliseconds, private readonly limit: Clock.Milliseconds) {}

  /** Ends the drain if no work is left or its time limit is reached. Returns true only in the call that ends it. */
  endIfDone (workLeft: number, now: Clock.Milliseconds): boolean {
    if (this.hasEnded || (workLeft > 0 && now < Clock.add(this.startedAt, this.limit))) return false
    this.hasEnded = true
    return true
  }
}
