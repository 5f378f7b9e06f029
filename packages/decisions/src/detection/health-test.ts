/** Base class of the tests of a target's health. */
import type * as Clock from '../core/clock.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'

/** One observation of an attempt on a target. */
export interface Sample {
  readonly attempt: Ids.AttemptId
  /** `waiting`: still in flight after `elapsed` ms; the attempt is observed again later. */
  readonly outcome: 'answered' | 'failed' | 'waiting'
  /** Time from dispatch to the response head, the failure or now, in ms. */
  readonly elapsed: Clock.Milliseconds
  readonly at: Clock.Milliseconds
  /** Median of the baselines that entries sent for the other targets of the service. */
  readonly baseline: Events.Baseline | undefined
  /** Factor in (0, 1] on evidence of slowness; below 1 when the target reports high load. */
  readonly slownessWeight: number
  /** Factor of at least 1 on evidence from requests in flight; above 1 while no request completes on the target. */
  readonly waitingWeight: number
}

/** Tests from samples and probes whether one target is unhealthy. */
export abstract class HealthTest {
  abstract observe (sample: Sample): void

  /** Counts a probe, which has less weight than real work. */
  abstract observeProbe (healthy: boolean, at: Clock.Milliseconds): void

  /** Removes the contribution of an attempt in flight. */
  abstract retract (attempt: Ids.AttemptId): void

  /** Makes the contribution of an attempt final. Called when an attempt ends; its time in flight stays as evidence. */
  abstract finalize (attempt: Ids.AttemptId): void

  /** Evidence in nats, scaled so that the target is to be ejected at `threshold` and above. */
  abstract score (threshold: number): number

  abstract reset (): void
}
