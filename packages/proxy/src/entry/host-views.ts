/** What this entry node knows about the load and health of each target and its host, from reports and from its own requests. */
import * as Decisions from '@jasminedale/decisions'
import type * as HostReports from '../host/host-report.js'

/** Time constant with which a reported load decays. Single requests end sooner, but a busy target stays busy for seconds. */
const LOAD_DECAY = Decisions.Clock.milliseconds(1_500)
/** Time constant with which a reported slowness returns to that of an average target; a slow target must be tried again to show that it has recovered. */
const SLOWNESS_DECAY = Decisions.Clock.seconds(30)
/** Time after the probe delay for which a circuit breaker is assumed to stay tripped if its host reports nothing. Probes come about once a second. */
const TRIPPED_STATE_LIFETIME = Decisions.Clock.seconds(2)
/** Time for which an unreachable host is avoided; doubles with each consecutive failure. */
const UNREACHABLE_BACKOFF = Decisions.Clock.milliseconds(500)
const UNREACHABLE_BACKOFF_MAXIMUM = Decisions.Clock.seconds(8)
/** Stands for an unknown service time; such a target counts as average in the choice. */
const SERVICE_TIME_UNKNOWN = Decisions.Clock.milliseconds(0)

/** What is known about one target and its host. */
export interface HostView {
  /** Requests of this node that are in flight to the target. */
  inFlight: number
  /** Their expected cost, in ms of an average target. */
  inFlightWork: number
  /** Expected cost of the requests that this node has sent to the target since its last report. */
  workSinceReport: number
  /** Their number. */
  requestsSinceReport: number
  report: HostReports.HostReport | undefined
  reportedAt: Decisions.Clock.Milliseconds
  /** When the target may get a probe request; undefined unless its circuit breaker is tripped. */
  nextProbeAt: Decisions.Clock.Milliseconds | undefined
  /** Until then the target gets no requests, because its host was unreachable or does not serve it. */
  avoidedUntil: Decisions.Clock.Milliseconds
  /** Consecutive failures to reach the host. */
  consecutiveFailures: number
}

export class HostViews {
  private readonly byTarget = new Map<Decisions.Ids.TargetId, HostView>()

  /** The view of a target, created if there is none. */
  of (target: Decisions.Ids.TargetId): HostView {
    const existing = this.byTarget.get(target)
    if (existing !== undefined) return existing
    const zero = Decisions.Clock.milliseconds(0)
    const created: HostView = { inFlight: 0, inFlightWork: 0, workSinceReport: 0, requestsSinceReport: 0, report: undefined, reportedAt: zero, nextProbeAt: undefined, avoidedUntil: zero, consecutiveFailures: 0 }
    this.byTarget.set(target, created)
    return created
  }

  /** Records the report in a response of the host, which also shows that the host is reachable. */
  recordResponse (target: Decisions.Ids.TargetId, report: HostReports.HostReport, now: Decisions.Clock.Milliseconds): void {
    this.recordReport(target, report, now)
    const view = this.of(target)
    view.consecutiveFailures = 0
    view.avoidedUntil = Decisions.Clock.milliseconds(0)
  }

  /** Records a report that the host sent by itself, which does not show that this node can reach the host. */
  recordReport (target: Decisions.Ids.TargetId, report: HostReports.HostReport, now: Decisions.Clock.Milliseconds): void {
    const view = this.of(target)
    view.report = report
    view.reportedAt = now
    view.workSinceReport = 0
    view.requestsSinceReport = 0
    view.nextProbeAt = report.timeUntilProbe === undefined ? undefined : Decisions.Clock.add(now, Decisions.Clock.milliseconds(report.timeUntilProbe))
  }

  /** Records the state of the target's circuit breaker as reported by another host of its data center. */
  recordBreakerState (target: Decisions.Ids.TargetId, isBreakerTripped: boolean, now: Decisions.Clock.Milliseconds): void {
    const view = this.of(target)
    if (!isBreakerTripped) view.nextProbeAt = undefined
    else if (view.nextProbeAt === undefined || view.nextProbeAt < now) view.nextProbeAt = now
  }

