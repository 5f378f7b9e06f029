/** Runs work on the local target: the only place from which the target gets requests. */
import * as Decisions from '@jasminedale/decisions'
import type * as Logs from '../observation/log.js'
import type * as Metrics from '../observation/metrics.js'
import * as ConnectionPools from '../transport/connection-pool.js'
import type * as Dialects from '../transport/dialect.js'
import * as Exchanges from '../transport/exchange.js'
import * as Headers from '../transport/headers.js'
import * as Forwarding from './forwarding.js'
import * as Gates from './gate.js'
import type * as HostReports from './host-report.js'
import type * as LocalTargets from './local-target.js'
import * as ServiceTimes from './service-time.js'
import * as Slots from './slots.js'
import * as Works from './work.js'

const SERVER_ERROR = 500
const STATUS_TIMEOUT = 504
/** Connections to the local target open within a round trip on the same machine. */
const CONNECT_TIMEOUT = Decisions.Clock.milliseconds(500)
/** Largest response that is held in memory, in bytes. */
const RESPONSE_LIMIT = 67_108_864
/** Time within which a target answers its caller after a call of its own has failed; short, since the failed request may be a caller's. */
const CALL_ERROR_SPAN = Decisions.Clock.milliseconds(50)
/** Pause after which a requester may try a full target again. */
const BUSY_RETRY = 50
/** Pause after which a requester may look for a target that is gone; the directory follows within it. */
const ABSENT_RETRY = 1_000

export interface HostParts {
  readonly clock: Decisions.Clock.Clock
  readonly dialect: Dialects.Dialect
  readonly log: Logs.Log
  readonly metrics: Metrics.Metrics
  readonly localTarget: LocalTargets.LocalTarget
  /** Address of the local target. */
  readonly targetAddress: Decisions.Ids.Endpoint
  readonly version: () => Decisions.Ids.Version
  /** Called when the gate of the target closes, stays closed after a failure, or opens. */
  readonly onBreakerChanged: (target: Decisions.Ids.TargetId, report: HostReports.HostReport) => void
}

export class Host {
  private readonly parts: HostParts
  /** Fields that do not reach the target as they came. */
  private readonly removed: ReadonlySet<string>
  private readonly gate = new Gates.Gate()
  private readonly slots = new Slots.Slots()
  private readonly serviceTime = new ServiceTimes.ServiceTime()
  private readonly connections = new ConnectionPools.ConnectionPool()
  private leaving = false
  private callFailedAt: Decisions.Clock.Milliseconds | undefined
  private answeredAt = Decisions.Clock.milliseconds(0)

  constructor (parts: HostParts) {
    this.parts = parts
    this.removed = new Set([...parts.dialect.reservedFields, ...Forwarding.BETWEEN_NODES])
  }

  /** The local target was replaced or restarted: nothing that was learned applies to it. */
  resetTarget (slots: number): void {
    this.gate.reset()
    this.slots.resize(slots)
  }

  /** A request to another service, perhaps a call of the local target, was not served here. */
  callFailed (): void {
    this.callFailedAt = this.parts.clock.now()
  }

  /** Refuses work from now on, because this node stops. */
  startDraining (): void {
    this.leaving = true
  }

  /** Requests that hold a slot of the target. */
  get running (): number {
    return this.slots.busy
  }

  report (): HostReports.HostReport {
    const now = this.parts.clock.now()
    return {
      running: this.slots.busy,
      waiting: this.slots.waiting,
      slots: this.slots.capacity,
      closedFor: this.gate.closedFor(now),
      failures: this.gate.failures,
      serviceTime: this.serviceTime.mean,
      version: this.parts.version()
    }
  }

  async run (work: Works.Work): Promise<Works.Outcome> {
    const passage = this.admit(work)
    if (typeof passage !== 'string') return this.refused(work, passage)
    const entered = await this.enter(work)
    if (entered !== 'started') {
      this.gate.abandoned(passage)
      return this.refused(work, Works.refused(entered, BUSY_RETRY))
    }
    try {
      return await this.runInSlot(work, passage)
    } finally {
      this.slots.release(this.serviceTime.mean, this.parts.clock.now())
    }
  }

  /** The gate's passage, or why the request cannot run here. */
  private admit (work: Works.Work): Gates.Passage | Works.Outcome {
    const refusal = this.unavailable(work)
    if (refusal !== undefined) return refusal
    const now = this.parts.clock.now()
    const passage = this.gate.admit(work.mayTry, work.insists, now)
    if (passage === 'closed') return Works.refused('target-closed', this.gate.closedFor(now) ?? BUSY_RETRY)
    return passage
  }

