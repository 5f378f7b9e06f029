/** What this node as an entry knows of each target it uses: attempts in flight, latency, response size. */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

/** Weight of a new latency sample; about the last ten responses count. */
const LATENCY_GAIN = 0.2
/** A failure doubles the estimate, so that a target that fails fast does not look fast. */
const FAILURE_FACTOR = 2
const LATENCY_MINIMUM = Clock.milliseconds(0.1)
const LATENCY_MAXIMUM = Clock.seconds(10)
/** Time after which an old estimate has lost two thirds of its weight, so that a recovered target is tried again. */
const LATENCY_MEMORY = Clock.seconds(20)
/** Time after which an observed wait has lost two thirds of its weight; queues change faster than service times. */
const WAIT_MEMORY = Clock.seconds(3)
/** Share by which the smallest overhead seen rises with each response, so that it follows a longer network path. */
const OVERHEAD_RISE = 0.001
const IDLE_LIMIT = Clock.minutes(5)
const BYTES_GAIN = 0.1
/** Assumed response size in bytes before the first response of a service. */
const BYTES_DEFAULT = 8_192
/** Request line, headers and a small body in bytes. */
const REQUEST_BYTES = 1_024

interface TargetEstimate {
  inFlight: number
  /** Milliseconds; undefined before the first response. */
  latency: number | undefined
  latencyAt: Clock.Milliseconds
  usedAt: Clock.Milliseconds
  /** Smallest time beside the service time, in ms: the network and no queue. */
  overhead: number
  /** Mean wait in the host's queue as a multiple of the service time. */
  wait: number
  busyUntil: Clock.Milliseconds
}

export class Estimates {
  private readonly byTarget = new Map<Ids.TargetId, TargetEstimate>()
  private readonly bytesByService = new Map<Ids.Service, number>()

  recordStart (target: Ids.TargetId, now: Clock.Milliseconds): void {
    const estimate = this.entry(target, now)
    estimate.inFlight += 1
    estimate.usedAt = now
  }

  recordEnd (target: Ids.TargetId): void {
    const estimate = this.byTarget.get(target)
    if (estimate !== undefined) estimate.inFlight = Math.max(0, estimate.inFlight - 1)
  }

  recordResponse (target: Ids.TargetId, latency: Clock.Milliseconds, now: Clock.Milliseconds): void {
    const estimate = this.entry(target, now)
    const sample = Math.min(Math.max(latency, 0), LATENCY_MAXIMUM)
    estimate.latency = estimate.latency === undefined ? sample : estimate.latency + LATENCY_GAIN * (sample - estimate.latency)
    estimate.latencyAt = now
  }

  /** Learns the wait at the host from a response: what is left of the latency after service time and network. */
  waited (target: Ids.TargetId, latency: Clock.Milliseconds, serviceTime: Clock.Milliseconds): void {
    const estimate = this.byTarget.get(target)
    if (estimate === undefined || serviceTime <= 0) return
    const overhead = Math.max(0, latency - serviceTime)
    estimate.overhead = Math.min(estimate.overhead * (1 + OVERHEAD_RISE), overhead)
    estimate.wait += LATENCY_GAIN * ((overhead - estimate.overhead) / serviceTime - estimate.wait)
  }

  /**
   * Load of a target as a fraction of its capacity, from the wait in its queue. With n slots, work waits
   * for about load / (1 - load) / n service times, so waiting shows before the target is overloaded.
   */
  load (target: Ids.TargetId, slots: number, now: Clock.Milliseconds): number {
    const estimate = this.byTarget.get(target)
    if (estimate === undefined) return 0
    const wait = slots * estimate.wait * Math.exp(-Math.max(0, now - estimate.latencyAt) / WAIT_MEMORY)
    return wait / (1 + wait)
  }

  failed (target: Ids.TargetId, elapsed: Clock.Milliseconds, now: Clock.Milliseconds): void {
    const estimate = this.entry(target, now)
    const raised = FAILURE_FACTOR * Math.max(estimate.latency ?? 0, elapsed, 1)
    estimate.latency = Math.min(raised, LATENCY_MAXIMUM)
    estimate.latencyAt = now
  }

  /** The host refused work as overloaded. */
  busy (target: Ids.TargetId, until: Clock.Milliseconds, now: Clock.Milliseconds): void {
    this.entry(target, now).busyUntil = until
  }

  isBusy (target: Ids.TargetId, now: Clock.Milliseconds): boolean {
    return (this.byTarget.get(target)?.busyUntil ?? 0) > now
  }

  inFlight (target: Ids.TargetId): number {
    return this.byTarget.get(target)?.inFlight ?? 0
  }

  /** Latency in ms, drawn towards `reference` with age; undefined when nothing is known. */
  latency (target: Ids.TargetId, now: Clock.Milliseconds, reference?: number): number | undefined {
    const estimate = this.byTarget.get(target)
    if (estimate?.latency === undefined) return reference
    if (reference === undefined) return estimate.latency
    const weight = Math.exp(-Math.max(0, now - estimate.latencyAt) / LATENCY_MEMORY)
    // In the logarithm, because failures raise the estimate by orders of magnitude.
    return Math.exp(weight * Math.log(Math.max(estimate.latency, LATENCY_MINIMUM)) + (1 - weight) * Math.log(Math.max(reference, LATENCY_MINIMUM)))
  }

  sized (service: Ids.Service, bytes: number): void {
    const known = this.bytesByService.get(service)
    this.bytesByService.set(service, known === undefined ? bytes : known + BYTES_GAIN * (bytes - known))
  }

  /** Expected bytes of one request and its response. */
  bytes (service: Ids.Service): number {
    return REQUEST_BYTES + (this.bytesByService.get(service) ?? BYTES_DEFAULT)
  }

  prune (now: Clock.Milliseconds): void {
    for (const [target, estimate] of this.byTarget) {
      if (estimate.inFlight === 0 && now - estimate.usedAt > IDLE_LIMIT) this.byTarget.delete(target)
    }
  }

  private entry (target: Ids.TargetId, now: Clock.Milliseconds): TargetEstimate {
    const known = this.byTarget.get(target)
    if (known !== undefined) return known
    const fresh = { inFlight: 0, latency: undefined, latencyAt: now, usedAt: now, overhead: Infinity, wait: 0, busyUntil: Clock.milliseconds(0) }
    this.byTarget.set(target, fresh)
    return fresh
  }
}
