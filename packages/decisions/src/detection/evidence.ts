/** Section `evidence`: what this node knows about the health of targets. Written by Detection. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as ServiceStatistics from './service-statistics.js'

export interface TargetEvidence {
  /** Evidence in nats that the target is unhealthy; ejection is wanted at `ejection-evidence`. */
  readonly score: number
  /** Moving average of the service time, in ms. */
  readonly latency: Clock.Milliseconds
  readonly errorRate: number
  readonly samples: number
  /** When real work last ended; absent before the first. */
  readonly lastWork?: Clock.Milliseconds
}

export class Evidence {
  /** Targets on this node's VM. */
  readonly local = new Map<Ids.TargetId, TargetEvidence>()
  /** Targets elsewhere, as seen by this node as an entry. */
  readonly remote = new Map<Ids.TargetId, TargetEvidence>()
  /** Outcomes of this node's own attempts as an entry, the source of the baselines it sends. */
  readonly services = new Map<Ids.Service, ServiceStatistics.ServiceStatistics>()

  get (target: Ids.TargetId): TargetEvidence | undefined {
    return this.local.get(target) ?? this.remote.get(target)
  }
}
