/** What this entry knows about each target it may use, with the age of that knowledge. */
import * as Decisions from '@jasminedale/decisions'
import type * as HostReports from '../host/host-report.js'

/** A reported load fades with this time constant: single requests end sooner, but a busy target stays busy for seconds. */
const LOAD_MEMORY = Decisions.Clock.milliseconds(1_500)
/** Time after the pause of a closed target for which it is taken to be closed: trials come about once a second. */
const CLOSED_MEMORY = Decisions.Clock.seconds(2)
/** Pause after a host could not be reached; doubles with each failure in a row. */
const UNREACHABLE_PAUSE = Decisions.Clock.milliseconds(500)
const UNREACHABLE_PAUSE_MAXIMUM = Decisions.Clock.seconds(8)
/** Service time assumed for a target that has not reported yet: it looks average until it answers. */
const SERVICE_TIME_UNKNOWN = Decisions.Clock.milliseconds(0)

export interface HostView {
  inFlight: number
  report: HostReports.HostReport | undefined
  reportedAt: Decisions.Clock.Milliseconds
  /** Instant from which a closed target may get a trial; undefined when it is open. */
  closedUntil: Decisions.Clock.Milliseconds | undefined
  avoidedUntil: Decisions.Clock.Milliseconds
  failuresInRow: number
}

export class HostViews {
  private readonly byTarget = new Map<Decisions.Ids.TargetId, HostView>()

  of (target: Decisions.Ids.TargetId): HostView {
    const known = this.byTarget.get(target)
    if (known !== undefined) return known
    const zero = Decisions.Clock.milliseconds(0)
    const fresh: HostView = { inFlight: 0, report: undefined, reportedAt: zero, closedUntil: undefined, avoidedUntil: zero, failuresInRow: 0 }
    this.byTarget.set(target, fresh)
    return fresh
  }

  /** The host answered, and said this. */
  reported (target: Decisions.Ids.TargetId, report: HostReports.HostReport, now: Decisions.Clock.Milliseconds): void {
    this.heard(target, report, now)
    const view = this.of(target)
    view.failuresInRow = 0
    view.avoidedUntil = Decisions.Clock.milliseconds(0)
  }

  /** The host said this unasked. That does not show that this node can reach it. */
  heard (target: Decisions.Ids.TargetId, report: HostReports.HostReport, now: Decisions.Clock.Milliseconds): void {
    const view = this.of(target)
    view.report = report
    view.reportedAt = now
    view.closedUntil = report.closedFor === undefined ? undefined : Decisions.Clock.add(now, Decisions.Clock.milliseconds(report.closedFor))
  }

  /** Another host of the target's data center said whether the target is closed. */
  toldOf (target: Decisions.Ids.TargetId, isClosed: boolean, now: Decisions.Clock.Milliseconds): void {
    const view = this.of(target)
    if (!isClosed) view.closedUntil = undefined
    else if (view.closedUntil === undefined || view.closedUntil < now) view.closedUntil = now
  }

  /** The host refused because it is leaving or serves another target now. */
  avoid (target: Decisions.Ids.TargetId, duration: Decisions.Clock.Milliseconds, now: Decisions.Clock.Milliseconds): void {
    this.of(target).avoidedUntil = Decisions.Clock.add(now, duration)
  }

  /** The host gave no sign of life. Returns the time for which it is avoided. */
  unreachable (target: Decisions.Ids.TargetId, now: Decisions.Clock.Milliseconds): Decisions.Clock.Milliseconds {
    const view = this.of(target)
    const pause = Math.min(UNREACHABLE_PAUSE * 2 ** view.failuresInRow, UNREACHABLE_PAUSE_MAXIMUM)
    view.failuresInRow += 1
    view.avoidedUntil = Decisions.Clock.add(now, Decisions.Clock.milliseconds(pause))
    return Decisions.Clock.milliseconds(pause)
  }

  remove (target: Decisions.Ids.TargetId): void {
    this.byTarget.delete(target)
  }
}

/** Requests at the target: own ones, and those of others as far as the report is fresh. */
export function busyness (view: HostView, now: Decisions.Clock.Milliseconds): number {
  if (view.report === undefined) return view.inFlight
  const weight = Math.exp(-Math.max(0, now - view.reportedAt) / LOAD_MEMORY)
  return Math.max(view.inFlight, weight * (view.report.running + view.report.waiting))
}

/** Milliseconds until the target may be tried; zero after a pause whose outcome is not known yet; undefined when open. */
export function closedFor (view: HostView, now: Decisions.Clock.Milliseconds): number | undefined {
  return view.closedUntil === undefined ? undefined : Math.max(0, view.closedUntil - now)
}

/**
 * Whether the host is known to take only trials: after the pause it still refuses other work until a trial has
 * succeeded. News of that may get lost, so the knowledge expires.
 */
export function takesOnlyTrials (view: HostView, now: Decisions.Clock.Milliseconds): boolean {
  return view.closedUntil !== undefined && now < view.closedUntil + CLOSED_MEMORY
}

/** Failures that the host has seen since it closed its target. */
export function failures (view: HostView): number {
  return view.report?.failures ?? 0
}

export function serviceTime (view: HostView): Decisions.Clock.Milliseconds {
  return view.report?.serviceTime ?? SERVICE_TIME_UNKNOWN
}
