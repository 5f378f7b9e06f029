/**
 * Queue that shares a target. Order: calls of running requests before direct ones, urgent before less urgent, the route
 * and then the account with the least recent work, short before long. Those passed over keep a minimum share of the starts.
 *
 * Load pattern: a service of 6 targets with 8 slots asked for 1.2 to 1.7 times its room by calls (0.2 s) and downloads
 * (0.65 s), and one of 79 accounts at five times its usual rate.
 */
import * as MinimumShares from './minimum-share.js'
import * as RecentWorks from './recent-work.js'
import * as RequestQueues from './request-queue.js'
import * as QueueLanes from './queue-lane.js'
import * as StartMixes from './start-mix.js'

/**
 * One start in this many goes to direct requests while calls wait too. Direct requests cost about three times as much as
 * calls, so this is a quarter of the work; one start in five would be 44 % of it, while running requests fail for want of calls.
 */
const DIRECT_INTERVAL = 10
/** One start in this many goes to less urgent requests while more urgent ones wait too. */
const LESS_URGENT_INTERVAL = 10
const SHARES: QueueLanes.Shares = { direct: DIRECT_INTERVAL, lessUrgent: LESS_URGENT_INTERVAL }
/**
 * Factor of the expected wait by which a request is admitted. With 1, 6 to 13 in 100 calls of the narrow service were
 * removed from the queue again, because more direct requests had come than expected; with 1.15, 1 in 100.
 */
const ADMISSION_MARGIN = 1.15
/** Stands for requests that have no route, as those of nodes of earlier versions. */
const NO_ROUTE = ''

export class FairQueue extends RequestQueues.RequestQueue {
  private lanes: QueueLanes.Lane[] = []
  private count = 0
  private readonly routes = { calls: new RecentWorks.RecentWork(), direct: new RecentWorks.RecentWork() }
  private readonly accounts = new RecentWorks.RecentWork()
  private readonly directShare = new MinimumShares.MinimumShare(DIRECT_INTERVAL)
  private readonly lessUrgentShare = { calls: new MinimumShares.MinimumShare(LESS_URGENT_INTERVAL), direct: new MinimumShares.MinimumShare(LESS_URGENT_INTERVAL) }
  private readonly mix = new StartMixes.StartMix()

  get length (): number {
    return this.count
  }

  get work (): number {
    return this.lanes.reduce((sum, lane) => sum + lane.work, 0)
  }

  add (request: RequestQueues.QueuedRequest, pace: RequestQueues.Pace): readonly RequestQueues.QueuedRequest[] {
    const waiting = this.waitingOf(request, pace)
    const lane = this.laneOf(request, pace)
    if (lane.entries.length === 0) this.lanes.push(lane)
    QueueLanes.insert(lane, waiting)
    if (waiting.account !== undefined) waiting.account.pending += waiting.cost
    this.count += 1
    return this.evict(waiting, pace)
  }

  remove (request: RequestQueues.QueuedRequest): boolean {
    for (const lane of this.lanes) {
      const index = lane.entries.findIndex(other => other.request === request)
      if (index >= 0) return this.removeAt(lane, index) !== undefined
    }
    return false
  }

  takeNext (pace: RequestQueues.Pace): RequestQueues.QueuedRequest | undefined {
    const isCall = this.nextIsCall()
    const priority = this.nextPriority(isCall)
    const flows = this.routesOf(isCall)
    let next: QueueLanes.Lane | undefined
    for (const lane of this.lanes) {
      if (lane.isCall === isCall && lane.priority === priority && (next === undefined || flows.rank(lane.flow) < flows.rank(next.flow))) next = lane
    }
    if (next === undefined) return undefined
    this.raiseFloors(isCall)
    const taken = this.removeAt(next, 0)
    if (taken === undefined) return undefined
    this.mix.record(isCall, taken.cost)
    flows.charge(next.flow, taken.cost, pace.now)
    if (taken.account !== undefined) this.accounts.charge(taken.account, taken.cost, pace.now)
    return taken.request
  }

  takeHopeless (pace: RequestQueues.Pace): readonly RequestQueues.QueuedRequest[] {
    const hopeless: RequestQueues.QueuedRequest[] = []
    for (const lane of [...this.lanes]) {
      for (let first = lane.entries[0]; first !== undefined && pace.now + first.cost > first.request.deadline; first = lane.entries[0]) {
        this.removeAt(lane, 0)
        hopeless.push(first.request)
      }
    }
    return hopeless
  }

  excess (applicant: RequestQueues.Applicant, pace: RequestQueues.Pace): number {
    const waiting = this.waitingOf(applicant, pace)
    const lane = this.laneOf(applicant, pace)
    const position = QueueLanes.positionOf(lane, waiting)
    return this.excessBehind(lane, applicant, { work: QueueLanes.workBefore(lane, position), count: position }, waiting.cost, pace, ADMISSION_MARGIN)
  }

