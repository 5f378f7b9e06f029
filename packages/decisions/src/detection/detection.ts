/** Detects unhealthy targets on this VM from completed requests, requests in flight, probes and baselines. */
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'
import type * as Targets from '../membership/targets.js'
import * as Baselines from './baseline.js'
import type * as HealthTests from './health-test.js'
import * as EntryOutcomes from './entry-outcomes.js'
import type * as PendingAttempts from './pending-attempt.js'
import * as LogLikelihoodRatios from './log-likelihood-ratio.js'
import * as ObserverHealth from './observer-health.js'
import * as SequentialTests from './sequential-test.js'
import * as TargetMonitors from './target-monitor.js'

const SERVER_ERROR_STATUS = 500
/** Fraction of the ejection threshold from which a target counts as suspect. */
const SUSPECT_SCORE_FRACTION = 0.5
/** Interval at which the request to eject a target is repeated while its score stays above the threshold. */
const EJECTION_REQUEST_INTERVAL_MILLISECONDS = 200
/** A lost connection is attributed to a crash of the target that is reported at most this long afterwards. */
const CRASH_REPORT_DELAY_MAXIMUM_MILLISECONDS = 1_000
/** Targets without completed work for this long are left out when the node checks its own health. */
const ACTIVE_TARGET_MILLISECONDS = 30_000
/** Without a baseline, a request without response for this long counts as lost. */
const LOST_REQUEST_MILLISECONDS_WITHOUT_BASELINE = 2_000

/** A target on this VM with its monitor and policy. */
interface MonitoredTarget {
  readonly target: Targets.Target
  readonly monitor: TargetMonitors.TargetMonitor
  readonly policy: Policies.Policy
}

export class Detection extends Controllers.Controller {
  private readonly monitors = new Map<Ids.TargetId, TargetMonitors.TargetMonitor>()
  private readonly pendingAttempts = new Map<Ids.AttemptId, PendingAttempts.PendingAttempt>()
  private readonly observerHealth = new ObserverHealth.ObserverHealth()

  constructor (private readonly createHealthTest: () => HealthTests.HealthTest = () => new SequentialTests.SequentialTest()) {
    super()
  }

  react (event: Events.Event, context: Controllers.StepContext): void {
    if (this.observerHealth.recordEvent(context.now)) for (const pending of this.pendingAttempts.values()) pending.hasObserverStalled = true
    switch (event.kind) {
      case 'attempt-dispatched': this.handleDispatch(event, context); break
      case 'attempt-responded': this.handleResponse(event, context); break
      case 'attempt-finished': this.handleAttemptEnd(event, context); break
      case 'probe-finished': this.handleProbe(event, context); break
      case 'target-crashed': this.handleCrash(event, context); break
      case 'target-announced': this.monitoredTarget(event.target, context); break
      case 'target-gone': this.removeTarget(event.target, context); break
      case 'tick': this.tick(context); break
      default: break
    }
  }

  /** Undefined unless the target is on this VM. Creates a new monitor for each incarnation. */
  private monitoredTarget (id: Ids.TargetId, context: Controllers.StepContext): MonitoredTarget | undefined {
    const target = context.board.targets.get(id)
    if (target?.host !== context.board.identity.node) return undefined
    const policy = context.board.configuration.policyFor({ service: target.service }, context.now)
    const existing = this.monitors.get(id)
    if (existing?.incarnation === target.incarnation) return { target, monitor: existing, policy }
    const monitor = new TargetMonitors.TargetMonitor(target.incarnation, this.createHealthTest())
    this.monitors.set(id, monitor)
    return { target, monitor, policy }
  }

  private handleDispatch (event: Events.AttemptDispatched, context: Controllers.StepContext): void {
    const monitored = this.monitoredTarget(event.target, context)
    if (monitored === undefined) return
    const { request, attempt, target } = event
    const pending = { attempt, request, target, dispatchedAt: context.now, hasResponded: false, hasObserverStalled: false }
    this.pendingAttempts.set(attempt, pending)
    monitored.monitor.pendingAttempts.set(attempt, pending)
    const arrival = context.board.requests.get(request)?.arrival
    if (arrival === undefined) return
    const baseline = arrival.hop === 'host'
      ? arrival.baseline
      : Baselines.baselineFor(context.board.evidence, monitored.target.service, target)
    if (baseline !== undefined) monitored.monitor.baselines.add(arrival.from ?? context.board.identity.node, baseline, context.now)
  }

