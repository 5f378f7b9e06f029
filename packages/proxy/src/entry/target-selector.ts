/** Chooses the target of an attempt: usable, near and cheap. */
import * as Decisions from '@jasminedale/decisions'
import type * as Registrations from '../directory/registration.js'
import * as HostViews from './host-views.js'

export interface NodeLocation {
  readonly host: Decisions.Ids.Endpoint
  readonly dataCenter: Decisions.Ids.DataCenter
  readonly region: Decisions.Ids.Region
}

export interface SelectionCriteria {
  /** A failure would be final: targets whose recovery is not confirmed are avoided. */
  readonly isFailureFinal: boolean
  /** Targets that are known to be closed are considered too. */
  readonly mayBypassBreaker: boolean
  /** Targets that already ran the request or refused it. */
  readonly excluded: ReadonlySet<Decisions.Ids.TargetId>
}

type Distance = 0 | 1 | 2 | 3

/**
 * Cost of a farther target in units of one slot's load: bytes between zones and regions are paid for,
 * so work leaves a zone only when that zone is about that much busier.
 */
const DISTANCE_COST: Readonly<Record<Distance, number>> = { 0: 0, 1: 0.1, 2: 1.4, 3: 2.6 }
/** Cost of each failure of a closed target that is tried all the same: an isolated failure is often the usual rate of errors. */
const FAILURE_COST = 0.5
/** Farthest distance of a trial: beyond the data center, bytes are paid for. */
const TRIAL_DISTANCE = 1
/** Farthest distance of a closed target that is tried while open ones are full: bytes beyond the data center are paid for. */
const SUSPECT_DISTANCE = 1
/** Failures of such a target: one is as often the usual rate of errors as the start of a fault, two are hardly ever. */
const SUSPECT_FAILURES = 1
/** Failures beyond which more of them count no further. */
const FAILURES_MAXIMUM = 4
/** Extra cost of a target whose recovery is not confirmed, for requests that must not fail there. */
const UNCONFIRMED_COST = 0.8
/** Ratio to the mean service time of the candidates beyond which slowness counts no further. */
const SLOWNESS_MAXIMUM = 10

interface Option {
  readonly registration: Registrations.Registration
  readonly distance: Distance
  readonly cost: number
}

export function distanceOf (place: NodeLocation, registration: Registrations.Registration): Distance {
  if (registration.host === place.host) return 0
  if (registration.dataCenter === place.dataCenter) return 1
  return registration.region === place.region ? 2 : 3
}

export class TargetSelector {
  /** Two random picks bound the herd that stale reports would send to the one cheapest target. */
  private readonly selection = new Decisions.Selections.TwoChoices()

  constructor (
    private readonly place: NodeLocation,
    private readonly views: HostViews.HostViews,
    private readonly random: Decisions.Random.Random
  ) {}

  /** The target of the next attempt, or undefined when none is usable. */
  choose (candidates: readonly Registrations.Registration[], wish: SelectionCriteria, now: Decisions.Clock.Milliseconds): Registrations.Registration | undefined {
    const usable = candidates.filter(candidate => !wish.excluded.has(candidate.target) && this.views.of(candidate.target).avoidedUntil <= now)
    const open = usable.filter(candidate => wish.mayBypassBreaker || this.takes(candidate, wish, now))
    const due = wish.isFailureFinal || wish.mayBypassBreaker ? undefined : this.random.pick(open.filter(candidate => this.isDue(candidate, now)))
    if (due !== undefined) return due
    const reference = this.meanServiceTime(open)
    const options = open.map(candidate => this.option(candidate, wish, reference, now))
    let best: Option | undefined
    for (const distance of [0, 1, 2, 3] as const) {
      const chosen = this.selection.choose(options.filter(option => option.distance === distance), this.random)
      if (chosen !== undefined && (best === undefined || chosen.cost < best.cost)) best = chosen
    }
    return best?.registration
  }

  /** Whether any candidate is closed, so that a request which insists could run there. */
  anyClosed (candidates: readonly Registrations.Registration[], now: Decisions.Clock.Milliseconds): boolean {
    return candidates.some(candidate => HostViews.takesOnlyTrials(this.views.of(candidate.target), now))
  }

  /**
   * Whether a near target waits for a trial. Requests that may be the trial go there first: until one succeeds, the
   * target is lost for all other work.
   */
  private isDue (registration: Registrations.Registration, now: Decisions.Clock.Milliseconds): boolean {
    return distanceOf(this.place, registration) <= TRIAL_DISTANCE && HostViews.closedFor(this.views.of(registration.target), now) === 0
  }

  /** The less busy of two closed targets near by that have failed no more than once since they closed. */
  suspect (candidates: readonly Registrations.Registration[], excluded: ReadonlySet<Decisions.Ids.TargetId>, now: Decisions.Clock.Milliseconds): Registrations.Registration | undefined {
    const suspects = candidates.filter(candidate => {
      const view = this.views.of(candidate.target)
      return !excluded.has(candidate.target) && view.avoidedUntil <= now && distanceOf(this.place, candidate) <= SUSPECT_DISTANCE &&
        HostViews.takesOnlyTrials(view, now) && HostViews.failures(view) <= SUSPECT_FAILURES
    })
    return this.selection.choose(suspects.map(registration => ({ registration, cost: HostViews.busyness(this.views.of(registration.target), now) })), this.random)?.registration
  }

  private takes (registration: Registrations.Registration, { isFailureFinal: careful }: SelectionCriteria, now: Decisions.Clock.Milliseconds): boolean {
    const view = this.views.of(registration.target)
    return careful ? !HostViews.takesOnlyTrials(view, now) : (HostViews.closedFor(view, now) ?? 0) <= 0
  }

  /** Milliseconds until a closed or avoided target may be tried again; undefined when there is none. */
  nextOpening (candidates: readonly Registrations.Registration[], now: Decisions.Clock.Milliseconds): number | undefined {
    const waits = candidates.map(candidate => {
      const view = this.views.of(candidate.target)
      return Math.max(HostViews.closedFor(view, now) ?? 0, view.avoidedUntil - now)
    })
    return waits.length === 0 ? undefined : Math.max(0, Math.min(...waits))
  }

  private option (registration: Registrations.Registration, wish: SelectionCriteria, reference: number, now: Decisions.Clock.Milliseconds): Option {
    const view = this.views.of(registration.target)
    const distance = distanceOf(this.place, registration)
    const own = HostViews.serviceTime(view)
    const slowness = own > 0 && reference > 0 ? Math.min(own / reference, SLOWNESS_MAXIMUM) : 1
    const unconfirmed = wish.isFailureFinal && HostViews.closedFor(view, now) !== undefined ? UNCONFIRMED_COST : 0
    const failed = wish.mayBypassBreaker ? FAILURE_COST * Math.min(HostViews.failures(view), FAILURES_MAXIMUM) : 0
    const load = (HostViews.busyness(view, now) + 1) / registration.slots
    return { registration, distance, cost: load * slowness + DISTANCE_COST[distance] + unconfirmed + failed }
  }

  private meanServiceTime (candidates: readonly Registrations.Registration[]): number {
    const known = candidates.map(candidate => HostViews.serviceTime(this.views.of(candidate.target))).filter(time => time > 0)
    if (known.length === 0) return 0
    return known.reduce((sum, time) => sum + time, 0) / known.length
  }
}
