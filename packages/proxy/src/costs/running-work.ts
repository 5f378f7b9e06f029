/** Requests that run on the local target, with their expected cost. */
import type * as Decisions from '@jasminedale/decisions'
import * as RemainingWork from './remaining-work.js'

export interface Run {
  readonly startedAt: Decisions.Clock.Milliseconds
  /** Expected time in ms on this target. */
  readonly cost: number
}

export class RunningWork {
  private readonly runs = new Set<Run>()

  start (run: Run): void {
    this.runs.add(run)
  }

  end (run: Run): void {
    this.runs.delete(run)
  }

  get size (): number {
    return this.runs.size
  }

  /** Expected remaining time in ms of all that run, one after the other. */
  left (now: Decisions.Clock.Milliseconds): number {
    let left = 0
    for (const { cost, startedAt } of this.runs) left += RemainingWork.remainingWork(cost, now - startedAt)
    return left
  }

  /** Expected time in ms until the first of them ends; zero if none runs. */
  untilFirstEnd (now: Decisions.Clock.Milliseconds): number {
    let rate = 0
    for (const { cost, startedAt } of this.runs) rate += 1 / Math.max(1, RemainingWork.remainingWork(cost, now - startedAt))
    return rate === 0 ? 0 : 1 / rate
  }
}