  private handleResponse (event: Events.AttemptResponded, context: Controllers.StepContext): void {
    const hasFailed = event.status >= SERVER_ERROR_STATUS
    EntryOutcomes.recordResponse(event, hasFailed, context)
    const pending = this.pendingAttempts.get(event.attempt)
    const monitored = pending === undefined ? undefined : this.monitoredTarget(pending.target, context)
    if (pending === undefined || monitored?.monitor.pendingAttempts.has(event.attempt) !== true) return
    pending.hasResponded = true
    monitored.monitor.hangDiagnosis.reportAnswer(pending.dispatchedAt)
    if (event.shed || isInColdStart(monitored, pending) || pending.hasObserverStalled) {
      monitored.monitor.healthTest.retract(pending.attempt)
      return
    }
    this.observe(monitored, pending, hasFailed ? 'failed' : 'answered', event.serviceTime, context)
  }

  private handleAttemptEnd (event: Events.AttemptFinished, context: Controllers.StepContext): void {
    const hasFailed = isFailure(event.end)
    if (hasFailed) EntryOutcomes.recordFailure(event, context)
    const pending = this.pendingAttempts.get(event.attempt)
    const monitored = pending === undefined ? undefined : this.monitoredTarget(pending.target, context)
    this.pendingAttempts.delete(event.attempt)
    // An attempt that the monitor does not know ran on an earlier incarnation of the target.
    if (pending === undefined || monitored?.monitor.pendingAttempts.delete(event.attempt) !== true) return
    const { monitor } = monitored
    if (event.end.kind === 'timed-out' && !pending.hasResponded) this.handleLostRequest(monitored, pending, context)
    const isEvidence = event.end.kind === 'unreachable' || monitor.hangDiagnosis.countsAgainstTarget(pending.dispatchedAt)
    if (hasFailed && isEvidence && !isInColdStart(monitored, pending) && !pending.hasObserverStalled) {
      if (event.end.kind === 'disconnected') monitor.connectionLostAt = context.now
      this.observe(monitored, pending, 'failed', event.elapsed, context)
    }
    monitor.healthTest.finalize(event.attempt)
  }

  private observe (monitored: MonitoredTarget, pending: PendingAttempts.PendingAttempt, outcome: HealthTests.Sample['outcome'], elapsed: number, context: Controllers.StepContext): void {
    const { monitor, target } = monitored
    if (!isInService(target.target, context)) return
    monitor.observe(monitor.createSample(pending, outcome, elapsed, target, context.now))
    this.evaluate(monitored, context)
  }

  private handleProbe (event: Events.ProbeFinished, context: Controllers.StepContext): void {
    const monitored = this.monitoredTarget(event.target, context)
    if (monitored === undefined || !isInService(event.target, context)) return
    if (context.now - monitored.target.announcedAt < monitored.policy.coldStart) return
    if (!event.healthy) monitored.monitor.hangDiagnosis.reportFailedProbe()
    monitored.monitor.healthTest.observeProbe(event.healthy, context.now)
    this.evaluate(monitored, context)
  }

  /**
   * Resets the evidence when a blocked request signature explains the crash, because the request and not the target
   * is at fault. The quarantine controller runs before this one, so `crashes.blockEnds` already holds the signature when the event arrives.
   */
  private handleCrash (event: Events.TargetCrashed, context: Controllers.StepContext): void {
    const monitor = this.monitors.get(event.target)
    const isExplained = event.signatures.some(signature => context.board.crashes.blockEnds.has(signature))
    const lostAt = monitor?.connectionLostAt
    if (monitor === undefined || lostAt === undefined || !isExplained || context.now - lostAt > CRASH_REPORT_DELAY_MAXIMUM_MILLISECONDS) return
    monitor.reset()
    context.record({ controller: 'detection', decision: 'crash-explained', evidence: event.signatures.join(' '), target: event.target })
  }

  private removeTarget (target: Ids.TargetId, context: Controllers.StepContext): void {
    for (const attempt of this.monitors.get(target)?.pendingAttempts.keys() ?? []) this.pendingAttempts.delete(attempt)
    this.monitors.delete(target)
    context.board.evidence.local.delete(target)
  }

  private tick (context: Controllers.StepContext): void {
    for (const id of [...this.monitors.keys()]) {
      const monitored = this.monitoredTarget(id, context)
      if (monitored === undefined) {
        this.removeTarget(id, context)
        continue
      }
      const { target } = monitored
      if (isInService(id, context)) this.observeWaitingAttempts(monitored, context)
      else monitored.monitor.reset()
      if (target.address !== undefined && monitored.monitor.isProbeDue(monitored.policy, context.now)) this.probe(monitored, target.address, context)
      this.evaluate(monitored, context)
    }
  }

  private probe (monitored: MonitoredTarget, address: Ids.Endpoint, context: Controllers.StepContext): void {
    monitored.monitor.lastProbeAt = context.now
    context.emit({ kind: 'probe', target: monitored.target.target, address })
  }

