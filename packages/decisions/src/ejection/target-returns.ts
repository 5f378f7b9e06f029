/** Duration of ejections, and the gradual return to service: a small initial weight, then slow start. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'

/** Each ejection within this time after a return doubles the hold, the time for which the target stays ejected. */
const REPEAT_WINDOW_MILLISECONDS = 600_000
/** Share of the usual work at the start of the return. */
const INITIAL_WEIGHT = 0.05
/** Slow start begins after so many samples, or after this time when too little work arrives. */
const INITIAL_PHASE_SAMPLES = 3
const INITIAL_PHASE_MILLISECONDS = 5_000

interface ReturnProgress {
  readonly since: Clock.Milliseconds
  /** Sample count of the target at the start of the return. */
  readonly samples: number
  /** Undefined while the initial weight applies. */
  slowStartAt: Clock.Milliseconds | undefined
}

interface RepeatedEjections {
  readonly count: number
  readonly at: Clock.Milliseconds
}

export class TargetReturns {
  private readonly inProgress = new Map<Ids.TargetId, ReturnProgress>()
  private readonly repeats = new Map<Ids.TargetId, RepeatedEjections>()

  /** Duration of an ejection that begins now. */
  holdDuration (target: Ids.TargetId, policy: Policies.Policy, now: Clock.Milliseconds): Clock.Milliseconds {
    const repeat = this.repeats.get(target)
    const count = repeat === undefined || now - repeat.at > REPEAT_WINDOW_MILLISECONDS ? 0 : repeat.count
    return Clock.milliseconds(Math.min(policy.ejectionHoldMaximum, policy.ejectionHold * 2 ** count))
  }

  /** Starts the return at the end of the hold. */
  start (target: Ids.TargetId, context: Controllers.StepContext): void {
    const repeat = this.repeats.get(target)
    const count = repeat === undefined || context.now - repeat.at > REPEAT_WINDOW_MILLISECONDS ? 0 : repeat.count
    this.repeats.set(target, { count: count + 1, at: context.now })
    const samples = context.board.evidence.local.get(target)?.samples ?? 0
    this.inProgress.set(target, { since: context.now, samples, slowStartAt: undefined })
    context.board.ejections.local.set(target, { kind: 'in-service', weight: INITIAL_WEIGHT })
  }

  /** Stops a return, because the target was ejected again, left or restarted. */
  cancel (target: Ids.TargetId): void {
    this.inProgress.delete(target)
  }

  tick (context: Controllers.StepContext): void {
    for (const [target, progress] of this.inProgress) {
      const known = context.board.targets.get(target)
      if (known === undefined) this.finish(target, context)
      else this.advance(target, progress, context.board.configuration.policyFor({ service: known.service }, context.now), context)
    }
    for (const [target, { at }] of this.repeats) if (context.now - at > REPEAT_WINDOW_MILLISECONDS) this.repeats.delete(target)
  }

  private advance (target: Ids.TargetId, progress: ReturnProgress, policy: Policies.Policy, context: Controllers.StepContext): void {
    const samples = (context.board.evidence.local.get(target)?.samples ?? 0) - progress.samples
    if (samples >= INITIAL_PHASE_SAMPLES || context.now - progress.since >= INITIAL_PHASE_MILLISECONDS) progress.slowStartAt ??= context.now
    if (progress.slowStartAt === undefined) return
    const fraction = policy.slowStart === 0 ? 1 : (context.now - progress.slowStartAt) / policy.slowStart
    if (fraction >= 1) this.finish(target, context)
    else context.board.ejections.local.set(target, { kind: 'in-service', weight: INITIAL_WEIGHT + (1 - INITIAL_WEIGHT) * fraction })
  }

  private finish (target: Ids.TargetId, context: Controllers.StepContext): void {
    this.inProgress.delete(target)
    context.board.ejections.local.delete(target)
  }
}
