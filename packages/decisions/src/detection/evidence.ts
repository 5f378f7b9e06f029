/** Section `evidence`: what this node knows about the health of targets. Written by Detection. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

export interface TargetEvidence {
  /** Cumulative log-likelihood ratio in nats that the target is unhealthy. */
  readonly score: number
  /** Moving average of the service time, in ms. */
  readonly latency: Clock.Milliseconds
  readonly errorRate: number
  readonly samples: number
}

export class Evidence {
  /** Targets on this node's VM. */
  readonly local = new Map<Ids.TargetId, TargetEvidence>()
  /** Targets elsewhere, as seen by this node as an entry. */
  readonly remote = new Map<Ids.TargetId, TargetEvidence>()

  get (target: Ids.TargetId): TargetEvidence | undefined {
    return this.local.get(target) ?? this.remote.get(target)
  }
}
