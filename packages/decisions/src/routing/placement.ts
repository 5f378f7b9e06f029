/** Chooses the target of an attempt by availability, distance, load and cost, in this order. */
import * as Neverthrow from 'neverthrow'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as Refusals from '../core/refusal.js'
import type * as Targets from '../membership/targets.js'
import * as Costs from './costs.js'
import type * as Decisions from './decision.js'
import * as TargetPools from './target-pools.js'
import type * as Requests from './requests.js'
import * as Selections from './selection.js'
import * as Subsets from './subset.js'
import * as Topologies from './topology.js'

export interface Placement {
  readonly target: Targets.Target
  readonly avoided: boolean
  readonly crossesRegions: boolean
  readonly decisions: readonly Decisions.Decision[]
}

/** Targets of similar distance with their costs and mean load. */
interface Tier {
  readonly crossesRegions: boolean
  readonly costs: readonly Costs.TargetCost[]
  readonly load: number
}

/** Targets that an entry uses per service and distance; docs/load.md gives the reasons. */
const SUBSET_SIZE = 12
/**
 * With fewer targets in the data center, the targets of the whole region form one tier. Otherwise one slow target would
 * get a large share of the work until it is ejected; another data center of the region is only 1 to 1.5 ms away.
 */
const TIER_SIZE_MINIMUM = 4
/** Mean load of a tier at which work starts to spill over to the next one; from `SPILL_LOAD_END` on, as much as possible does. */
const SPILL_LOAD_START = 0.8
const SPILL_LOAD_END = 1
/** Work spills over only to a tier whose load is lower by this much, so that two full tiers do not exchange work. */
const SPILL_LOAD_MARGIN = 0.1
/** Time after which the link budget may permit a request again. */
const LINK_RETRY_AFTER_MS = 1_000
const UNAVAILABLE_RETRY_AFTER_MS = 1_000

export class Placer {
  readonly topology = new Topologies.Topology()
  readonly pools: TargetPools.TargetPools

  constructor (
    private readonly selection: Selections.Selection = new Selections.TwoChoices(),
    subset: Subsets.Subset = new Subsets.RingSubset(SUBSET_SIZE)
  ) {
    this.pools = new TargetPools.TargetPools(subset, this.topology)
  }

  /**
   * Chooses a target that the request has not tried yet. Targets that are avoided or whose host does not answer
   * probes are chosen only if no other can be.
   * The refusal of a failure describes only this choice; its outcome does not consider earlier attempts.
   */
  choose (request: Requests.Request, context: Controllers.StepContext): Neverthrow.Result<Placement, Refusals.Refusal> {
    const { service } = request.arrival
    const tried = new Set(request.attempts.flatMap(attempt => attempt.target ?? []))
    const pool = this.pools.poolOf(service, context)
    const usable = pool.targets
      .flatMap(entry => context.board.targets.get(entry.target) ?? [])
      .filter(target => !tried.has(target.target) && this.isUsable(target, context))
    if (usable.length === 0) return Neverthrow.err(unavailableRefusal(service, context))
    const { avoidance } = context.board.requests
    const preferred = usable.filter(target => !avoidance.isAvoided(target, context.now) && answersProbes(target, context))
    const chosen = this.chooseAmong(preferred, request, context)
    if (chosen !== undefined) return Neverthrow.ok({ ...chosen, avoided: false })
    const fallback = this.chooseAmong(usable.filter(target => !preferred.includes(target)), request, context)
    if (fallback === undefined) return Neverthrow.err(Refusals.notRun('no-target-available', `The link budget for service ${service} is spent.`, LINK_RETRY_AFTER_MS))
    return Neverthrow.ok({ ...fallback, avoided: true, decisions: [...fallback.decisions, 'tried-avoided-target'] })
  }

  /**
   * Leaving targets and those of dead hosts or unreachable regions are known to be unavailable, so they are never used,
   * even below the capacity floor.
   */
  private isUsable (target: Targets.Target, context: Controllers.StepContext): boolean {
    if (target.state !== 'serving') return false
    if (target.host === context.board.identity.node) return true
    const host = context.board.members.get(target.host)
    if (host?.state !== 'alive' && host?.state !== 'suspect') return false
    return !this.topology.isUnreachable(target.region, context)
  }

