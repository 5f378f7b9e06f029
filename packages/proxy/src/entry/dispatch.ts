/** Dispatch of one request: chooses targets, retries and hedges as the route and the retry budget allow, and ends with one answer. */
import * as Decisions from '@jasminedale/decisions'
import type * as ServiceCosts from '../costs/service-costs.js'
import type * as Directories from '../directory/directory.js'
import type * as Registrations from '../directory/registration.js'
import type * as HostedRequests from '../host/hosted-request.js'
import type * as Metrics from '../observation/metrics.js'
import type * as Quarantines from '../quarantine/quarantine.js'
import type * as Exchanges from '../transport/exchange.js'
import type * as Answers from './answer.js'
import * as HostViews from './host-views.js'
import type * as TargetSelectors from './target-selector.js'
import type * as Requests from './request.js'
import type * as RetryBudgets from './retry-budget.js'
import * as Senders from './sender.js'

export interface DispatchDependencies {
  readonly clock: Decisions.Clock.Clock
  readonly directory: Directories.Directory
  readonly views: HostViews.HostViews
  readonly targetSelector: TargetSelectors.TargetSelector
  readonly retryBudget: RetryBudgets.RetryBudget
  readonly sender: Pick<Senders.Sender, 'send'>
  readonly metrics: Metrics.Metrics
  readonly quarantine: Pick<Quarantines.Quarantine, 'recordBlock'>
  /** Costs of requests; undefined while requests are not placed by cost. */
  readonly costs?: () => ServiceCosts.ServiceCosts | undefined
}

/** An attempt as it appears in the log. */
interface AttemptRecord {
  readonly target: Decisions.Ids.TargetId
  readonly startedAt: Decisions.Clock.Milliseconds
  /** Status or reason, and the elapsed time in ms: `503@120`. */
  result: string
}

const SERVER_ERROR = 500
/** Refusals by the target itself. The request reached it, so each counts as a delivery, which the retry budget bounds. */
const REFUSED_BY_TARGET: ReadonlySet<HostedRequests.RefusalReason> = new Set<HostedRequests.RefusalReason>(['target-shed', 'target-changed'])
/** Refusals that the other hosts of the service would repeat. */
const FINAL_REFUSALS: ReadonlySet<HostedRequests.RefusalReason> = new Set<HostedRequests.RefusalReason>(['request-blocked', 'dependency-full'])
/** Share of the latency objective after which a hedged request is sent for a silent attempt; the rest is left for the hedged request to run. */
const HEDGE_DELAY_RATIO = 0.5
/** Hosts that may hold an unconfirmed attempt at the same time; only the first to confirm gets the request. */
const UNCONFIRMED_ATTEMPTS_MAXIMUM = 3
/** Refusals after which any host may queue the request; until then only a host whose target seems to be full may. */
const REFUSALS_BEFORE_QUEUE = 2
/** Refusals by tripped circuit breakers after which they are bypassed. A third of a service may fail at a time, so that six in a row are rare. */
const REFUSALS_BEFORE_BYPASS = 6
/** Refusals after which the request fails; about the number of targets of one of the users' services. */
const REFUSALS_MAXIMUM = 24
/** Hosts that may refuse because the request cannot finish in time; under a lasting overload all queues are about equally long. */
const LATE_REFUSALS_MAXIMUM = 2
/** The same for requests that wait until their deadline: each target of a small service once, and two of them again. */
const LATE_REFUSALS_MAXIMUM_OF_WAITING = 8
/** Refusals after which a request that waits until its deadline fails. */
const REFUSALS_MAXIMUM_OF_WAITING = 48
/** Pause of a request that waits until its deadline after all targets have refused it; a slot becomes free about as often. */
const WAITING_PAUSE_MS = 40
/** Share of the latency objective for which a request waits for an available target; a later response would miss the objective. */
const TARGET_WAIT_RATIO = 0.75
/** Interval at which the choice is repeated while no target is available. */
const SELECTION_INTERVAL_MAXIMUM_MS = 50
/** Time after the deadline that is left for the outcomes of attempts to arrive. */
const DEADLINE_MARGIN_MS = 10
/** Used when it is unknown when a target will be available. */
const RETRY_AFTER_DEFAULT_MS = 300

