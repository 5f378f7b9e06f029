/** Runs requests on the local target, within its slots and behind its circuit breaker. All requests to the target pass through here. */
import * as Decisions from '@jasminedale/decisions'
import type * as DependencyControls from '../dependencies/dependency-control.js'
import type * as Logs from '../observation/log.js'
import type * as Metrics from '../observation/metrics.js'
import type * as Quarantines from '../quarantine/quarantine.js'
import type * as Contents from '../resources/content.js'
import type * as Memories from '../resources/memory.js'
import type * as Routes from '../routes/route.js'
import * as ConnectionPools from '../transport/connection-pool.js'
import type * as Dialects from '../transport/dialect.js'
import * as Exchanges from '../transport/exchange.js'
import * as Headers from '../transport/headers.js'
import * as Reachability from '../transport/reachability.js'
import * as Forwarding from './forwarding.js'
import * as CircuitBreakers from './circuit-breaker.js'
import type * as HostReports from './host-report.js'
import type * as LocalTargets from './local-target.js'
import * as SlotAcquisitions from './slot-acquisition.js'
import * as SlownessLogs from './slowness-log.js'
import * as TargetCapacities from './target-capacity.js'
import * as TargetResponses from './target-response.js'
import * as HostedRequests from './hosted-request.js'

const STATUS_TIMEOUT = 504
/** The local target is on the same VM, so that a connection normally opens at once. */
const CONNECT_TIMEOUT = Decisions.Clock.milliseconds(500)
/** Bounds the memory that one response takes. */
const RESPONSE_LIMIT_BYTES = 67_108_864
/**
 * An error response within this time after a failed call to another service is attributed to that call. Short, since
 * the failed call may come from another caller on this VM and not from the target.
 */
const FAILED_CALL_WINDOW = Decisions.Clock.milliseconds(50)

export interface HostDependencies {
  readonly clock: Decisions.Clock.Clock
  readonly dialect: Dialects.Dialect
  readonly log: Logs.Log
  readonly metrics: Metrics.Metrics
  readonly localTarget: LocalTargets.LocalTarget
  /** Undefined in tests that do without a bound. */
  readonly memory?: Memories.Memory
  readonly quarantine: Pick<Quarantines.Quarantine, 'blockedFor' | 'recordCrash' | 'recordCompletion'>
  /** Address of the local target. */
  readonly targetAddress: Decisions.Ids.Endpoint
  /** Configuration version in force. */
  readonly version: () => Decisions.Ids.Version
  /** Switches of the configuration in force; undefined before the first. */
  readonly features?: () => Routes.CapacityFeatures | undefined
  /** Called after each failure, which trips the circuit breaker or keeps it tripped, and when it resets. */
  readonly onBreakerChanged: (target: Decisions.Ids.TargetId, report: HostReports.HostReport) => void
  /** Called with each response in which the target states that it is leaving. */
  readonly onTargetLeaving: (target: Decisions.Ids.TargetId) => void
  /** Without it requests are admitted whether or not the services that they call have room. */
  readonly dependencyControl?: Pick<DependencyControls.DependencyControl, 'check' | 'recordCaller' | 'recordStart' | 'recordOffer' | 'recordWaiting' | 'resetTarget' | 'fraction' | 'isEnabled'>
}

export class Host {
  private readonly dependencies: HostDependencies
  /** Lower-case names of request headers that are not passed on to the target. */
  private readonly strippedHeaders: ReadonlySet<string>
  private readonly circuitBreaker = new CircuitBreakers.CircuitBreaker()
  private readonly capacity: TargetCapacities.TargetCapacity
  private readonly connections = new ConnectionPools.ConnectionPool()
  private readonly slownessLog: SlownessLogs.SlownessLog
  private isDraining = false
  /** When a request from this VM to another service last failed. */
  private lastFailedCallAt: Decisions.Clock.Milliseconds | undefined
  /** When the target last responded, with whatever status. */
  private lastResponseAt = Decisions.Clock.milliseconds(0)

