/** Weighs evidence about the health of targets: real work, requests in flight, probes and baselines. */
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'
import type * as Targets from '../membership/targets.js'
import * as Baselines from './baseline.js'
import type * as HealthTests from './health-test.js'
import * as EntryWatch from './entry-watch.js'
import type * as Flights from './flight.js'
import * as Likelihood from './likelihood.js'
import * as Observers from './observer.js'
import * as SequentialTests from './sequential-test.js'
import * as Subjects from './subject.js'

const SERVER_ERROR_STATUS = 500
const SUSPECT_SHARE = 0.5
/** Interval at which a standing wish for ejection is repeated. */
const RAISE_MILLISECONDS = 200
/** A crash is announced at most this long after its connections were lost. */
const CRASH_MILLISECONDS = 1_000
/** Targets without work for this long do not vote on whether this node is unhealthy. */
const WORKING_MILLISECONDS = 30_000
const LOST_WITHOUT_BASELINE_MILLISECONDS = 2_000

/** A local target with what is kept about it. */
interface Case {
  readonly target: Targets.Target
  readonly subject: Subjects.Subject
  readonly policy: Policies.Policy
}

export class Detection extends Controllers.Controller {
  private readonly subjects = new Map<Ids.TargetId, Subjects.Subject>()
  private readonly flights = new Map<Ids.AttemptId, Flights.Flight>()
  private readonly observer = new Observers.Observer()

  constructor (private readonly decider: () => HealthTests.HealthTest = () => new SequentialTests.SequentialTest()) {
    super()
  }

  react (event: Events.Event, turn: Controllers.Turn): void {
    if (this.observer.stalled(turn.now)) for (const flight of this.flights.values()) flight.stalled = true
    switch (event.kind) {
      case 'attempt-dispatched': this.dispatched(event, turn); break
      case 'attempt-responded': this.responded(event, turn); break
      case 'attempt-finished': this.finished(event, turn); break
      case 'probe-finished': this.probed(event, turn); break
      case 'target-crashed': this.crashed(event, turn); break
      case 'target-announced': this.caseOf(event.target, turn); break
      case 'target-gone': this.forget(event.target, turn); break
      case 'tick': this.tick(turn); break
      default: break
    }
  }

  private caseOf (id: Ids.TargetId, turn: Controllers.Turn): Case | undefined {
    const target = turn.board.targets.get(id)
    if (target?.host !== turn.board.identity.node) return undefined
    const policy = turn.board.configuration.policyFor({ service: target.service }, turn.now)
    const known = this.subjects.get(id)
    if (known?.incarnation === target.incarnation) return { target, subject: known, policy }
    const subject = new Subjects.Subject(target.incarnation, this.decider())
    this.subjects.set(id, subject)
    return { target, subject, policy }
  }

  private dispatched (event: Events.AttemptDispatched, turn: Controllers.Turn): void {
    const found = this.caseOf(event.target, turn)
    if (found === undefined) return
    const { request, attempt, target } = event
    const flight = { attempt, request, target, dispatchedAt: turn.now, answered: false, stalled: false }
    this.flights.set(attempt, flight)
    found.subject.flights.set(attempt, flight)
    const arrival = turn.board.requests.get(request)?.arrival
    if (arrival === undefined) return
    const baseline = arrival.hop === 'host'
      ? arrival.baseline
      : Baselines.baselineFor(turn.board.evidence, found.target.service, target)
    if (baseline !== undefined) found.subject.references.add(arrival.from ?? turn.board.identity.node, baseline, turn.now)
  }

