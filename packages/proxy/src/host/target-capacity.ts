/** What the local target can take: its slots, its rate limit, and the queue of requests that wait for both. */
import type * as Decisions from '@jasminedale/decisions'
import type * as HostedRequests from './hosted-request.js'
import type * as Routes from '../routes/route.js'
import * as FairQueues from './fair-queue.js'
import * as PriorityQueues from './priority-queue.js'
import * as RateLimits from './rate-limit.js'
import * as ServiceTimes from './service-time.js'
import * as Slots from './slots.js'

/** Why a request got no slot. */
export type CapacityRefusal = Extract<HostedRequests.RefusalReason, 'target-busy' | 'target-limited' | 'too-late'>

export class TargetCapacity {
  readonly serviceTime = new ServiceTimes.ServiceTime()
  private readonly rateLimit = new RateLimits.RateLimit()
  private readonly slots = new Slots.Slots(this.rateLimit)
  /** Starts queued requests that wait for the rate limit. */
  private startTimer: NodeJS.Timeout | undefined

  private isFair = false

  /** @param features Switches of the configuration in force; undefined before the first. */
  constructor (private readonly clock: Decisions.Clock.Clock, private readonly features: () => Routes.CapacityFeatures | undefined = () => undefined) {}

  /** Number of requests that hold a slot. */
  get running (): number {
    return this.slots.busy
  }

  /** Number of requests that wait for a slot. */
  get queued (): number {
    return this.slots.queued
  }

  get slotCount (): number {
    return this.slots.capacity
  }

  /** Requests per second that the target takes, as it stated; undefined without a limit. */
  get rate (): number | undefined {
    return this.rateLimit.rate
  }

  /** Milliseconds until the rate limit allows another request. */
  get timeUntilAllowed (): number {
    return this.rateLimit.timeUntilToken(this.clock.now())
  }

  /** Sets the slots of another process of the target, which has stated no limit yet. */
  reset (slots: number): void {
    this.slots.resize(slots)
    this.setRate(undefined)
  }

  /** Sets the limit that the target stated in its last response. */
  setRate (rate: number | undefined): void {
    this.rateLimit.setRate(rate, this.clock.now())
    this.startQueued()
  }

  /** Takes a free slot, or waits in the queue for one. Each slot must be given back with `release`. */
  async acquire (request: HostedRequests.HostedRequest): Promise<'started' | CapacityRefusal> {
    const now = this.clock.now()
    this.applyFeatures(now)
    if (this.slots.mayStart(now)) {
      this.slots.acquire(now)
      this.slots.recordStart(request, this.serviceTime.mean, now)
      return 'started'
    }
    // Other targets may take the request at once, so it does not wait for the limit of this one.
    if (this.timeUntilAllowed > 0) return 'target-limited'
    if (!request.mayQueue) return 'target-busy'
    if (!this.slots.mayQueue(request, this.serviceTime.mean, now)) return 'too-late'
    return await this.enqueue(request)
  }

  /** @param wasSent Whether the target got the request, which counts against its limit. */
  release (wasSent: boolean): void {
    if (!wasSent) this.rateLimit.giveBack()
    this.slots.release(this.serviceTime.mean, this.clock.now())
    this.scheduleStart()
  }

  private async enqueue (request: HostedRequests.HostedRequest): Promise<'started' | CapacityRefusal> {
    return await new Promise(resolve => {
      const queuedRequest = {
        priority: request.priority,
        deadline: request.deadline,
        objectiveDeadline: request.objectiveDeadline,
        route: request.route,
        account: request.account,
        isCall: request.isCall,
        start: () => { resolve('started') },
        expire: () => { resolve('too-late') }
      }
      this.slots.enqueue(queuedRequest, this.serviceTime.mean, this.clock.now())
      this.scheduleStart()
      request.onQueued()
      request.onWithdrawn(() => { if (this.slots.remove(queuedRequest)) resolve('too-late') })
    })
  }

  /** Puts the order of the queue into force that the configuration asks for. */
  private applyFeatures (now: Decisions.Clock.Milliseconds): void {
    const isFair = this.features()?.sharesFairly === true
    if (isFair === this.isFair) return
    this.isFair = isFair
    this.slots.useQueue(isFair ? new FairQueues.FairQueue() : new PriorityQueues.PriorityQueue(), this.serviceTime.mean, now)
  }

  private startQueued (): void {
    this.slots.startQueued(this.serviceTime.mean, this.clock.now())
    this.scheduleStart()
  }

  /** Lets the next queued request start when the rate limit allows it. */
  private scheduleStart (): void {
    clearTimeout(this.startTimer)
    const delay = this.slots.timeUntilStart(this.clock.now())
    if (delay !== undefined) this.startTimer = setTimeout(() => { this.startQueued() }, Math.ceil(delay))
  }
}
