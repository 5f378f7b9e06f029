/**
 * Holds work back from a target that has just failed. A single failure raises the odds of an ongoing
 * fault by one to two orders of magnitude, so work for which a failure is final waits until other work has succeeded.
 */
import * as Decisions from '@jasminedale/decisions'

export type Passage = 'pass' | 'trial' | 'closed'

/** Pause before the first trial: short beside the seconds for which a partial failure lasts. */
const HOLD = Decisions.Clock.milliseconds(300)
/** Factor by which the pause grows with each failed trial. */
const HOLD_GROWTH = 1.5
/** Longest pause: operators count a target as sound 2 s after its last failure. */
const HOLD_MAXIMUM = Decisions.Clock.milliseconds(900)
/** Failures within this time belong to one fault; faults of the platform's targets last several seconds. */
const FAULT_SPAN = Decisions.Clock.seconds(5)
/** Successful trials after an isolated failure. */
const TRIALS_ISOLATED = 1
/** Successful trials after repeated failures: with nine of ten failing, two successes leave odds of 1 to 100. */
const TRIALS_REPEATED = 2
/** Time without work that may be the trial after which any request is. */
const PATIENCE = Decisions.Clock.seconds(4)

export class Gate {
  private closedUntil: Decisions.Clock.Milliseconds | undefined
  private hold = HOLD
  private failedAt: Decisions.Clock.Milliseconds | undefined
  private trialsLeft = 0
  private failuresInClosure = 0
  private trialRunning = false

  /** Milliseconds until the next trial; undefined when the gate is open. */
  closedFor (now: Decisions.Clock.Milliseconds): number | undefined {
    return this.closedUntil === undefined ? undefined : Math.max(0, this.closedUntil - now)
  }

  /** Failures since the gate closed; zero when it is open. */
  get failures (): number {
    return this.failuresInClosure
  }

  /**
   * Decides about one request. A passage of `trial` must be reported back by `succeeded`, `failed` or `abandoned`.
   * A request that `insists` found no other target; trying it here is better than not serving it.
   */
  admit (mayTry: boolean, insists: boolean, now: Decisions.Clock.Milliseconds): Passage {
    if (this.closedUntil === undefined) return 'pass'
    if (insists) {
      if (this.trialRunning) return 'pass'
      this.trialRunning = true
      return 'trial'
    }
    if (now < this.closedUntil || this.trialRunning) return 'closed'
    if (!mayTry && now < this.closedUntil + PATIENCE) return 'closed'
    this.trialRunning = true
    return 'trial'
  }

  succeeded (passage: Passage): void {
    if (passage !== 'trial') return
    this.trialRunning = false
    this.trialsLeft -= 1
    if (this.trialsLeft > 0) return
    this.closedUntil = undefined
    this.failuresInClosure = 0
    this.hold = HOLD
  }

  failed (passage: Passage, now: Decisions.Clock.Milliseconds): void {
    const repeated = this.failedAt !== undefined && now - this.failedAt < FAULT_SPAN
    this.failedAt = now
    this.failuresInClosure += 1
    if (passage === 'trial') {
      this.trialRunning = false
      this.hold = Decisions.Clock.milliseconds(Math.min(this.hold * HOLD_GROWTH, HOLD_MAXIMUM))
    }
    this.trialsLeft = repeated ? TRIALS_REPEATED : TRIALS_ISOLATED
    this.closedUntil = Decisions.Clock.add(now, this.hold)
  }

  /** The trial ended without telling anything about the target. */
  abandoned (passage: Passage): void {
    if (passage === 'trial') this.trialRunning = false
  }

  /** A new incarnation starts without a record. */
  reset (): void {
    this.closedUntil = undefined
    this.hold = HOLD
    this.failedAt = undefined
    this.failuresInClosure = 0
    this.trialRunning = false
  }
}
