/**
 * Expected service times of requests at the local target, its speed against an average one, and the work that it has.
 *
 * Load pattern: requests of 0.2 s and 0.65 s, 3 in 100 of which take 7 times as long; targets 4 to 12 times slower.
 */
import type * as Decisions from '@jasminedale/decisions'
import * as CostTables from '../costs/cost-table.js'
import * as RunningWorks from '../costs/running-work.js'
import * as Slowness from '../costs/slowness.js'
import type * as HostReports from './host-report.js'
import type * as HostedRequests from './hosted-request.js'

const UNKNOWN_SIZE_CLASS = 0

export class TargetCosts {
  /** Costs in ms of an average target. */
  private readonly table = new CostTables.CostTable()
  private speed = new Slowness.Slowness()
  readonly running = new RunningWorks.RunningWork()

  /** Forgets the speed, which is that of another process of the target. */
  reset (): void {
    this.speed = new Slowness.Slowness()
  }

  /** Expected service time in ms at the local target. */
  expected (request: HostedRequests.HostedRequest, now: Decisions.Clock.Milliseconds): number {
    return this.table.expected(keyOf(request), now) * this.speed.ratio
  }

  /** Notes the start of a request; returns what `end` takes. */
  start (request: HostedRequests.HostedRequest, now: Decisions.Clock.Milliseconds): RunningWorks.Run {
    const run = { startedAt: now, cost: this.expected(request, now) }
    this.running.start(run)
    return run
  }

  /** Notes the end of a request, which frees its slot. */
  end (run: RunningWorks.Run): void {
    this.running.end(run)
  }

  /** Learns from a request that was answered after `elapsed` ms. */
  learn (request: HostedRequests.HostedRequest, elapsed: number, now: Decisions.Clock.Milliseconds): void {
    // Without an expectation of the entry, the own costs stand for those elsewhere.
    this.speed.add(elapsed, this.referenceCost(request, now))
    this.table.learn(keyOf(request), elapsed / this.speed.ratio, now)
  }

  /** Learns from a request that did not complete within `elapsed` ms. */
  learnLowerBound (request: HostedRequests.HostedRequest, elapsed: number, now: Decisions.Clock.Milliseconds): void {
    this.speed.addLowerBound(elapsed, this.referenceCost(request, now))
  }

  /** @param queuedWork Expected service time in ms of what waits. */
  report (queuedWork: number, now: Decisions.Clock.Milliseconds): HostReports.WorkReport {
    const slowness = this.speed.ratio
    return { slowness, left: (this.running.left(now) + queuedWork) / slowness, served: undefined }
  }

  private referenceCost (request: HostedRequests.HostedRequest, now: Decisions.Clock.Milliseconds): number {
    return request.expectation?.cost ?? this.table.expected(keyOf(request), now)
  }
}

function keyOf ({ route, account, expectation }: HostedRequests.HostedRequest): CostTables.CostKey {
  return { route, account, sizeClass: expectation?.sizeClass ?? UNKNOWN_SIZE_CLASS }
}
