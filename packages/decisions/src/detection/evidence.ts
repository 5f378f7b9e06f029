/** Blackboard section `evidence`: what this node has observed about the health of targets. Written by Detection. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as ServiceStatistics from './service-statistics.js'

export interface TargetEvidence {
  /** Evidence in nats that the target is unhealthy; it is to be ejected at `ejection-evidence`. */
  readonly score: number
  /** Moving average of the service time, in ms. */
  readonly latency: Clock.Milliseconds
  readonly errorRate: number
  readonly samples: number
  /** Time of the last answer or failure of a request; absent before the first. */
  readonly lastWork?: Clock.Milliseconds
}

export class Evidence {
  /** Targets on this node's VM. */
  readonly local = new Map<Ids.TargetId, TargetEvidence>()
  /** Targets on other VMs, as observed by this node as an entry. Their `score` is 0, because only their host tests their health. */
  readonly remote = new Map<Ids.TargetId, TargetEvidence>()
  /** Outcomes of attempts that this node made as an entry, from which it computes the baselines it sends. */
  readonly statisticsByService = new Map<Ids.Service, ServiceStatistics.ServiceStatistics>()

  get (target: Ids.TargetId): TargetEvidence | undefined {
    return this.local.get(target) ?? this.remote.get(target)
  }
}
