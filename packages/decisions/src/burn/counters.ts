/** Section `burn`: service-level counters. Written by Burn. */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import * as Frequents from './frequent.js'
import type * as Judgements from './judgement.js'
import * as Rings from './ring.js'

/** The spans of the report, from the shortest to the longest. */
export const WINDOWS = [
  { name: '5 min', buckets: 30, bucketSpan: Clock.seconds(10) },
  { name: '1 h', buckets: 60, bucketSpan: Clock.minutes(1) },
  { name: '6 h', buckets: 60, bucketSpan: Clock.minutes(6) },
  { name: '3 days', buckets: 72, bucketSpan: Clock.hours(1) }
] as const

export type WindowName = (typeof WINDOWS)[number]['name']

/** About 5.5 KB of rings each, so at most 11 MB; the service unused for longest makes room. */
const SERVICES_MAXIMUM = 2_000

export class ServiceCounters {
  readonly rings = WINDOWS.map(({ name, buckets, bucketSpan }) => ({ name, ring: new Rings.Ring(buckets, bucketSpan) }))
  readonly targets = new Frequents.Frequent<Ids.TargetId>()
  readonly causes = new Frequents.Frequent<Judgements.Cause>()
  latencyObjective = Clock.milliseconds(0)
  availabilityObjective = 0
}

export class Counters {
  /** In order of last use. */
  readonly byService = new Map<Ids.Service, ServiceCounters>()

  /** The counters of a service, which becomes the most recently used one. */
  use (service: Ids.Service): ServiceCounters {
    const counters = this.byService.get(service) ?? new ServiceCounters()
    this.byService.delete(service)
    this.byService.set(service, counters)
    const [oldest] = this.byService.keys()
    if (this.byService.size > SERVICES_MAXIMUM && oldest !== undefined) this.byService.delete(oldest)
    return counters
  }
}