  private responded (event: Events.AttemptResponded, turn: Controllers.Turn): void {
    const failed = event.status >= SERVER_ERROR_STATUS
    EntryWatch.responded(event, failed, turn)
    const flight = this.flights.get(event.attempt)
    const found = flight === undefined ? undefined : this.caseOf(flight.target, turn)
    if (flight === undefined || found?.subject.flights.has(event.attempt) !== true) return
    flight.answered = true
    found.subject.silence.answered(flight.dispatchedAt)
    if (event.shed || isCold(found, flight) || flight.stalled) {
      found.subject.decider.retract(flight.attempt)
      return
    }
    this.observe(found, flight, failed ? 'failed' : 'answered', event.serviceTime, turn)
  }

  private finished (event: Events.AttemptFinished, turn: Controllers.Turn): void {
    const failed = isFailure(event.end)
    if (failed) EntryWatch.failed(event, turn)
    const flight = this.flights.get(event.attempt)
    const found = flight === undefined ? undefined : this.caseOf(flight.target, turn)
    this.flights.delete(event.attempt)
    // A flight that the subject does not know ran on an earlier incarnation of the target.
    if (flight === undefined || found?.subject.flights.delete(event.attempt) !== true) return
    const { subject } = found
    if (event.end.kind === 'timed-out' && !flight.answered) this.lost(found, flight, turn)
    const counts = event.end.kind === 'unreachable' || subject.silence.counts(flight.dispatchedAt)
    if (failed && counts && !isCold(found, flight) && !flight.stalled) {
      if (event.end.kind === 'disconnected') subject.lastLoss = turn.now
      this.observe(found, flight, 'failed', event.elapsed, turn)
    }
    subject.decider.finalize(event.attempt)
  }

  private observe (found: Case, flight: Flights.Flight, outcome: HealthTests.Sample['outcome'], elapsed: number, turn: Controllers.Turn): void {
    const { subject, target } = found
    if (!isInService(target.target, turn)) return
    subject.observe(subject.sample(flight, outcome, elapsed, target, turn.now))
    this.conclude(found, turn)
  }

  private probed (event: Events.ProbeFinished, turn: Controllers.Turn): void {
    const found = this.caseOf(event.target, turn)
    if (found === undefined || !isInService(event.target, turn)) return
    if (turn.now - found.target.announcedAt < found.policy.coldStart) return
    if (!event.healthy) found.subject.silence.probeFailed()
    found.subject.decider.observeProbe(event.healthy, turn.now)
    this.conclude(found, turn)
  }

  /**
   * Withdraws the evidence of a crash that a blocked signature explains. Quarantine comes before this
   * controller, so `crashes.blocked` already holds the signature when the event arrives.
   */
  private crashed (event: Events.TargetCrashed, turn: Controllers.Turn): void {
    const subject = this.subjects.get(event.target)
    const explained = event.signatures.some(signature => turn.board.crashes.blocked.has(signature))
    const loss = subject?.lastLoss
    if (subject === undefined || loss === undefined || !explained || turn.now - loss > CRASH_MILLISECONDS) return
    subject.restart()
    turn.record({ controller: 'detection', decision: 'crash-explained', evidence: event.signatures.join(' '), target: event.target })
  }

  private forget (target: Ids.TargetId, turn: Controllers.Turn): void {
    for (const attempt of this.subjects.get(target)?.flights.keys() ?? []) this.flights.delete(attempt)
    this.subjects.delete(target)
    turn.board.evidence.local.delete(target)
  }

  private tick (turn: Controllers.Turn): void {
    for (const id of [...this.subjects.keys()]) {
      const found = this.caseOf(id, turn)
      if (found === undefined) {
        this.forget(id, turn)
        continue
      }
      const { target } = found
      if (isInService(id, turn)) this.weighWaiting(found, turn)
      else found.subject.restart()
      if (target.address !== undefined && found.subject.probeIsDue(found.policy, turn.now)) this.probe(found, target.address, turn)
      this.conclude(found, turn)
    }
  }

  private probe (found: Case, address: Ids.Endpoint, turn: Controllers.Turn): void {
    found.subject.lastProbe = turn.now
    turn.emit({ kind: 'probe', target: found.target.target, address })
  }

