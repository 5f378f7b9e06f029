/** Estimates of an entry about the targets that it uses: attempts in flight, latency, queueing and response size. */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

/** Weight of a new latency sample: about the last ten responses count. */
const LATENCY_SAMPLE_WEIGHT = 0.2
/** A failure raises the latency estimate by this factor, so that a target with fast failures does not look fast. */
const FAILURE_FACTOR = 2
const LATENCY_MINIMUM = Clock.milliseconds(0.1)
const LATENCY_MAXIMUM = Clock.seconds(10)
/** Time after which a latency estimate has lost two thirds of its weight, so that a recovered target gets work again. */
const LATENCY_DECAY_TIME = Clock.seconds(20)
/** Time after which an observed wait has lost two thirds of its weight. Queues change faster than service times. */
const WAIT_DECAY_TIME = Clock.seconds(3)
/** Fraction by which the smallest observed overhead rises with each response, so that it adapts to a slower network path. */
const OVERHEAD_RISE_RATIO = 0.001
/** Time after the last attempt for which the estimate of a target is kept. */
const IDLE_RETENTION = Clock.minutes(5)
const BYTES_SAMPLE_WEIGHT = 0.1
/** Response size that is assumed before the first response of a service. */
const RESPONSE_BYTES_DEFAULT = 8_192
/** Assumed size of a request: request line, headers and a small body. */
const REQUEST_BYTES = 1_024

interface TargetEstimate {
  inFlight: number
  /** In ms; undefined before the first response. */
  latency: number | undefined
  latencyAt: Clock.Milliseconds
  usedAt: Clock.Milliseconds
  /** Smallest observed difference of latency and service time, in ms: the network time without queueing. */
  overhead: number
  /** Mean wait in the host's queue as a multiple of the service time. */
  wait: number
  overloadedUntil: Clock.Milliseconds
}

export class Estimates {
  private readonly byTarget = new Map<Ids.TargetId, TargetEstimate>()
  private readonly bytesByService = new Map<Ids.Service, number>()

  recordStart (target: Ids.TargetId, now: Clock.Milliseconds): void {
    const estimate = this.estimateFor(target, now)
    estimate.inFlight += 1
    estimate.usedAt = now
  }

  recordEnd (target: Ids.TargetId): void {
    const estimate = this.byTarget.get(target)
    if (estimate !== undefined) estimate.inFlight = Math.max(0, estimate.inFlight - 1)
  }

  recordResponse (target: Ids.TargetId, latency: Clock.Milliseconds, now: Clock.Milliseconds): void {
    const estimate = this.estimateFor(target, now)
    const sample = Math.min(Math.max(latency, 0), LATENCY_MAXIMUM)
    estimate.latency = estimate.latency === undefined ? sample : estimate.latency + LATENCY_SAMPLE_WEIGHT * (sample - estimate.latency)
    estimate.latencyAt = now
  }

  /** Updates the wait in the host's queue: what is left of the latency without service time and network time. */
  recordQueueWait (target: Ids.TargetId, latency: Clock.Milliseconds, serviceTime: Clock.Milliseconds): void {
    const estimate = this.byTarget.get(target)
    if (estimate === undefined || serviceTime <= 0) return
    const overhead = Math.max(0, latency - serviceTime)
    estimate.overhead = Math.min(estimate.overhead * (1 + OVERHEAD_RISE_RATIO), overhead)
    estimate.wait += LATENCY_SAMPLE_WEIGHT * ((overhead - estimate.overhead) / serviceTime - estimate.wait)
  }

  /**
   * Load of a target as a fraction of its capacity, estimated from the wait in its queue. With n slots, the mean wait is
   * about load / (1 - load) / n service times, so it is noticeable before the target is overloaded.
   */
  load (target: Ids.TargetId, slots: number, now: Clock.Milliseconds): number {
    const estimate = this.byTarget.get(target)
    if (estimate === undefined) return 0
    const wait = slots * estimate.wait * Math.exp(-Math.max(0, now - estimate.latencyAt) / WAIT_DECAY_TIME)
    return wait / (1 + wait)
  }

  recordFailure (target: Ids.TargetId, elapsed: Clock.Milliseconds, now: Clock.Milliseconds): void {
    const estimate = this.estimateFor(target, now)
    const raised = FAILURE_FACTOR * Math.max(estimate.latency ?? 0, elapsed, 1)
    estimate.latency = Math.min(raised, LATENCY_MAXIMUM)
    estimate.latencyAt = now
  }

  /** Records that the host refused work for the target as overloaded. */
  recordOverload (target: Ids.TargetId, until: Clock.Milliseconds, now: Clock.Milliseconds): void {
    this.estimateFor(target, now).overloadedUntil = until
  }

  isOverloaded (target: Ids.TargetId, now: Clock.Milliseconds): boolean {
    return (this.byTarget.get(target)?.overloadedUntil ?? 0) > now
  }

  inFlight (target: Ids.TargetId): number {
    return this.byTarget.get(target)?.inFlight ?? 0
  }

  /** Latency in ms. With age, the estimate approaches `referenceLatency`. Undefined without estimate and reference. */
  latency (target: Ids.TargetId, now: Clock.Milliseconds, referenceLatency?: number): number | undefined {
    const estimate = this.byTarget.get(target)
    if (estimate?.latency === undefined) return referenceLatency
    if (referenceLatency === undefined) return estimate.latency
    const weight = Math.exp(-Math.max(0, now - estimate.latencyAt) / LATENCY_DECAY_TIME)
    // Interpolates the logarithms, because failures raise the estimate by orders of magnitude.
    return Math.exp(weight * Math.log(Math.max(estimate.latency, LATENCY_MINIMUM)) + (1 - weight) * Math.log(Math.max(referenceLatency, LATENCY_MINIMUM)))
  }

  recordResponseBytes (service: Ids.Service, bytes: number): void {
    const known = this.bytesByService.get(service)
    this.bytesByService.set(service, known === undefined ? bytes : known + BYTES_SAMPLE_WEIGHT * (bytes - known))
  }

  /** Expected size of one request and its response, in bytes. */
  exchangeBytes (service: Ids.Service): number {
    return REQUEST_BYTES + (this.bytesByService.get(service) ?? RESPONSE_BYTES_DEFAULT)
  }

  prune (now: Clock.Milliseconds): void {
    for (const [target, estimate] of this.byTarget) {
      if (estimate.inFlight === 0 && now - estimate.usedAt > IDLE_RETENTION) this.byTarget.delete(target)
    }
  }

  private estimateFor (target: Ids.TargetId, now: Clock.Milliseconds): TargetEstimate {
    const known = this.byTarget.get(target)
    if (known !== undefined) return known
    const fresh = { inFlight: 0, latency: undefined, latencyAt: now, usedAt: now, overhead: Infinity, wait: 0, overloadedUntil: Clock.milliseconds(0) }
    this.byTarget.set(target, fresh)
    return fresh
  }
}
