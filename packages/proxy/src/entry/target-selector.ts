/** Load balancer: chooses the target of an attempt by health, distance and load. */
import * as Decisions from '@jasminedale/decisions'
import type * as Registrations from '../directory/registration.js'
import * as HostViews from './host-views.js'

/** Address of a node, and where it is. */
export interface NodeLocation {
  readonly host: Decisions.Ids.Endpoint
  readonly dataCenter: Decisions.Ids.DataCenter
  readonly region: Decisions.Ids.Region
}

export interface SelectionCriteria {
  /** The request cannot be retried after a failure, so that targets with a tripped circuit breaker are avoided. */
  readonly isFailureFinal: boolean
  /** Targets are considered whether or not their circuit breakers are tripped. */
  readonly mayBypassBreaker: boolean
  /** Targets that have already run the request or refused it. */
  readonly excluded: ReadonlySet<Decisions.Ids.TargetId>
  /** Expected cost of the request in ms of an average target, and the units of its service; undefined while requests are placed by their number. */
  readonly cost?: HostViews.WorkUnits & { readonly request: number } | undefined
}

/** 0: same node; 1: same data center; 2: same region; 3: another region. */
type Distance = 0 | 1 | 2 | 3

/**
 * Cost of a target by distance, in units of one request per slot. Traffic between data centers and regions is billed, so
 * requests leave a data center only if its targets are more loaded by about this much.
 */
const DISTANCE_COST: Readonly<Record<Distance, number>> = { 0: 0, 1: 0.1, 2: 1.4, 3: 2.6 }
/** Cost of each failure since a circuit breaker tripped, when it is bypassed: one failure is often due to the usual error rate. */
const FAILURE_COST = 0.5
/** Probe requests stay in the data center, since traffic beyond it is billed. */
const PROBE_DISTANCE_MAXIMUM = 1
/** Overflow to targets with a tripped circuit breaker stays in the data center, since traffic beyond it is billed. */
const OVERFLOW_DISTANCE_MAXIMUM = 1
/** One failure is as often due to the usual error rate as to the start of a fault; two are almost always due to a fault. */
const OVERFLOW_FAILURES_MAXIMUM = 1
/** Further failures add no cost. */
const COUNTED_FAILURES_MAXIMUM = 4
/** Extra cost, for requests that cannot be retried, of a target that is not known to have passed a probe since its circuit breaker tripped. */
const UNCONFIRMED_RECOVERY_COST = 0.8
/** Highest ratio of a target's service time to the mean of the candidates that counts. */
const SLOWNESS_MAXIMUM = 10

interface ScoredCandidate {
  readonly registration: Registrations.Registration
  readonly distance: Distance
  readonly cost: number
  /** Known to have a free slot and not to be slow. */
  readonly isFree: boolean
}

/** Targets slower than this are not chosen for a free slot alone. */
const FREE_SLOWNESS_MAXIMUM = 2

export function distanceOf (location: NodeLocation, registration: Registrations.Registration): Distance {
  if (registration.host === location.host) return 0
  if (registration.dataCenter === location.dataCenter) return 1
  return registration.region === location.region ? 2 : 3
}

/** Requests that the target has with this one; placed by cost, weighted by their work. */
function loadOf (view: HostViews.HostView, { cost }: SelectionCriteria, now: Decisions.Clock.Milliseconds): number {
  return cost === undefined ? HostViews.outstandingRequests(view, now) + 1 : HostViews.outstandingWork(view, cost, now) + cost.request / cost.mean
}

export class TargetSelector {
  /** Power of two choices: with stale reports, all nodes would otherwise send their requests to the single cheapest target. */
  private readonly selection = new Decisions.Selections.TwoChoices()
  /** Used for requests that are placed by cost. */
  private readonly selectionByCost = new Decisions.Selections.TwoDifferentChoices()

  constructor (
    private readonly location: NodeLocation,
    private readonly views: HostViews.HostViews,
    private readonly random: Decisions.Random.Random
  ) {}

  /** The target of the next attempt; undefined if no candidate meets the criteria. */
  choose (candidates: readonly Registrations.Registration[], criteria: SelectionCriteria, now: Decisions.Clock.Milliseconds): Registrations.Registration | undefined {
    const reachable = candidates.filter(candidate => !criteria.excluded.has(candidate.target) && this.views.of(candidate.target).avoidedUntil <= now)
    const eligible = reachable.filter(candidate => criteria.mayBypassBreaker || this.mayReceive(candidate, criteria, now))
    const dueForProbe = criteria.isFailureFinal || criteria.mayBypassBreaker ? undefined : this.random.pick(eligible.filter(candidate => this.isDueForProbe(candidate, now)))
    if (dueForProbe !== undefined) return dueForProbe
    const meanServiceTime = this.meanServiceTime(eligible)
    const scored = eligible.map(candidate => this.score(candidate, criteria, meanServiceTime, now))
    let best: ScoredCandidate | undefined
    for (const distance of [0, 1, 2, 3] as const) {
      const group = scored.filter(candidate => candidate.distance === distance)
      const chosen = criteria.cost === undefined ? this.selection.choose(group, this.random) : this.chooseByCost(group)
      if (chosen !== undefined && (best === undefined || chosen.cost < best.cost)) best = chosen
    }
    return best?.registration
  }

