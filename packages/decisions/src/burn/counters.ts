/** Blackboard section `burn`: counters of good and bad requests for each service. Written by Burn. */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import * as HeavyHitters from './heavy-hitters.js'
import type * as Classifications from './classification.js'
import * as RollingTallies from './rolling-tally.js'

/** Windows of the report, from the shortest to the longest. */
export const WINDOWS = [
  { name: '5 min', buckets: 30, bucketSpan: Clock.seconds(10) },
  { name: '1 h', buckets: 60, bucketSpan: Clock.minutes(1) },
  { name: '6 h', buckets: 60, bucketSpan: Clock.minutes(6) },
  { name: '3 days', buckets: 72, bucketSpan: Clock.hours(1) }
] as const

export type WindowName = (typeof WINDOWS)[number]['name']

/** Each service takes about 5.5 KB, so all take at most 11 MB. The least recently used service is evicted. */
const SERVICES_MAXIMUM = 2_000

export class ServiceCounters {
  readonly windows = WINDOWS.map(({ name, buckets, bucketSpan }) => ({ name, tally: new RollingTallies.RollingTally(buckets, bucketSpan) }))
  readonly targets = new HeavyHitters.HeavyHitters<Ids.TargetId>()
  readonly causes = new HeavyHitters.HeavyHitters<Classifications.Cause>()
  latencyObjective = Clock.milliseconds(0)
  availabilityObjective = 0
}

export class Counters {
  /** Least recently used first. */
  readonly byService = new Map<Ids.Service, ServiceCounters>()

  /** Returns the counters of a service and makes it the most recently used one. */
  countersFor (service: Ids.Service): ServiceCounters {
    const counters = this.byService.get(service) ?? new ServiceCounters()
    this.byService.delete(service)
    this.byService.set(service, counters)
    const [oldest] = this.byService.keys()
    if (this.byService.size > SERVICES_MAXIMUM && oldest !== undefined) this.byService.delete(oldest)
    return counters
  }
}