  private unavailable (work: Works.Work): Works.Outcome | undefined {
    const announced = this.parts.localTarget.announcement
    if (this.leaving) return Works.refused('node-leaving', ABSENT_RETRY)
    if (announced?.target !== work.target) return Works.refused('target-unknown', ABSENT_RETRY)
    if (announced.state !== 'ready') return Works.refused('target-leaving', ABSENT_RETRY)
    return undefined
  }

  /** Waits for a slot of the target. */
  private async enter (work: Works.Work): Promise<'started' | 'target-busy' | 'too-late'> {
    const now = this.parts.clock.now()
    if (this.slots.hasRoom()) {
      this.slots.take()
      return 'started'
    }
    if (!work.mayWait) return 'target-busy'
    if (!this.slots.canWait(work, this.serviceTime.mean, now)) return 'too-late'
    return await new Promise(resolve => {
      const waiting = {
        priority: work.priority,
        deadline: work.deadline,
        usefulUntil: work.usefulUntil,
        start: () => { resolve('started') },
        expire: () => { resolve('too-late') }
      }
      this.slots.enqueue(waiting, this.serviceTime.mean, now)
      work.queued()
      work.onWithdrawn(() => { if (this.slots.remove(waiting)) resolve('too-late') })
    })
  }

  private async runInSlot (work: Works.Work, passage: Gates.Passage): Promise<Works.Outcome> {
    const body = await work.commit()
    // The target may have left or failed while the request waited or was confirmed.
    const refusal = this.unavailable(work) ?? (passage === 'pass' ? this.closed(work) : undefined)
    if (body === undefined || refusal !== undefined) {
      this.gate.abandoned(passage)
      return this.refused(work, refusal ?? Works.refused('too-late', BUSY_RETRY))
    }
    const startedAt = this.parts.clock.now()
    const exchange = this.send(work, body, startedAt)
    const requester = { withdrew: false }
    work.onWithdrawn(() => {
      requester.withdrew = true
      exchange.cancel('requester withdrew')
    })
    const silence = setTimeout(() => { this.suspect(work, passage, startedAt) }, work.latencyObjective)
    const end = await exchange.result
    clearTimeout(silence)
    const elapsed = Decisions.Clock.between(startedAt, this.parts.clock.now())
    const outcome = requester.withdrew ? { kind: 'withdrawn' as const } : this.outcomeOf(work, end)
    this.observe(work, outcome, passage, elapsed)
    return outcome
  }

  private closed (work: Works.Work): Works.Outcome | undefined {
    const closedFor = this.gate.closedFor(this.parts.clock.now())
    return closedFor === undefined || work.mayTry || work.insists ? undefined : Works.refused('target-closed', closedFor)
  }

  private send (work: Works.Work, body: Buffer, now: Decisions.Clock.Milliseconds): Exchanges.Exchange {
    const remaining = Decisions.Clock.between(now, work.deadline)
    const { dialect, targetAddress } = this.parts
    const fields = dialect.targetRequestFields({ target: work.target, origin: work.origin, remaining })
    return new Exchanges.Exchange({
      address: targetAddress,
      method: work.method,
      path: work.path,
      headers: [...Headers.endToEndFields(work.headers, this.removed), ...fields],
      body,
      timeout: remaining,
      connectTimeout: CONNECT_TIMEOUT,
      maximumResponseBytes: RESPONSE_LIMIT,
      connections: this.connections,
      awaitsConfirmation: false,
      confirmationTimeout: CONNECT_TIMEOUT
    })
  }

  private outcomeOf (work: Works.Work, end: Exchanges.ExchangeResult): Works.Outcome {
    if (end.kind === 'not-sent') return Works.refused('target-unreachable', ABSENT_RETRY)
    if (end.kind === 'lost') return { kind: 'failed', reason: end.hasTimedOut ? 'timed-out' : 'connection-lost', detail: end.reason }
    const { response } = end
    const signs = this.parts.dialect.readTargetMetadata(response)
    if (signs.request !== undefined && signs.request !== work.request) {
      return { kind: 'failed', reason: 'response-invalid', detail: `response belongs to request ${signs.request}` }
    }
    if (signs.isMisdirected) return Works.refused('target-changed', ABSENT_RETRY)
    if (signs.isNotExecuted) return Works.refused('target-shed', BUSY_RETRY)
    if (response.status < SERVER_ERROR && (!signs.isSigned || signs.isAltered)) {
      return { kind: 'failed', reason: 'response-invalid', detail: signs.isAltered ? 'content encoding was added' : 'response is not signed' }
    }
    return { kind: 'answered', response }
  }