const UNFRAMED: Answers.Answer = { kind: 'unknown', reason: 'response-unframed' }

export class Dispatch {
  readonly answer: Promise<Answers.Answer>
  readonly attemptRecords: AttemptRecord[] = []
  private resolve: (answer: Answers.Answer) => void = () => { /* Set by the promise. */ }
  private readonly activeAttempts = new Map<Senders.Attempt, AttemptRecord>()
  /** Targets attempted since the last wait for an available one, and those on which the request ran or may have run. */
  private readonly excluded = new Set<Decisions.Ids.TargetId>()
  /** Targets on which an attempt ended after the request ran or may have run. */
  private readonly executionTargets = new Set<Decisions.Ids.TargetId>()
  private readonly timers = new Set<NodeJS.Timeout>()
  private isFinished = false
  private isExpired = false
  /** Attempts whose hosts have confirmed and received the request, so that it runs or may run there. */
  private readonly confirmed = new Set<Senders.Attempt>()
  /** Number of targets on which the request ran or may run. */
  private executions = 0
  /** Number of targets that the request reached, including those that refused it. */
  private deliveries = 0
  private refusals = 0
  private lateRefusals = 0
  private trippedRefusals = 0
  /** An attempt has bypassed a tripped circuit breaker, as overflow or as a last resort. */
  private hasBypassedBreaker = false
  /** The retry budget has been charged for a delivery that has not happened yet. */
  private hasRetryToken = false
  private lastError: Answers.Answer | undefined
  private lastRefusal: Answers.Answer | undefined

  constructor (private readonly request: Requests.EntryRequest, private readonly dependencies: DispatchDependencies) {
    this.answer = new Promise(resolve => { this.resolve = resolve })
    dependencies.retryBudget.recordRequest(request.service, dependencies.clock.now())
    this.schedule(request.deadline - dependencies.clock.now() + DEADLINE_MARGIN_MS, () => { this.expire() })
    this.startAttempt()
  }

  /** Withdraws all attempts, because the caller has disconnected. */
  abandon (): void {
    this.finish({ kind: 'abandoned' })
  }

  private startAttempt (): void {
    if (this.isFinished) return
    const { request, dependencies } = this
    const now = dependencies.clock.now()
    const candidates = dependencies.directory.readyTargets(request.service)
    const criteria = { isFailureFinal: !this.mayBeProbe(now), mayBypassBreaker: false, excluded: this.excluded, cost: this.cost(now) }
    const chosen = this.chooseOverflowTarget(candidates, now) ?? dependencies.targetSelector.choose(candidates, criteria, now) ?? this.chooseLastResort(candidates, now)
    if (chosen === undefined) {
      this.handleNoTarget(candidates, now)
      return
    }
    if (this.deliveries > 0 && !this.hasRetryToken && !dependencies.retryBudget.tryAcquire(request.service, dependencies.directory.readyCount, now)) {
      this.giveUp({ kind: 'not-run', reason: 'target-shed', retryAfter: RETRY_AFTER_DEFAULT_MS })
      return
    }
    this.hasRetryToken = this.deliveries > 0
    this.send(chosen, now)
  }

  /** After a refusal as too late, tries a target in this data center that has failed only once: most of its requests may succeed. */
  private chooseOverflowTarget (candidates: readonly Registrations.Registration[], now: Decisions.Clock.Milliseconds): Registrations.Registration | undefined {
    if (this.hasBypassedBreaker || this.lateRefusals === 0 || this.request.waitsUntilDeadline === true) return undefined
    const overflowTarget = this.dependencies.targetSelector.chooseOverflowTarget(candidates, this.executionTargets, now)
    this.hasBypassedBreaker = overflowTarget !== undefined
    return overflowTarget
  }

