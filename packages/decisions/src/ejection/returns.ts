/** Hold times and the gradual return to service. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'

/** A repeat within this time after a return doubles the hold. */
const REPEAT_MILLISECONDS = 600_000
/** Share of work at the start of the return. */
const TRICKLE_WEIGHT = 0.05
/** The trickle ends after so many answers, or after this time when too little work arrives to tell. */
const TRICKLE_SAMPLES = 3
const TRICKLE_MILLISECONDS = 5_000

interface Return {
  readonly since: Clock.Milliseconds
  readonly samples: number
  /** Start of the slow start; undefined during the trickle. */
  rampFrom: Clock.Milliseconds | undefined
}

interface Repeat {
  readonly count: number
  readonly at: Clock.Milliseconds
}

export class Returns {
  private readonly inProgress = new Map<Ids.TargetId, Return>()
  private readonly repeats = new Map<Ids.TargetId, Repeat>()

  /** Hold of an ejection that begins now. */
  hold (target: Ids.TargetId, policy: Policies.Policy, now: Clock.Milliseconds): Clock.Milliseconds {
    const repeat = this.repeats.get(target)
    const count = repeat === undefined || now - repeat.at > REPEAT_MILLISECONDS ? 0 : repeat.count
    return Clock.milliseconds(Math.min(policy.ejectionHoldMaximum, policy.ejectionHold * 2 ** count))
  }

  /** Starts the return after a completed hold. */
  begin (target: Ids.TargetId, turn: Controllers.Turn): void {
    const repeat = this.repeats.get(target)
    const count = repeat === undefined || turn.now - repeat.at > REPEAT_MILLISECONDS ? 0 : repeat.count
    this.repeats.set(target, { count: count + 1, at: turn.now })
    const samples = turn.board.evidence.local.get(target)?.samples ?? 0
    this.inProgress.set(target, { since: turn.now, samples, rampFrom: undefined })
    turn.board.ejections.local.set(target, { kind: 'in-service', weight: TRICKLE_WEIGHT })
  }

  /** Ends the return, because the target was ejected again, left, or restarted. */
  cancel (target: Ids.TargetId): void {
    this.inProgress.delete(target)
  }

  tick (turn: Controllers.Turn): void {
    for (const [target, progress] of this.inProgress) {
      const known = turn.board.targets.get(target)
      if (known === undefined) this.finish(target, turn)
      else this.advance(target, progress, turn.board.configuration.policyFor({ service: known.service }, turn.now), turn)
    }
    for (const [target, { at }] of this.repeats) if (turn.now - at > REPEAT_MILLISECONDS) this.repeats.delete(target)
  }

  private advance (target: Ids.TargetId, progress: Return, policy: Policies.Policy, turn: Controllers.Turn): void {
    const samples = (turn.board.evidence.local.get(target)?.samples ?? 0) - progress.samples
    if (samples >= TRICKLE_SAMPLES || turn.now - progress.since >= TRICKLE_MILLISECONDS) progress.rampFrom ??= turn.now
    if (progress.rampFrom === undefined) return
    const share = policy.slowStart === 0 ? 1 : (turn.now - progress.rampFrom) / policy.slowStart
    if (share >= 1) this.finish(target, turn)
    else turn.board.ejections.local.set(target, { kind: 'in-service', weight: TRICKLE_WEIGHT + (1 - TRICKLE_WEIGHT) * share })
  }

  private finish (target: Ids.TargetId, turn: Controllers.Turn): void {
    this.inProgress.delete(target)
    turn.board.ejections.local.delete(target)
  }
}
