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

  react (event: Events.Event, turn: Controllers.Turn): void {
    if (this.observerHealth.recordEvent(turn.now)) for (const pending of this.pendingAttempts.values()) pending.hasObserverStalled = true
    switch (event.kind) {
      case 'attempt-dispatched': this.handleDispatch(event, turn); break
      case 'attempt-responded': this.handleResponse(event, turn); break
      case 'attempt-finished': this.handleAttemptEnd(event, turn); break
      case 'probe-finished': this.handleProbe(event, turn); break
      case 'target-crashed': this.handleCrash(event, turn); break
      case 'target-announced': this.monitoredTarget(event.target, turn); break
      case 'target-gone': this.removeTarget(event.target, turn); break
      case 'tick': this.tick(turn); break
      default: break
    }
  }

  /** Undefined unless the target is on this VM. Creates a new monitor for each incarnation. */
  private monitoredTarget (id: Ids.TargetId, turn: Controllers.Turn): MonitoredTarget | undefined {
    const target = turn.board.targets.get(id)
    if (target?.host !== turn.board.identity.node) return undefined
    const policy = turn.board.configuration.policyFor({ service: target.service }, turn.now)
    const existing = this.monitors.get(id)
    if (existing?.incarnation === target.incarnation) return { target, monitor: existing, policy }
    const monitor = new TargetMonitors.TargetMonitor(target.incarnation, this.createHealthTest())
    this.monitors.set(id, monitor)
    return { target, monitor, policy }
  }

  private handleDispatch (event: Events.AttemptDispatched, turn: Controllers.Turn): void {
    const monitored = this.monitoredTarget(event.target, turn)
    if (monitored === undefined) return
    const { request, attempt, target } = event
    const pending = { attempt, request, target, dispatchedAt: turn.now, hasResponded: false, hasObserverStalled: false }
    this.pendingAttempts.set(attempt, pending)
    monitored.monitor.pendingAttempts.set(attempt, pending)
    const arrival = turn.board.requests.get(request)?.arrival
    if (arrival === undefined) return
    const baseline = arrival.hop === 'host'
      ? arrival.baseline
      : Baselines.baselineFor(turn.board.evidence, monitored.target.service, target)
    if (baseline !== undefined) monitored.monitor.baselines.add(arrival.from ?? turn.board.identity.node, baseline, turn.now)
  }

  private handleResponse (event: Events.AttemptResponded, turn: Controllers.Turn): void {
    const hasFailed = event.status >= SERVER_ERROR_STATUS
    EntryOutcomes.recordResponse(event, hasFailed, turn)
    const pending = this.pendingAttempts.get(event.attempt)
    const monitored = pending === undefined ? undefined : this.monitoredTarget(pending.target, turn)
    if (pending === undefined || monitored?.monitor.pendingAttempts.has(event.attempt) !== true) return
    pending.hasResponded = true
    monitored.monitor.hangDiagnosis.reportAnswer(pending.dispatchedAt)
    if (event.shed || isInColdStart(monitored, pending) || pending.hasObserverStalled) {
      monitored.monitor.healthTest.retract(pending.attempt)
      return
    }
    this.observe(monitored, pending, hasFailed ? 'failed' : 'answered', event.serviceTime, turn)
  }

  private handleAttemptEnd (event: Events.AttemptFinished, turn: Controllers.Turn): void {
    const hasFailed = isFailure(event.end)
    if (hasFailed) EntryOutcomes.recordFailure(event, turn)
    const pending = this.pendingAttempts.get(event.attempt)
    const monitored = pending === undefined ? undefined : this.monitoredTarget(pending.target, turn)
    this.pendingAttempts.delete(event.attempt)
    // An attempt that the monitor does not know ran on an earlier incarnation of the target.
    if (pending === undefined || monitored?.monitor.pendingAttempts.delete(event.attempt) !== true) return
    const { monitor } = monitored
    if (event.end.kind === 'timed-out' && !pending.hasResponded) this.handleLostRequest(monitored, pending, turn)
    const isEvidence = event.end.kind === 'unreachable' || monitor.hangDiagnosis.countsAgainstTarget(pending.dispatchedAt)
    if (hasFailed && isEvidence && !isInColdStart(monitored, pending) && !pending.hasObserverStalled) {
      if (event.end.kind === 'disconnected') monitor.connectionLostAt = turn.now
      this.observe(monitored, pending, 'failed', event.elapsed, turn)
    }
    monitor.healthTest.finalize(event.attempt)
  }

  private observe (monitored: MonitoredTarget, pending: PendingAttempts.PendingAttempt, outcome: HealthTests.Sample['outcome'], elapsed: number, turn: Controllers.Turn): void {
    const { monitor, target } = monitored
    if (!isInService(target.target, turn)) return
    monitor.observe(monitor.createSample(pending, outcome, elapsed, target, turn.now))
    this.evaluate(monitored, turn)
  }

  private handleProbe (event: Events.ProbeFinished, turn: Controllers.Turn): void {
    const monitored = this.monitoredTarget(event.target, turn)
    if (monitored === undefined || !isInService(event.target, turn)) return
    if (turn.now - monitored.target.announcedAt < monitored.policy.coldStart) return
    if (!event.healthy) monitored.monitor.hangDiagnosis.reportFailedProbe()
    monitored.monitor.healthTest.observeProbe(event.healthy, turn.now)
    this.evaluate(monitored, turn)
  }

  /**
   * Resets the evidence when a blocked request signature explains the crash, because the request and not the target
   * is at fault. The quarantine controller runs before this one, so `crashes.blockEnds` already holds the signature when the event arrives.
   */
  private handleCrash (event: Events.TargetCrashed, turn: Controllers.Turn): void {
    const monitor = this.monitors.get(event.target)
    const isExplained = event.signatures.some(signature => turn.board.crashes.blockEnds.has(signature))
    const lostAt = monitor?.connectionLostAt
    if (monitor === undefined || lostAt === undefined || !isExplained || turn.now - lostAt > CRASH_REPORT_DELAY_MAXIMUM_MILLISECONDS) return
    monitor.reset()
    turn.record({ controller: 'detection', decision: 'crash-explained', evidence: event.signatures.join(' '), target: event.target })
  }

  private removeTarget (target: Ids.TargetId, turn: Controllers.Turn): void {
    for (const attempt of this.monitors.get(target)?.pendingAttempts.keys() ?? []) this.pendingAttempts.delete(attempt)
    this.monitors.delete(target)
    turn.board.evidence.local.delete(target)
  }

  private tick (turn: Controllers.Turn): void {
    for (const id of [...this.monitors.keys()]) {
      const monitored = this.monitoredTarget(id, turn)
      if (monitored === undefined) {
        this.removeTarget(id, turn)
        continue
      }
      const { target } = monitored
      if (isInService(id, turn)) this.observeWaitingAttempts(monitored, turn)
      else monitored.monitor.reset()
      if (target.address !== undefined && monitored.monitor.isProbeDue(monitored.policy, turn.now)) this.probe(monitored, target.address, turn)
      this.evaluate(monitored, turn)
    }
  }

  private probe (monitored: MonitoredTarget, address: Ids.Endpoint, turn: Controllers.Turn): void {
    monitored.monitor.lastProbeAt = turn.now
    turn.emit({ kind: 'probe', target: monitored.target.target, address })
  }

  /** Adds a sample for each attempt that waits for its response. */
  private observeWaitingAttempts (monitored: MonitoredTarget, turn: Controllers.Turn): void {
    const { monitor, target } = monitored
    const baseline = monitor.baselines.median()
    for (const pending of monitor.pendingAttempts.values()) {
      if (pending.hasResponded || pending.hasObserverStalled || isInColdStart(monitored, pending)) continue
      const elapsed = turn.now - pending.dispatchedAt
      const isLost = baseline === undefined
        ? elapsed >= LOST_REQUEST_MILLISECONDS_WITHOUT_BASELINE
        : LogLikelihoodRatios.ofLostRequest(elapsed, baseline) >= LogLikelihoodRatios.INCREMENT_MAXIMUM_NATS
      if (isLost) this.handleLostRequest(monitored, pending, turn)
      if (monitor.hangDiagnosis.countsAgainstTarget(pending.dispatchedAt)) monitor.observe(monitor.createSample(pending, 'waiting', elapsed, target, turn.now))
      else monitor.healthTest.retract(pending.attempt)
    }
  }

  /** Retires the pooled connections and probes the target, to tell a dead connection from a hanging target. */
  private handleLostRequest (monitored: MonitoredTarget, pending: PendingAttempts.PendingAttempt, turn: Controllers.Turn): void {
    const { target, monitor } = monitored
    if (target.address === undefined || !monitor.hangDiagnosis.reportLostRequest(pending.dispatchedAt, turn.now)) return
    turn.emit({ kind: 'retire-connections', address: target.address })
    turn.record({ controller: 'detection', decision: 'connections-retired', evidence: `No response for ${turn.now - pending.dispatchedAt} ms.`, target: target.target, service: target.service })
    this.probe(monitored, target.address, turn)
  }

  /** Publishes the evidence and requests ejection when it reaches the threshold. */
  private evaluate (monitored: MonitoredTarget, turn: Controllers.Turn): void {
    const { monitor, target, policy } = monitored
    const evidence = monitor.evidence(policy.ejectionEvidence)
    turn.board.evidence.local.set(target.target, evidence)
    if (evidence.score < policy.ejectionEvidence || !isInService(target.target, turn)) return
    if (monitor.ejectionRequestedAt !== undefined && turn.now - monitor.ejectionRequestedAt < EJECTION_REQUEST_INTERVAL_MILLISECONDS) return
    monitor.ejectionRequestedAt = turn.now
    if (this.isObserverUnhealthy(turn)) {
      turn.record({ controller: 'detection', decision: 'observer-unhealthy', evidence: 'More than half of the active targets of this node are suspect at the same time.', target: target.target, service: target.service })
      return
    }
    turn.raise({ kind: 'ejection-wanted', target: target.target, evidence: describeEvidence(monitored, evidence.score, evidence.latency, evidence.errorRate) })
  }

  private isObserverUnhealthy (turn: Controllers.Turn): boolean {
    const active = [...this.monitors].filter(([, monitor]) => monitor.lastWorkAt !== undefined && turn.now - monitor.lastWorkAt < ACTIVE_TARGET_MILLISECONDS)
    const suspects = active.filter(([target]) => {
      const monitored = this.monitoredTarget(target, turn)
      return monitored !== undefined && monitored.monitor.healthTest.score(monitored.policy.ejectionEvidence) >= SUSPECT_SCORE_FRACTION * monitored.policy.ejectionEvidence
    })
    return ObserverHealth.hasCommonCause(active.length, suspects.length)
  }
}

function isInService (target: Ids.TargetId, turn: Controllers.Turn): boolean {
  return turn.board.ejections.stateOf(target).kind === 'in-service'
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