  /** With no other target left, bypasses a tripped circuit breaker: its last failure may have been due to the usual error rate. */
  private chooseLastResort (candidates: readonly Registrations.Registration[], now: Decisions.Clock.Milliseconds): Registrations.Registration | undefined {
    if (this.hasBypassedBreaker || this.mayWaitForHealthy(candidates, now) || (this.trippedRefusals === 0 && !this.dependencies.targetSelector.hasTrippedTarget(candidates, now))) return undefined
    this.hasBypassedBreaker = true
    return this.dependencies.targetSelector.choose(candidates, { isFailureFinal: false, mayBypassBreaker: true, excluded: this.executionTargets, cost: this.cost(now) }, now)
  }

  /** Expected cost of the request and the mean of its service; undefined while requests are not placed by cost. */
  private cost (now: Decisions.Clock.Milliseconds): TargetSelectors.SelectionCriteria['cost'] {
    const { request, dependencies: { costs } } = this
    const learned = costs?.()
    return learned === undefined ? undefined : { request: learned.expected(request.service, Senders.costKeyOf(request), now), mean: learned.mean(request.service), meanLeft: learned.meanLeft(request.service) }
  }

  /** Whether the request waits for one of the targets without a tripped circuit breaker. Most attempts at the others fail, and a late response is as good. */
  private mayWaitForHealthy (candidates: readonly Registrations.Registration[], now: Decisions.Clock.Milliseconds): boolean {
    return this.request.waitsUntilDeadline === true && candidates.some(({ target }) => !HostViews.isTripped(this.dependencies.views.of(target), now))
  }

  private send (registration: Registrations.Registration, now: Decisions.Clock.Milliseconds): void {
    const { request, dependencies } = this
    const view = dependencies.views.of(registration.target)
    const isFull = HostViews.outstandingRequests(view, now) >= registration.slots
    const attempt = dependencies.sender.send(request, registration, {
      confirm: () => this.confirm(attempt),
      mayBeProbe: this.mayBeProbe(now),
      mayQueue: isFull || this.refusals >= REFUSALS_BEFORE_QUEUE, mayBypassBreaker: this.hasBypassedBreaker || (this.trippedRefusals >= REFUSALS_BEFORE_BYPASS && this.request.waitsUntilDeadline !== true)
    })
    const record: AttemptRecord = { target: registration.target, startedAt: now, result: 'open' }
    this.attemptRecords.push(record)
    this.activeAttempts.set(attempt, record)
    this.excluded.add(registration.target)
    this.schedule(Senders.CONFIRMATION_HEDGE_DELAY, () => { this.hedgeConfirmation(attempt) })
    void attempt.outcome.then(outcome => { this.handleOutcome(attempt, outcome) })
  }

  /** Whether the request may run on one more target. */
  private mayExecute (): boolean {
    return this.executions === 0 || this.mayRetry()
  }

  private mayRetry (): boolean {
    return this.request.route.repeatable && this.executions < this.request.route.attempts
  }

  /** Whether the request could still be retried after a failure of the next attempt. */
  private mayBeProbe (now: Decisions.Clock.Milliseconds): boolean {
    const { request, dependencies } = this
    return request.route.repeatable && this.executions + 1 < request.route.attempts && dependencies.retryBudget.mayRetry(request.service, dependencies.directory.readyCount, now)
  }

  /** Called when a host holds a slot. Returns whether the host gets the request; the other unconfirmed attempts are withdrawn. */
  private confirm (attempt: Senders.Attempt): boolean {
    if (this.isFinished || this.isExpired || !this.activeAttempts.has(attempt) || !this.mayExecute()) return false
    if (this.deliveries > 0 && !this.hasRetryToken) return false
    this.hasRetryToken = false
    this.executions += 1
    this.deliveries += 1
    this.confirmed.add(attempt)
    for (const other of this.unconfirmed()) this.withdraw(other)
    if (this.mayRetry()) this.scheduleHedge(attempt)
    return true
  }