  /** Targets with a free slot come first: reports arrive with responses, so a target that has just answered is known to have one. */
  private chooseByCost (group: readonly ScoredCandidate[]): ScoredCandidate | undefined {
    const free = group.filter(({ isFree }) => isFree)
    return this.selectionByCost.choose(free.length > 0 ? free : group, this.random)
  }

  /** Whether the circuit breaker of any candidate is tripped, so that a last-resort attempt could bypass it. */
  hasTrippedTarget (candidates: readonly Registrations.Registration[], now: Decisions.Clock.Milliseconds): boolean {
    return candidates.some(candidate => HostViews.isTripped(this.views.of(candidate.target), now))
  }

  /**
   * Whether a target in this data center is due for a probe request. Requests that may be the probe go there first, since
   * the target accepts no other requests until a probe has succeeded.
   */
  private isDueForProbe (registration: Registrations.Registration, now: Decisions.Clock.Milliseconds): boolean {
    return distanceOf(this.location, registration) <= PROBE_DISTANCE_MAXIMUM && HostViews.timeUntilProbe(this.views.of(registration.target), now) === 0
  }

  /**
   * Chooses a target in this data center whose circuit breaker has tripped after a single failure: of two
   * random ones that with fewer outstanding requests. Used when the healthy targets are overloaded.
   */
  chooseOverflowTarget (candidates: readonly Registrations.Registration[], excluded: ReadonlySet<Decisions.Ids.TargetId>, now: Decisions.Clock.Milliseconds): Registrations.Registration | undefined {
    const tripped = candidates.filter(candidate => {
      const view = this.views.of(candidate.target)
      return !excluded.has(candidate.target) && view.avoidedUntil <= now && distanceOf(this.location, candidate) <= OVERFLOW_DISTANCE_MAXIMUM &&
        HostViews.isTripped(view, now) && HostViews.failures(view) <= OVERFLOW_FAILURES_MAXIMUM
    })
    return this.selection.choose(tripped.map(registration => ({ registration, cost: HostViews.outstandingRequests(this.views.of(registration.target), now) })), this.random)?.registration
  }

  /** Whether the known state of the circuit breaker lets a request through that does not bypass it. */
  private mayReceive (registration: Registrations.Registration, { isFailureFinal }: SelectionCriteria, now: Decisions.Clock.Milliseconds): boolean {
    const view = this.views.of(registration.target)
    return isFailureFinal ? !HostViews.isTripped(view, now) : (HostViews.timeUntilProbe(view, now) ?? 0) <= 0
  }

  /** Milliseconds until the first of the candidates may get a request; undefined if there are no candidates. */
  timeUntilAvailable (candidates: readonly Registrations.Registration[], now: Decisions.Clock.Milliseconds): number | undefined {
    const waits = candidates.map(candidate => {
      const view = this.views.of(candidate.target)
      return Math.max(HostViews.timeUntilProbe(view, now) ?? 0, view.avoidedUntil - now)
    })
    return waits.length === 0 ? undefined : Math.max(0, Math.min(...waits))
  }

  private score (registration: Registrations.Registration, criteria: SelectionCriteria, meanServiceTime: number, now: Decisions.Clock.Milliseconds): ScoredCandidate {
    const view = this.views.of(registration.target)
    const distance = distanceOf(this.location, registration)
    const ownServiceTime = HostViews.serviceTime(view)
    const timeRatio = ownServiceTime > 0 && meanServiceTime > 0 ? Math.min(ownServiceTime / meanServiceTime, SLOWNESS_MAXIMUM) : 1
    const slowness = criteria.cost === undefined ? timeRatio : Math.min(HostViews.slowness(view, now) ?? timeRatio, SLOWNESS_MAXIMUM)
    const recoveryCost = criteria.isFailureFinal && HostViews.timeUntilProbe(view, now) !== undefined ? UNCONFIRMED_RECOVERY_COST : 0
    const failureCost = criteria.mayBypassBreaker ? FAILURE_COST * Math.min(HostViews.failures(view), COUNTED_FAILURES_MAXIMUM) : 0
    const load = loadOf(view, criteria, now) / registration.slots
    const isFree = criteria.cost !== undefined && recoveryCost + failureCost === 0 && slowness < FREE_SLOWNESS_MAXIMUM && HostViews.hasFreeSlot(view, registration.slots)
    return { registration, distance, cost: load * slowness + DISTANCE_COST[distance] + recoveryCost + failureCost, isFree }
  }

  /** Mean over the candidates with a known service time; zero if there are none. */
  private meanServiceTime (candidates: readonly Registrations.Registration[]): number {
    const known = candidates.map(candidate => HostViews.serviceTime(this.views.of(candidate.target))).filter(time => time > 0)
    if (known.length === 0) return 0
    return known.reduce((sum, time) => sum + time, 0) / known.length
  }
}
