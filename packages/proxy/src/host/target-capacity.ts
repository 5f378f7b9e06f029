/** What the local target can take: its slots, its rate limit, and the queue of requests that wait for both. */
import type * as Decisions from '@jasminedale/decisions'
import type * as HostReports from './host-report.js'
import type * as HostedRequests from './hosted-request.js'
import type * as Routes from '../routes/route.js'
import * as FairQueues from './fair-queue.js'
import * as PriorityQueues from './priority-queue.js'
import type * as RequestQueues from './request-queue.js'
import * as RateLimits from './rate-limit.js'
import * as ServiceTimes from './service-time.js'
import * as Slots from './slots.js'
import * as TargetCosts from './target-costs.js'

/** Why a request got no slot. */
export type CapacityRefusal = Extract<HostedRequests.RefusalReason, 'target-busy' | 'target-limited' | 'too-late'>

/** Bounds the time that a refused request is told to wait, since the load changes within seconds. */
const RETRY_AFTER_MAXIMUM_MS = 2_000

export class TargetCapacity {
  readonly serviceTime = new ServiceTimes.ServiceTime()
  private readonly rateLimit = new RateLimits.RateLimit()
  private readonly slots = new Slots.Slots(this.rateLimit)
  /** Starts queued requests that wait for the rate limit. */
  private startTimer: NodeJS.Timeout | undefined

  private isFair = false
  /** Undefined while the configuration does not place requests by cost. */
  private learnedCosts: TargetCosts.TargetCosts | undefined

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

  /** Expected costs of the requests; undefined while requests are placed by their number. */
  get costs (): TargetCosts.TargetCosts | undefined {
    return this.learnedCosts
  }

  /** Speed and work left as reported to other nodes. */
  get work (): HostReports.WorkReport | undefined {
    return this.learnedCosts?.report(this.slots.queuedWork, this.clock.now())
  }

  /** Milliseconds after which a request that came too late may be in time: by then the queue is that much shorter. */
  retryAfter (request: HostedRequests.HostedRequest): number {
    if (this.learnedCosts === undefined) return 0
    const now = this.clock.now()
    return Math.max(0, Math.min(RETRY_AFTER_MAXIMUM_MS, this.slots.excess(this.applicantOf(request, now), this.serviceTime.mean, now)))
  }

  /** Sets the slots of another process of the target, which has stated no limit yet. */
  reset (slots: number): void {
    this.slots.resize(slots)
    this.learnedCosts?.reset()
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
      this.slots.recordStart(this.applicantOf(request, now), this.serviceTime.mean, now)
      return 'started'
    }
    // Other targets may take the request at once, so it does not wait for the limit of this one.
    if (this.timeUntilAllowed > 0) return 'target-limited'
    if (!request.mayQueue) return 'target-busy'
    const applicant = this.applicantOf(request, now)
    if (!this.slots.mayQueue(applicant, this.serviceTime.mean, now)) return 'too-late'
    return await this.enqueue(request, applicant)
  }

  /** @param wasSent Whether the target got the request, which counts against its limit. */
  release (wasSent: boolean): void {
    if (!wasSent) this.rateLimit.giveBack()
    this.slots.release(this.serviceTime.mean, this.clock.now())
    this.scheduleStart()
  }

  /** Learns from a request that was answered. */
  recordServiceTime (request: HostedRequests.HostedRequest, elapsed: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    this.serviceTime.add(elapsed)
    this.learnedCosts?.learn(request, elapsed, now)
  }

  /** Learns from a request that did not complete. */
  recordLowerBound (request: HostedRequests.HostedRequest, elapsed: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    this.serviceTime.addLowerBound(elapsed)
    this.learnedCosts?.learnLowerBound(request, elapsed, now)
  }

  private applicantOf (request: HostedRequests.HostedRequest, now: Decisions.Clock.Milliseconds): RequestQueues.Applicant {
    const { priority, deadline, objectiveDeadline, route, account, isCall } = request
    return { priority, deadline, objectiveDeadline, route, account, isCall, cost: this.learnedCosts?.expected(request, now) }
  }

  private async enqueue (request: HostedRequests.HostedRequest, applicant: RequestQueues.Applicant): Promise<'started' | CapacityRefusal> {
    return await new Promise(resolve => {
      const queuedRequest = {
        ...applicant,
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
    const features = this.features()
    if ((features?.placesByCost === true) !== (this.learnedCosts !== undefined)) {
      this.learnedCosts = features?.placesByCost === true ? new TargetCosts.TargetCosts() : undefined
      this.slots.useRunningWork(this.learnedCosts?.running)
    }
    const isFair = features?.sharesFairly === true
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