  private weighWaiting (found: Case, turn: Controllers.Turn): void {
    const { subject, target } = found
    const reference = subject.references.median()
    for (const flight of subject.flights.values()) {
      if (flight.answered || flight.stalled || isCold(found, flight)) continue
      const elapsed = turn.now - flight.dispatchedAt
      const lost = reference === undefined
        ? elapsed >= LOST_WITHOUT_BASELINE_MILLISECONDS
        : Likelihood.lostWait(elapsed, reference) >= Likelihood.LARGEST_INCREMENT
      if (lost) this.lost(found, flight, turn)
      if (subject.silence.counts(flight.dispatchedAt)) subject.observe(subject.sample(flight, 'waiting', elapsed, target, turn.now))
      else subject.decider.retract(flight.attempt)
    }
  }

  /** A request seems lost: rules out silent connections before the target is blamed. */
  private lost (found: Case, flight: Flights.Flight, turn: Controllers.Turn): void {
    const { target, subject } = found
    if (target.address === undefined || !subject.silence.lost(flight.dispatchedAt, turn.now)) return
    turn.emit({ kind: 'retire-connections', address: target.address })
    turn.record({ controller: 'detection', decision: 'connections-retired', evidence: `No response for ${turn.now - flight.dispatchedAt} ms.`, target: target.target, service: target.service })
    this.probe(found, target.address, turn)
  }

  /** Publishes the evidence and asks for ejection when it suffices. */
  private conclude (found: Case, turn: Controllers.Turn): void {
    const { subject, target, policy } = found
    const evidence = subject.evidence(policy.ejectionEvidence)
    turn.board.evidence.local.set(target.target, evidence)
    if (evidence.score < policy.ejectionEvidence || !isInService(target.target, turn)) return
    if (subject.lastRaised !== undefined && turn.now - subject.lastRaised < RAISE_MILLISECONDS) return
    subject.lastRaised = turn.now
    if (this.isObserverSick(turn)) {
      turn.record({ controller: 'detection', decision: 'observer-unhealthy', evidence: 'Most targets of this node are suspect at once.', target: target.target, service: target.service })
      return
    }
    turn.raise({ kind: 'ejection-wanted', target: target.target, evidence: describe(found, evidence.score, evidence.latency, evidence.errorRate) })
  }

  private isObserverSick (turn: Controllers.Turn): boolean {
    const working = [...this.subjects].filter(([, subject]) => subject.lastWork !== undefined && turn.now - subject.lastWork < WORKING_MILLISECONDS)
    const suspect = working.filter(([target]) => {
      const found = this.caseOf(target, turn)
      return found !== undefined && found.subject.decider.score(found.policy.ejectionEvidence) >= SUSPECT_SHARE * found.policy.ejectionEvidence
    })
    return Observers.hasCommonCause(working.length, suspect.length)
  }
}

function isInService (target: Ids.TargetId, turn: Controllers.Turn): boolean {
  return turn.board.ejections.stateOf(target).kind === 'in-service'
}

function isCold (found: Case, flight: Flights.Flight): boolean {
  return flight.dispatchedAt - found.target.announcedAt < found.policy.coldStart
}

function isFailure (end: Events.AttemptEnd): boolean {
  return end.kind === 'unreachable' || end.kind === 'disconnected' || end.kind === 'timed-out'
}

function describe (found: Case, score: number, latency: number, errorRate: number): string {
  const reference = found.subject.references.median()
  const usual = reference === undefined
    ? 'no baseline'
    : `others: ${Math.exp(reference.meanLogLatency).toFixed(0)} ms, errors ${(100 * reference.errorRate).toFixed(1)} %`
  return `${score.toFixed(1)} nats of ${found.policy.ejectionEvidence}; latency ${latency.toFixed(0)} ms, errors ${(100 * errorRate).toFixed(0)} %; ${usual}`
}