  /** Keeps requests away from a target whose host does not serve it any more. */
  avoid (target: Decisions.Ids.TargetId, duration: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    this.of(target).avoidedUntil = Decisions.Clock.add(now, duration)
  }

  /** Records that the host was unreachable. Returns the time in ms for which the target is avoided. */
  recordUnreachable (target: Decisions.Ids.TargetId, now: Decisions.Clock.Milliseconds): Decisions.Clock.Milliseconds {
    const view = this.of(target)
    const backoff = Math.min(UNREACHABLE_BACKOFF * 2 ** view.consecutiveFailures, UNREACHABLE_BACKOFF_MAXIMUM)
    view.consecutiveFailures += 1
    view.avoidedUntil = Decisions.Clock.add(now, Decisions.Clock.milliseconds(backoff))
    return Decisions.Clock.milliseconds(backoff)
  }

  remove (target: Decisions.Ids.TargetId): void {
    this.byTarget.delete(target)
  }
}

/** Estimated number of requests at the target: those of this node, or the reported ones, which decay with the age of the report. */
export function outstandingRequests (view: HostView, now: Decisions.Clock.Milliseconds): number {
  if (view.report === undefined) return view.inFlight
  const weight = Math.exp(-Math.max(0, now - view.reportedAt) / LOAD_DECAY)
  return Math.max(view.inFlight, weight * (view.report.running + view.report.queued))
}

/** Work in ms of an average target that counts as one request: of one that was sent, and of one that a target reports. */
export interface WorkUnits {
  readonly mean: number
  readonly meanLeft: number
}

/**
 * Estimated work at the target, in requests: that of this node, or the reported work, which decays with the age of the
 * report, and what this node has sent since. Without a report of work, its requests count.
 */
export function outstandingWork (view: HostView, { mean, meanLeft }: WorkUnits, now: Decisions.Clock.Milliseconds): number {
  const { report } = view
  if (report === undefined) return view.inFlightWork / mean
  // A slow target takes longer to work off what it has, and to send the next report.
  const weight = Math.exp(-Math.max(0, now - view.reportedAt) / (LOAD_DECAY * Math.max(1, slowness(view, now) ?? 1)))
  const reported = report.work === undefined ? report.running + report.queued : report.work.left / meanLeft
  return Math.max(view.inFlightWork / mean, weight * reported + view.workSinceReport / mean)
}

/** Whether the target had a free slot at its last report that this node has not used since. A target without a report counts as idle. */
export function hasFreeSlot (view: HostView, slots: number): boolean {
  return view.report === undefined ? view.inFlight < slots : view.report.queued === 0 && view.report.running + view.requestsSinceReport < slots
}

/** How many times longer the target takes than an average one; undefined if its host does not report it. */
export function slowness (view: HostView, now: Decisions.Clock.Milliseconds): number | undefined {
  const reported = view.report?.work?.slowness
  return reported === undefined ? undefined : 1 + (reported - 1) * Math.exp(-Math.max(0, now - view.reportedAt) / SLOWNESS_DECAY)
}

/** Milliseconds until the target may get a probe request, zero if one is due; undefined unless its circuit breaker is tripped. */
export function timeUntilProbe (view: HostView, now: Decisions.Clock.Milliseconds): number | undefined {
  return view.nextProbeAt === undefined ? undefined : Math.max(0, view.nextProbeAt - now)
}

/**
 * Whether the target's circuit breaker is assumed to be tripped, so that it accepts only probe requests, also after the
 * probe delay until a probe has succeeded. The report of that may get lost, so the assumption expires.
 */
export function isTripped (view: HostView, now: Decisions.Clock.Milliseconds): boolean {
  return view.nextProbeAt !== undefined && now < view.nextProbeAt + TRIPPED_STATE_LIFETIME
}

/** Failures since the target's circuit breaker tripped. */
export function failures (view: HostView): number {
  return view.report?.failures ?? 0
}

/** Mean service time that the host reported last. */
export function serviceTime (view: HostView): Decisions.Clock.Milliseconds {
  return view.report?.serviceTime ?? SERVICE_TIME_UNKNOWN
}