  constructor (dependencies: HostDependencies) {
    this.dependencies = dependencies
    this.capacity = new TargetCapacities.TargetCapacity(dependencies.clock, dependencies.features)
    this.slownessLog = new SlownessLogs.SlownessLog(dependencies.log)
    this.strippedHeaders = new Set([...dependencies.dialect.reservedFields, ...Forwarding.INTERNAL_HEADERS])
  }

  /** Called when the local target was replaced or restarted: sets its slots, and resets the circuit breaker and the rate limit, which do not apply to it. */
  resetTarget (slots: number): void {
    this.circuitBreaker.reset()
    this.capacity.reset(slots)
    this.dependencies.dependencyControl?.resetTarget()
  }

  /** Records that a request from this VM to another service failed. It may have been a call of the local target. */
  recordFailedCall (): void {
    this.lastFailedCallAt = this.dependencies.clock.now()
  }

  /** Refuses new requests from now on, because this node stops. */
  startDraining (): void {
    this.isDraining = true
  }

  /** Number of requests that hold a slot of the target. */
  get running (): number {
    return this.capacity.running
  }

  report (): HostReports.HostReport {
    const now = this.dependencies.clock.now()
    const admissionFraction = this.dependencies.dependencyControl?.fraction({ slots: this.capacity.slotCount, rate: this.capacity.rate })
    const { work } = this.capacity
    if (work !== undefined) this.observeWork(work)
    return {
      running: this.capacity.running,
      queued: this.capacity.queued,
      slots: this.capacity.slotCount,
      timeUntilProbe: this.circuitBreaker.timeUntilProbe(now),
      failures: this.circuitBreaker.failures,
      serviceTime: this.capacity.serviceTime.mean,
      version: this.dependencies.version(),
      ...(admissionFraction === undefined ? {} : { admissionFraction }),
      ...(work === undefined ? {} : { work })
    }
  }

  private observeWork ({ slowness, left }: HostReports.WorkReport): void {
    this.dependencies.metrics.setTargetWork(slowness, left)
    this.slownessLog.observe(slowness, { target: this.dependencies.localTarget.announcement?.target, left: Math.round(left), running: this.capacity.running, queued: this.capacity.queued })
  }

  /** Runs the request, or refuses it if the target cannot take it. */
  async run (request: HostedRequests.HostedRequest): Promise<HostedRequests.Outcome> {
    const admission = this.checkDependencies(request) ?? this.admit(request)
    if (typeof admission !== 'string') return this.reportRefusal(request, admission)
    const slotResult = await SlotAcquisitions.acquire(this.capacity, request, this.dependencies.dependencyControl)
    if (slotResult !== 'started') {
      this.circuitBreaker.recordInconclusive(admission)
      return this.reportRefusal(request, HostedRequests.refusal(slotResult, Math.max(TargetResponses.BUSY_RETRY_AFTER_MS, this.capacity.timeUntilAllowed, slotResult === 'too-late' ? this.capacity.retryAfter(request) : 0)))
    }
    let wasSent = true
    try {
      const body = await request.commit()
      const refusal = this.checkCommitted(request, body, admission)
      wasSent = body !== undefined && refusal === undefined
      return body === undefined || refusal !== undefined ? this.refuseCommitted(request, refusal, admission) : await this.runInSlot(request, body, admission)
    } finally {
      this.capacity.release(wasSent)
    }
  }

  /** The refusal if a service that the route calls has no room. A target that takes no requests refuses for that reason. */
  private checkDependencies (request: HostedRequests.HostedRequest): HostedRequests.Outcome | undefined {
    if (this.checkAvailability(request) !== undefined) return undefined
    this.dependencies.dependencyControl?.recordCaller(request)
    const refusal = this.dependencies.dependencyControl?.check(request)
    return refusal === undefined ? undefined : HostedRequests.refusal('dependency-full', refusal.retryAfter)
  }

  /** How the circuit breaker admits the request, or the refusal. */
  private admit (request: HostedRequests.HostedRequest): CircuitBreakers.Admission | HostedRequests.Outcome {
    const refusal = this.checkAvailability(request)
    if (refusal !== undefined) return refusal
    const now = this.dependencies.clock.now()
    const admission = this.circuitBreaker.admit(request.mayBeProbe, request.mayBypassBreaker, now)
    if (admission === 'closed') return HostedRequests.refusal('target-closed', this.circuitBreaker.timeUntilProbe(now) ?? TargetResponses.BUSY_RETRY_AFTER_MS)
    return admission
  }

