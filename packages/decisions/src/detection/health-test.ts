/** What every test of a target's health has in common. */
import type * as Clock from '../core/clock.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'

/** One observation of real work on a target. */
export interface Sample {
  readonly attempt: Ids.AttemptId
  /** `waiting`: still in flight after `elapsed`; the attempt is observed again later. */
  readonly outcome: 'answered' | 'failed' | 'waiting'
  /** Time from dispatch to the response head, the failure or now, in ms. */
  readonly elapsed: Clock.Milliseconds
  readonly at: Clock.Milliseconds
  /** Median baseline of the service's other targets, when known. */
  readonly baseline: Events.Baseline | undefined
  /** Factor in (0, 1] on evidence from slowness, below 1 when the target reports that it is busy. */
  readonly slownessWeight: number
  /** Factor of 1 or more on evidence from waiting, above 1 while nothing at all completes on the target. */
  readonly waitingWeight: number
}

/** Decides from samples and probes whether one target is unhealthy. */
export abstract class HealthTest {
  abstract observe (sample: Sample): void

  /** Counts a probe, which weighs less than real work. */
  abstract observeProbe (healthy: boolean, at: Clock.Milliseconds): void

  /** Withdraws what an attempt in flight has contributed. */
  abstract retract (attempt: Ids.AttemptId): void

  /** An attempt ended without an outcome; what its waiting has shown stays. */
  abstract finalize (attempt: Ids.AttemptId): void

  /** Evidence in nats, scaled so that ejection is wanted at `threshold` and above. */
  abstract score (threshold: number): number

  abstract reset (): void
}