  private unconfirmed (): Senders.Attempt[] {
    return [...this.activeAttempts.keys()].filter(attempt => !this.confirmed.has(attempt))
  }

  /** Withdraws an attempt that was not confirmed and so has certainly not run. */
  private withdraw (attempt: Senders.Attempt): void {
    const record = this.activeAttempts.get(attempt)
    if (record !== undefined) record.result = this.describeOutcome({ kind: 'withdrawn' }, record)
    this.activeAttempts.delete(attempt)
    attempt.withdraw()
  }

  /** Offers the request to another host as well, if this one has neither confirmed nor queued it. */
  private hedgeConfirmation (attempt: Senders.Attempt): void {
    if (this.isFinished || this.isExpired || !this.activeAttempts.has(attempt) || this.confirmed.has(attempt) || attempt.isQueued()) return
    if (this.unconfirmed().length < UNCONFIRMED_ATTEMPTS_MAXIMUM) this.startAttempt()
  }

  /** Sends a hedged request if the attempt has not ended by then; the first response is used. */
  private scheduleHedge (attempt: Senders.Attempt): void {
    this.schedule(HEDGE_DELAY_RATIO * this.request.route.latencyObjective, () => {
      if (!this.isFinished && !this.isExpired && this.activeAttempts.has(attempt) && this.mayRetry()) this.startAttempt()
    })
  }

  private handleOutcome (attempt: Senders.Attempt, outcome: HostedRequests.Outcome): void {
    const record = this.activeAttempts.get(attempt)
    this.activeAttempts.delete(attempt)
    if (record === undefined || this.isFinished) return
    record.result = this.describeOutcome(outcome, record)
    this.dependencies.metrics.recordAttempt(this.request.service, outcome.kind === 'answered' ? String(outcome.response.status) : record.result)
    if (outcome.kind !== 'refused') this.executionTargets.add(attempt.target)
    switch (outcome.kind) {
      case 'answered': this.handleResponse(outcome.response); break
      case 'refused': this.handleRefusal(attempt, outcome.reason, outcome.retryAfter); break
      case 'failed': this.handleFailure({ kind: 'unknown', reason: outcome.reason }); break
      case 'withdrawn': this.handleFailure({ kind: 'unknown', reason: 'timed-out' }); break
    }
  }

  private describeOutcome (outcome: HostedRequests.Outcome, record: AttemptRecord): string {
    const elapsed = Math.round(this.dependencies.clock.now() - record.startedAt)
    const name = outcome.kind === 'answered' ? String(outcome.response.status) : outcome.kind === 'withdrawn' ? outcome.kind : outcome.reason
    return `${name}@${elapsed}`
  }

  private handleResponse (response: Exchanges.Response): void {
    if (response.status >= SERVER_ERROR) this.handleFailure({ kind: 'response', response })
    else if (this.isDeliverable(response)) this.finish({ kind: 'response', response })
    else this.handleFailure(UNFRAMED)
  }

  private isDeliverable (response: Exchanges.Response): boolean {
    return response.isFramed || this.request.tryEndConnection()
  }

  private handleFailure (answer: Answers.Answer): void {
    // An error response of a target tells the caller more than a lost connection, so it is kept.
    if (this.lastError?.kind !== 'response') this.lastError = answer
    if (this.mayRetry() && !this.isExpired) this.startAttempt()
    else this.giveUp(answer)
  }