  /** The refusal, or undefined if the target of the request is here and takes requests. */
  private checkAvailability (request: HostedRequests.HostedRequest): HostedRequests.Outcome | undefined {
    const announcement = this.dependencies.localTarget.announcement
    if (this.isDraining) return HostedRequests.refusal('node-leaving', TargetResponses.ABSENT_RETRY_AFTER_MS)
    if (announcement?.target !== request.target) return HostedRequests.refusal('target-unknown', TargetResponses.ABSENT_RETRY_AFTER_MS)
    if (announcement.state !== 'ready') return HostedRequests.refusal('target-leaving', TargetResponses.ABSENT_RETRY_AFTER_MS)
    return undefined
  }

  /** The refusal if the target has left or failed while the request was in the queue or waited for the confirmation. */
  private checkCommitted (request: HostedRequests.HostedRequest, body: Contents.Content | undefined, admission: CircuitBreakers.Admission): HostedRequests.Outcome | undefined {
    return this.checkAvailability(request) ?? (admission === 'pass' ? this.checkBreaker(request) : undefined) ?? this.checkQuarantine(request, body)
  }

  private refuseCommitted (request: HostedRequests.HostedRequest, refusal: HostedRequests.Outcome | undefined, admission: CircuitBreakers.Admission): HostedRequests.Outcome {
    this.circuitBreaker.recordInconclusive(admission)
    return this.reportRefusal(request, refusal ?? HostedRequests.refusal('too-late', TargetResponses.BUSY_RETRY_AFTER_MS))
  }

  private async runInSlot (request: HostedRequests.HostedRequest, body: Contents.Content, admission: CircuitBreakers.Admission): Promise<HostedRequests.Outcome> {
    const startedAt = this.dependencies.clock.now()
    const exchange = this.send(request, body, startedAt)
    const recordEnd = this.dependencies.dependencyControl?.recordStart(request)
    const { costs } = this.capacity
    const run = costs?.start(request, startedAt)
    const state = { isWithdrawn: false }
    request.onWithdrawn(() => {
      state.isWithdrawn = true
      exchange.cancel('request was withdrawn')
    })
    const silenceTimer = setTimeout(() => { this.recordSilence(request, admission, startedAt) }, request.latencyObjective)
    const result = await exchange.result
    clearTimeout(silenceTimer)
    if (run !== undefined) costs?.end(run)
    const elapsed = Decisions.Clock.between(startedAt, this.dependencies.clock.now())
    const outcome = state.isWithdrawn ? { kind: 'withdrawn' as const } : this.outcomeOf(request, result)
    recordEnd?.(outcome.kind !== 'refused')
    this.updateQuarantine({ method: request.method, path: request.path, body }, outcome, startedAt)
    this.recordOutcome(request, outcome, admission, elapsed, TargetResponses.evidenceOf(result, this.dependencies.dialect))
    return outcome.kind === 'answered' && outcome.response.status < TargetResponses.SERVER_ERROR && costs !== undefined ? { ...outcome, served: elapsed } : outcome
  }

  /** The refusal if the circuit breaker has tripped since the request was admitted. */
  private checkBreaker (request: HostedRequests.HostedRequest): HostedRequests.Outcome | undefined {
    const timeUntilProbe = this.circuitBreaker.timeUntilProbe(this.dependencies.clock.now())
    return timeUntilProbe === undefined || request.mayBeProbe || request.mayBypassBreaker ? undefined : HostedRequests.refusal('target-closed', timeUntilProbe)
  }

  /** The refusal if the request is known to crash the targets that run it. */
  private checkQuarantine ({ method, path }: HostedRequests.HostedRequest, body: Contents.Content | undefined): HostedRequests.Outcome | undefined {
    const blockedFor = body === undefined ? undefined : this.dependencies.quarantine.blockedFor({ method, path, body })
    return blockedFor === undefined ? undefined : HostedRequests.refusal('request-blocked', blockedFor)
  }