  recordStart (applicant: RequestQueues.Applicant, pace: RequestQueues.Pace): void {
    const cost = RequestQueues.costOf(applicant, pace)
    const flows = this.routesOf(applicant.isCall === true)
    flows.charge(flows.of(applicant.route ?? NO_ROUTE, pace.now), cost, pace.now)
    if (applicant.account !== undefined) this.accounts.charge(this.accounts.of(applicant.account, pace.now), cost, pace.now)
  }

  takeAll (): readonly RequestQueues.QueuedRequest[] {
    const all = this.lanes.flatMap(lane => lane.entries.map(({ request }) => request))
    for (const request of all) this.remove(request)
    return all
  }

  private routesOf (isCall: boolean): RecentWorks.RecentWork {
    return isCall ? this.routes.calls : this.routes.direct
  }

  /** The lane in which the request waits; not in the list of lanes while it is empty. */
  private laneOf ({ isCall = false, priority, route = NO_ROUTE }: RequestQueues.Applicant, { now }: RequestQueues.Pace): QueueLanes.Lane {
    const flow = this.routesOf(isCall).of(route, now)
    return this.lanes.find(lane => lane.flow === flow && lane.priority === priority) ?? { isCall, priority, flow, entries: [], work: 0 }
  }

  private waitingOf <Kind extends RequestQueues.Applicant> (request: Kind, pace: RequestQueues.Pace): QueueLanes.Waiting<Kind> {
    const cost = RequestQueues.costOf(request, pace)
    const account = request.account === undefined ? undefined : this.accounts.of(request.account, pace.now)
    const rank = account === undefined ? 0 : this.accounts.rank(account) + account.pending * this.accounts.weight(pace.now)
    // Each millisecond of waiting makes up for a millisecond of service time.
    return { request, cost, account, rank, order: pace.now + cost }
  }

  private removeAt (lane: QueueLanes.Lane, index: number): QueueLanes.Waiting | undefined {
    const removed = QueueLanes.removeAt(lane, index)
    if (removed === undefined) return undefined
    this.count -= 1
    if (removed.account !== undefined) removed.account.pending = Math.max(0, removed.account.pending - removed.cost)
    if (lane.entries.length === 0) this.lanes = this.lanes.filter(other => other !== lane)
    return removed
  }

  private nextIsCall (): boolean {
    const hasCalls = this.lanes.some(lane => lane.isCall)
    const hasDirect = this.lanes.some(lane => !lane.isCall)
    if (!hasDirect) return true
    return hasCalls && !this.directShare.isDue()
  }

  private nextPriority (isCall: boolean): number {
    let most = Infinity
    let oldest: QueueLanes.Lane | undefined
    for (const lane of this.lanes) if (lane.isCall === isCall) most = Math.min(most, lane.priority)
    for (const lane of this.lanes) {
      if (lane.isCall === isCall && lane.priority > most && (oldest === undefined || QueueLanes.firstOrder(lane) < QueueLanes.firstOrder(oldest))) oldest = lane
    }
    const share = isCall ? this.lessUrgentShare.calls : this.lessUrgentShare.direct
    return oldest !== undefined && share.isDue() ? oldest.priority : most
  }

  private raiseFloors (isCall: boolean): void {
    const flows = this.routesOf(isCall)
    let [routeRank, accountRank] = [Infinity, Infinity]
    for (const lane of this.lanes) {
      if (lane.isCall === isCall) routeRank = Math.min(routeRank, flows.rank(lane.flow))
      const first = lane.entries[0]?.account
      if (first !== undefined) accountRank = Math.min(accountRank, this.accounts.rank(first))
    }
    flows.raiseFloor(routeRank)
    this.accounts.raiseFloor(accountRank)
  }

  /** Removes those that are no longer expected to finish in time. The last of a lane are those whose account uses most. */
  private evict (added: QueueLanes.Waiting, pace: RequestQueues.Pace): RequestQueues.QueuedRequest[] {
    const evicted: RequestQueues.QueuedRequest[] = []
    for (const lane of [...this.lanes]) {
      for (let last = lane.entries.at(-1); last !== undefined && last !== added; last = lane.entries.at(-1)) {
        const ahead = { work: lane.work - last.cost, count: lane.entries.length - 1 }
        if (this.excessBehind(lane, last.request, ahead, last.cost, pace) <= 0) break
        this.removeAt(lane, lane.entries.length - 1)
        evicted.push(last.request)
      }
    }
    return evicted
  }

  /** Milliseconds by which a request with `ahead` of its own lane before it would finish too late. */
  private excessBehind (lane: QueueLanes.Lane, request: RequestQueues.Applicant, ahead: QueueLanes.Amount, cost: number, pace: RequestQueues.Pace, margin = 1): number {
    const flows = this.routesOf(lane.isCall)
    const total = QueueLanes.amountAhead(lane, ahead, this.lanes, other => (flows.rank(lane.flow) - flows.rank(other.flow)) / flows.weight(pace.now), SHARES, this.mix)
    // A call that is late fails work that has begun, so it waits until its deadline.
    const latestEnd = lane.isCall ? request.deadline : RequestQueues.latestEnd(request, total.count, pace)
    return pace.now + RequestQueues.waitBehind(total.work, total.count, pace) * margin + cost - latestEnd
  }
}