  private handleRefusal (attempt: Senders.Attempt, reason: HostedRequests.RefusalReason, retryAfter: number): void {
    if (this.confirmed.delete(attempt)) this.revertExecution(reason)
    this.refusals += 1
    this.lastRefusal = { kind: 'not-run', reason, retryAfter }
    if (reason === 'target-closed') this.trippedRefusals += 1
    if (reason === 'too-late') this.lateRefusals += 1
    if (reason === 'request-blocked') this.dependencies.quarantine.recordBlock(this.request, retryAfter)
    const isFutile = this.isExpired || FINAL_REFUSALS.has(reason) || this.hasTooManyRefusals()
    if (isFutile || !this.mayExecute()) this.giveUp(this.lastRefusal)
    else if (this.unconfirmed().length === 0) this.startAttempt()
  }

  private hasTooManyRefusals (): boolean {
    const { refusals, lateRefusals, request: { waitsUntilDeadline } } = this
    return waitsUntilDeadline === true
      ? refusals >= REFUSALS_MAXIMUM_OF_WAITING || lateRefusals >= LATE_REFUSALS_MAXIMUM_OF_WAITING
      : refusals >= REFUSALS_MAXIMUM || lateRefusals >= LATE_REFUSALS_MAXIMUM
  }

  /** Corrects the counts after a confirmed attempt that was refused and so did not run. */
  private revertExecution (reason: HostedRequests.RefusalReason): void {
    this.executions -= 1
    if (REFUSED_BY_TARGET.has(reason)) return
    this.deliveries -= 1
    this.hasRetryToken = this.deliveries > 0
  }

  /** Waits for an available target, since probe delays are short, and refuses the request after `TARGET_WAIT_RATIO` or at its deadline. */
  private handleNoTarget (candidates: readonly Registrations.Registration[], now: Decisions.Clock.Milliseconds): void {
    const timeUntilAvailable = this.dependencies.targetSelector.timeUntilAvailable(candidates, now) ?? RETRY_AFTER_DEFAULT_MS
    const { waitsUntilDeadline, deadline, arrivedAt, route } = this.request
    const waitLimit = waitsUntilDeadline === true ? deadline : arrivedAt + TARGET_WAIT_RATIO * route.latencyObjective
    if (this.activeAttempts.size > 0) return
    if (now >= waitLimit) {
      this.giveUp(this.lastRefusal ?? { kind: 'not-run', reason: 'no-target', retryAfter: Math.max(timeUntilAvailable, RETRY_AFTER_DEFAULT_MS) })
      return
    }
    // Targets that have refused the request may be available again.
    this.excluded.clear()
    for (const target of this.executionTargets) this.excluded.add(target)
    this.schedule(Math.min(Math.max(timeUntilAvailable, waitsUntilDeadline === true ? WAITING_PAUSE_MS : 1), SELECTION_INTERVAL_MAXIMUM_MS), () => { this.startAttempt() })
  }

  /** Ends the request with an earlier error or with `answer`, unless another attempt is active. */
  private giveUp (answer: Answers.Answer): void {
    if (this.activeAttempts.size > 0) return
    this.finish(this.lastError ?? answer)
  }

  private expire (): void {
    if (this.isFinished) return
    this.isExpired = true
    if (this.activeAttempts.size === 0) {
      this.finish(this.lastError ?? { kind: 'not-run', reason: 'too-late', retryAfter: RETRY_AFTER_DEFAULT_MS })
      return
    }
    // Withdrawn attempts still report an outcome, a refusal if they were not confirmed; the answer follows from these.
    for (const attempt of [...this.activeAttempts.keys()]) attempt.withdraw()
  }

  private finish (answer: Answers.Answer): void {
    if (this.isFinished) return
    this.isFinished = true
    for (const timer of this.timers) clearTimeout(timer)
    for (const [attempt, record] of this.activeAttempts) {
      record.result = this.describeOutcome({ kind: 'withdrawn' }, record)
      attempt.withdraw()
    }
    this.resolve(answer.kind === 'response' && !this.isDeliverable(answer.response) ? UNFRAMED : answer)
  }

  private schedule (duration: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer)
      action()
    }, Math.max(0, duration))
    this.timers.add(timer)
  }
}