  private updateQuarantine (content: Quarantines.RequestContent, outcome: HostedRequests.Outcome, startedAt: Decisions.Clock.Milliseconds): void {
    const { quarantine } = this.dependencies
    if (outcome.kind === 'answered') quarantine.recordCompletion(content)
    if (outcome.kind === 'failed' && outcome.reason === 'connection-lost') void this.recordCrash(content, startedAt)
  }

  /** A target that still accepts connections has only broken off its response. */
  private async recordCrash (content: Quarantines.RequestContent, startedAt: Decisions.Clock.Milliseconds): Promise<void> {
    const { targetAddress, quarantine } = this.dependencies
    if (!await Reachability.accepts(targetAddress)) quarantine.recordCrash(content, startedAt)
  }

  private send (request: HostedRequests.HostedRequest, body: Contents.Content, now: Decisions.Clock.Milliseconds): Exchanges.Exchange {
    const remaining = Decisions.Clock.between(now, request.deadline)
    const { dialect, targetAddress } = this.dependencies
    const fields = dialect.targetRequestFields({ target: request.target, callerService: request.callerService, remaining, account: request.account })
    return new Exchanges.Exchange({
      correlation: { request: request.id, readRequest: headers => dialect.readResponseRequest(headers) },
      address: targetAddress,
      method: request.method,
      path: request.path,
      headers: [...Headers.endToEndFields(request.headers, this.strippedHeaders), ...fields],
      body,
      timeout: remaining,
      connectTimeout: CONNECT_TIMEOUT,
      maximumResponseBytes: RESPONSE_LIMIT_BYTES,
      memory: this.dependencies.memory,
      connections: this.connections,
      awaitsConfirmation: false,
      confirmationTimeout: CONNECT_TIMEOUT
    })
  }

  private outcomeOf (request: HostedRequests.HostedRequest, result: Exchanges.ExchangeResult): HostedRequests.Outcome {
    if (result.kind === 'not-sent') return HostedRequests.refusal('target-unreachable', TargetResponses.ABSENT_RETRY_AFTER_MS)
    if (result.kind === 'lost') return { kind: 'failed', reason: result.cause === 'mismatched' ? 'response-invalid' : result.cause, detail: result.reason }
    const metadata = this.dependencies.dialect.readTargetMetadata(result.response)
    // A response without the id may be a late copy, or not from the target.
    if (metadata.request === request.id) this.applyStatements(request, metadata)
    return TargetResponses.outcomeOf(request, result.response, metadata)
  }

  /** Applies what the target states about itself in a response. */
  private applyStatements ({ id, target }: HostedRequests.HostedRequest, { rateLimit, isLeaving }: Dialects.TargetResponseMetadata): void {
    const { log, metrics, onTargetLeaving } = this.dependencies
    if (isLeaving) onTargetLeaving(target)
    const before = this.capacity.rate
    if (rateLimit.isErr()) {
      log.warn('limit that the target states cannot be read; the limit in force stays', { request: id, target, detail: rateLimit.error.detail, limit: before })
      return
    }
    if (before === rateLimit.value) return
    this.capacity.setRate(rateLimit.value)
    metrics.setTargetLimit(rateLimit.value)
    log.info('limit that the target states changed', { request: id, target, limit: rateLimit.value, before, running: this.capacity.running, queued: this.capacity.queued })
  }

  /**
   * Counts a target as failing if it has sent no response at all since the request began, which is the latency objective
   * ago. A target that has responded to other requests may just take long for this one.
   */
  private recordSilence (request: HostedRequests.HostedRequest, admission: CircuitBreakers.Admission, startedAt: Decisions.Clock.Milliseconds): void {
    if (this.lastResponseAt >= startedAt) return
    this.recordFailure(request, admission)
    this.dependencies.log.info('target silent beyond the latency objective; holding non-idempotent work back', {
      request: request.id, target: request.target, objective: request.latencyObjective, closedFor: this.circuitBreaker.timeUntilProbe(this.dependencies.clock.now())
    })
  }