  private chooseAmong (targets: readonly Targets.Target[], request: Requests.Request, context: Controllers.StepContext): Omit<Placement, 'avoided'> | undefined {
    const tiers = tiersOf(targets, request.policy.capacityFloor, context)
    const nearest = tiers.find(tier => !tier.crossesRegions || this.linkPermits(request, context))
    if (nearest === undefined && tiers.length > 0) request.decisions.push('link-budget-spent')
    if (nearest === undefined) return undefined
    const tier = this.spillOver(nearest, tiers, request, context)
    const chosen = this.selection.choose(tier.costs, context.random)
    if (chosen === undefined) return undefined
    const decisions: Decisions.Decision[] = []
    const distance = TargetPools.distanceTo(chosen.target, context)
    if (distance === 1) decisions.push('spilled-to-data-center')
    if (distance === 2) decisions.push('spilled-to-region')
    return { target: chosen.target, crossesRegions: tier.crossesRegions, decisions }
  }

  /**
   * Moves a part of the work to a less loaded tier. The part grows with the load of the nearest tier, and starts before
   * that is full. It never exceeds what makes both loads equal, because load is observed late and all entries observe
   * the same.
   */
  private spillOver (nearest: Tier, tiers: readonly Tier[], request: Requests.Request, context: Controllers.StepContext): Tier {
    const spillShare = (nearest.load - SPILL_LOAD_START) / (SPILL_LOAD_END - SPILL_LOAD_START)
    if (spillShare <= 0) return nearest
    const lessLoaded = tiers.find(tier => tiers.indexOf(tier) > tiers.indexOf(nearest) && tier.load < nearest.load - SPILL_LOAD_MARGIN)
    if (lessLoaded === undefined) return nearest
    const evenShare = (nearest.load - lessLoaded.load) / (2 * nearest.load)
    if (context.random.fraction() >= Math.min(spillShare, evenShare)) return nearest
    return !lessLoaded.crossesRegions || this.linkPermits(request, context) ? lessLoaded : nearest
  }

  private linkPermits (request: Requests.Request, context: Controllers.StepContext): boolean {
    const { entries } = this.topology.position(context)
    const { linkBudget, priority } = request.policy
    return context.board.requests.linkBudget.permits(context.now, linkBudget, entries, priority)
  }
}

/** Whether the host answers this node's membership probes. If not, a one-way network partition is likely. */
function answersProbes (target: Targets.Target, context: Controllers.StepContext): boolean {
  return context.board.members.get(target.host)?.unansweredSince === undefined
}

/** Groups targets by distance, nearest first. The data center is merged with its region if it has too few targets. */
function tiersOf (targets: readonly Targets.Target[], floor: number, context: Controllers.StepContext): readonly Tier[] {
  const groups = TargetPools.DISTANCES.map(distance => targets.filter(target => TargetPools.distanceTo(target, context) === distance))
  const [near = [], region = [], far = []] = groups
  const inRegion = near.length < TIER_SIZE_MINIMUM ? [[...near, ...region]] : [near, region]
  return [...inRegion.map(group => buildTier(group, false, floor, context)), buildTier(far, true, floor, context)].filter(tier => tier.costs.length > 0)
}

function buildTier (targets: readonly Targets.Target[], crossesRegions: boolean, floor: number, context: Controllers.StepContext): Tier {
  const costs = Costs.targetCosts(targets, floor, context)
  const load = costs.reduce((sum, cost) => sum + cost.load, 0) / Math.max(1, costs.length)
  return { crossesRegions, costs, load }
}

function unavailableRefusal (service: Ids.Service, context: Controllers.StepContext): Refusals.Refusal {
  const known = context.board.targets.byService.get(service)?.size ?? 0
  if (known === 0) return Refusals.notRun('service-unknown', `No backend server announces service ${service}.`)
  return Refusals.notRun('no-target-available', `No backend server of service ${service} can be reached.`, UNAVAILABLE_RETRY_AFTER_MS)
}