  /** Adds a sample for each attempt that waits for its response. */
  private observeWaitingAttempts (monitored: MonitoredTarget, context: Controllers.StepContext): void {
    const { monitor, target } = monitored
    const baseline = monitor.baselines.median()
    for (const pending of monitor.pendingAttempts.values()) {
      if (pending.hasResponded || pending.hasObserverStalled || isInColdStart(monitored, pending)) continue
      const elapsed = context.now - pending.dispatchedAt
      const isLost = baseline === undefined
        ? elapsed >= LOST_REQUEST_MILLISECONDS_WITHOUT_BASELINE
        : LogLikelihoodRatios.ofLostRequest(elapsed, baseline) >= LogLikelihoodRatios.INCREMENT_MAXIMUM_NATS
      if (isLost) this.handleLostRequest(monitored, pending, context)
      if (monitor.hangDiagnosis.countsAgainstTarget(pending.dispatchedAt)) monitor.observe(monitor.createSample(pending, 'waiting', elapsed, target, context.now))
      else monitor.healthTest.retract(pending.attempt)
    }
  }

  /** Retires the pooled connections and probes the target, to tell a dead connection from a hanging target. */
  private handleLostRequest (monitored: MonitoredTarget, pending: PendingAttempts.PendingAttempt, context: Controllers.StepContext): void {
    const { target, monitor } = monitored
    if (target.address === undefined || !monitor.hangDiagnosis.reportLostRequest(pending.dispatchedAt, context.now)) return
    context.emit({ kind: 'retire-connections', address: target.address })
    context.record({ controller: 'detection', decision: 'connections-retired', evidence: `No response for ${context.now - pending.dispatchedAt} ms.`, target: target.target, service: target.service })
    this.probe(monitored, target.address, context)
  }

  /** Publishes the evidence and requests ejection when it reaches the threshold. */
  private evaluate (monitored: MonitoredTarget, context: Controllers.StepContext): void {
    const { monitor, target, policy } = monitored
    const evidence = monitor.evidence(policy.ejectionEvidence)
    context.board.evidence.local.set(target.target, evidence)
    if (evidence.score < policy.ejectionEvidence || !isInService(target.target, context)) return
    if (monitor.ejectionRequestedAt !== undefined && context.now - monitor.ejectionRequestedAt < EJECTION_REQUEST_INTERVAL_MILLISECONDS) return
    monitor.ejectionRequestedAt = context.now
    if (this.isObserverUnhealthy(context)) {
      context.record({ controller: 'detection', decision: 'observer-unhealthy', evidence: 'More than half of the active targets of this node are suspect at the same time.', target: target.target, service: target.service })
      return
    }
    context.raise({ kind: 'ejection-wanted', target: target.target, evidence: describeEvidence(monitored, evidence.score, evidence.latency, evidence.errorRate) })
  }

  private isObserverUnhealthy (context: Controllers.StepContext): boolean {
    const active = [...this.monitors].filter(([, monitor]) => monitor.lastWorkAt !== undefined && context.now - monitor.lastWorkAt < ACTIVE_TARGET_MILLISECONDS)
    const suspects = active.filter(([target]) => {
      const monitored = this.monitoredTarget(target, context)
      return monitored !== undefined && monitored.monitor.healthTest.score(monitored.policy.ejectionEvidence) >= SUSPECT_SCORE_FRACTION * monitored.policy.ejectionEvidence
    })
    return ObserverHealth.hasCommonCause(active.length, suspects.length)
  }
}

function isInService (target: Ids.TargetId, context: Controllers.StepContext): boolean {
  return context.board.ejections.stateOf(target).kind === 'in-service'
}

function isInColdStart (monitored: MonitoredTarget, pending: PendingAttempts.PendingAttempt): boolean {
  return pending.dispatchedAt - monitored.target.announcedAt < monitored.policy.coldStart
}

function isFailure (end: Events.AttemptEnd): boolean {
  return end.kind === 'unreachable' || end.kind === 'disconnected' || end.kind === 'timed-out'
}

function describeEvidence (monitored: MonitoredTarget, score: number, latency: number, errorRate: number): string {
  const baseline = monitored.monitor.baselines.median()
  const expected = baseline === undefined
    ? 'no baseline'
    : `others: ${Math.exp(baseline.meanLogLatency).toFixed(0)} ms, errors ${(100 * baseline.errorRate).toFixed(1)} %`
  return `${score.toFixed(1)} nats of ${monitored.policy.ejectionEvidence}; latency ${latency.toFixed(0)} ms, errors ${(100 * errorRate).toFixed(0)} %; ${expected}`
}