  private recordOutcome (request: HostedRequests.HostedRequest, outcome: HostedRequests.Outcome, admission: CircuitBreakers.Admission, elapsed: Decisions.Clock.Milliseconds, evidence: Logs.Fields): void {
    const { log, metrics, clock } = this.dependencies
    const now = clock.now()
    switch (outcome.kind) {
      case 'answered': {
        this.lastResponseAt = now
        const isError = outcome.response.status >= TargetResponses.SERVER_ERROR
        if (isError && this.isInconclusiveError(outcome.response.status, request, elapsed, now)) {
          this.circuitBreaker.recordInconclusive(admission)
          break
        }
        metrics.recordTargetRequest(isError ? 'error' : 'success', elapsed)
        if (!isError) {
          this.capacity.recordServiceTime(request, elapsed, now)
          this.recordSuccess(request, admission)
          break
        }
        this.recordFailure(request, admission)
        log.info('target answered with an error; holding non-idempotent work back', {
          request: request.id, target: request.target, status: outcome.response.status, elapsed, passage: admission, repeatable: request.repeatable, closedFor: this.circuitBreaker.timeUntilProbe(now)
        })
        break
      }
      case 'failed':
        metrics.recordTargetRequest(outcome.reason, elapsed)
        if (outcome.reason === 'timed-out') this.capacity.recordLowerBound(request, elapsed, now)
        // A deadline shorter than the latency objective says nothing about the target.
        if (outcome.reason === 'timed-out' && elapsed < request.latencyObjective) this.circuitBreaker.recordInconclusive(admission)
        else this.recordFailure(request, admission)
        log.warn('target gave no valid response', { request: request.id, target: request.target, reason: outcome.reason, detail: outcome.detail, elapsed, ...evidence })
        break
      case 'refused':
        this.recordRefusal(request, outcome.reason, admission, evidence)
        break
      case 'withdrawn':
        metrics.recordTargetRequest('withdrawn', elapsed)
        this.capacity.recordLowerBound(request, elapsed, now)
        this.circuitBreaker.recordInconclusive(admission)
        break
    }
  }

  private recordFailure (request: HostedRequests.HostedRequest, admission: CircuitBreakers.Admission): void {
    this.circuitBreaker.recordFailure(admission, this.dependencies.clock.now())
    this.dependencies.onBreakerChanged(request.target, this.report())
  }

  private recordSuccess (request: HostedRequests.HostedRequest, admission: CircuitBreakers.Admission): void {
    const wasTripped = this.circuitBreaker.failures > 0
    this.circuitBreaker.recordSuccess(admission)
    if (wasTripped && this.circuitBreaker.failures === 0) this.dependencies.onBreakerChanged(request.target, this.report())
  }

  /**
   * Whether an error status says nothing about the target: a 504 within the latency objective, which a short
   * deadline explains, or an error after a call of the target to another service has failed.
   */
  private isInconclusiveError (status: number, request: HostedRequests.HostedRequest, elapsed: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): boolean {
    if (status === STATUS_TIMEOUT && elapsed < request.latencyObjective) return true
    const hasFailedCall = this.lastFailedCallAt !== undefined && this.lastFailedCallAt >= now - elapsed && now - this.lastFailedCallAt <= FAILED_CALL_WINDOW
    if (hasFailedCall) this.dependencies.log.info('target answered with an error after a call of its own failed', { request: request.id, target: request.target, status })
    return hasFailedCall
  }

  private recordRefusal (request: HostedRequests.HostedRequest, reason: HostedRequests.RefusalReason, admission: CircuitBreakers.Admission, evidence: Logs.Fields): void {
    if (reason === 'target-changed') this.dependencies.localTarget.clear(request.target)
    if (reason === 'target-unreachable') this.recordFailure(request, admission)
    else this.circuitBreaker.recordInconclusive(admission)
    this.dependencies.log.info('target did not run the request', { request: request.id, target: request.target, reason, ...evidence })
  }

  private reportRefusal (request: HostedRequests.HostedRequest, refusal: HostedRequests.Outcome): HostedRequests.Outcome {
    if (refusal.kind === 'refused') this.dependencies.metrics.recordHostRefusal(refusal.reason)
    this.dependencies.log.debug('host refused the request', { request: request.id, target: request.target, reason: refusal.kind === 'refused' ? refusal.reason : refusal.kind })
    return refusal
  }
}