  /**
   * A target that answers nothing for longer than the route's objective is treated as failing. While it answers other
   * requests, this one may just be long.
   */
  private suspect (work: Works.Work, passage: Gates.Passage, startedAt: Decisions.Clock.Milliseconds): void {
    if (this.answeredAt >= startedAt) return
    this.failed(work, passage)
    this.parts.log.info('target silent beyond the latency objective; holding non-idempotent work back', {
      request: work.request, target: work.target, objective: work.latencyObjective, closedFor: this.gate.closedFor(this.parts.clock.now())
    })
  }

  private observe (work: Works.Work, outcome: Works.Outcome, passage: Gates.Passage, elapsed: Decisions.Clock.Milliseconds): void {
    const { log, metrics, clock } = this.parts
    const now = clock.now()
    switch (outcome.kind) {
      case 'answered': {
        this.answeredAt = now
        const failed = outcome.response.status >= SERVER_ERROR
        if (failed && this.isExplained(outcome.response.status, work, elapsed, now)) {
          this.gate.abandoned(passage)
          break
        }
        metrics.recordTargetRequest(failed ? 'error' : 'success', elapsed)
        if (!failed) {
          this.serviceTime.add(elapsed)
          this.succeeded(work, passage)
          break
        }
        this.failed(work, passage)
        log.info('target answered with an error; holding non-idempotent work back', {
          request: work.request, target: work.target, status: outcome.response.status, elapsed, passage, repeatable: work.repeatable, closedFor: this.gate.closedFor(now)
        })
        break
      }
      case 'failed':
        metrics.recordTargetRequest(outcome.reason, elapsed)
        if (outcome.reason === 'timed-out') this.serviceTime.exceeds(elapsed)
        // A timeout shorter than the route's objective says nothing about the target.
        if (outcome.reason === 'timed-out' && elapsed < work.latencyObjective) this.gate.abandoned(passage)
        else this.failed(work, passage)
        log.warn('target gave no valid response', { request: work.request, target: work.target, reason: outcome.reason, detail: outcome.detail, elapsed })
        break
      case 'refused':
        this.observeRefusal(work, outcome.reason, passage)
        break
      case 'withdrawn':
        metrics.recordTargetRequest('withdrawn', elapsed)
        this.serviceTime.exceeds(elapsed)
        this.gate.abandoned(passage)
        break
    }
  }

  private failed (work: Works.Work, passage: Gates.Passage): void {
    this.gate.failed(passage, this.parts.clock.now())
    this.parts.onBreakerChanged(work.target, this.report())
  }

  private succeeded (work: Works.Work, passage: Gates.Passage): void {
    const wasClosed = this.gate.failures > 0
    this.gate.succeeded(passage)
    if (wasClosed && this.gate.failures === 0) this.parts.onBreakerChanged(work.target, this.report())
  }

  /** An error that says nothing about the target: a short timeout, or a call of its own that failed elsewhere. */
  private isExplained (status: number, work: Works.Work, elapsed: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): boolean {
    if (status === STATUS_TIMEOUT && elapsed < work.latencyObjective) return true
    const callFailed = this.callFailedAt !== undefined && this.callFailedAt >= now - elapsed && now - this.callFailedAt <= CALL_ERROR_SPAN
    if (callFailed) this.parts.log.info('target answered with an error after a call of its own failed', { request: work.request, target: work.target, status })
    return callFailed
  }

  private observeRefusal (work: Works.Work, reason: Works.RefusalReason, passage: Gates.Passage): void {
    if (reason === 'target-changed') this.parts.localTarget.replaced(work.target)
    if (reason === 'target-unreachable') this.failed(work, passage)
    else this.gate.abandoned(passage)
    this.parts.log.info('target did not run the request', { request: work.request, target: work.target, reason })
  }

  private refused (work: Works.Work, refusal: Works.Outcome): Works.Outcome {
    if (refusal.kind === 'refused') this.parts.metrics.recordHostRefusal(refusal.reason)
    this.parts.log.debug('work refused', { request: work.request, target: work.target, reason: refusal.kind === 'refused' ? refusal.reason : refusal.kind })
    return refusal
  }
}
