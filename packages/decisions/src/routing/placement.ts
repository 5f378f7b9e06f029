/** Chooses a target for an attempt: usable, near, not overloaded, and cheap. */
import * as Neverthrow from 'neverthrow'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as Refusals from '../core/refusal.js'
import type * as Targets from '../membership/targets.js'
import * as Costs from './costs.js'
import type * as Decisions from './decision.js'
import * as Pools from './pools.js'
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

/** Targets of like distance with their cost and mean load. */
interface Tier {
  readonly crossesRegions: boolean
  readonly options: readonly Costs.Option[]
  readonly load: number
}

/** Targets per entry, service and distance; the choice is weighed in docs/load.md. */
const SUBSET_SIZE = 12
/**
 * With fewer targets in the data center, one slow target would keep a large share of the work
 * until it is ejected; another data center of the region is only 1 to 1.5 ms away.
 */
const CHOICE_MINIMUM = 4
/** Mean load of a tier at which work starts to spill over to the next; all of it does at `SPILL_END`. */
const SPILL_START = 0.8
const SPILL_END = 1
/** A farther tier must be less loaded by this much, so that two full tiers do not exchange work. */
const SPILL_MARGIN = 0.1
/** A repeat after the link budget was spent may succeed after this time, in ms. */
const LINK_RETRY_AFTER = 1_000
const UNAVAILABLE_RETRY_AFTER = 1_000

export class Placer {
  readonly topology = new Topologies.Topology()
  readonly pools: Pools.Pools

  constructor (
    private readonly selection: Selections.Selection = new Selections.TwoChoices(),
    subset: Subsets.Subset = new Subsets.RingSubset(SUBSET_SIZE)
  ) {
    this.pools = new Pools.Pools(subset, this.topology)
  }

  /**
   * Chooses a target that the request has not tried yet.
   * Fails with a refusal that describes only the choice, not what earlier attempts did.
   */
  choose (request: Requests.Request, turn: Controllers.Turn): Neverthrow.Result<Placement, Refusals.Refusal> {
    const { service } = request.arrival
    const tried = new Set(request.attempts.flatMap(attempt => attempt.target ?? []))
    const pool = this.pools.of(service, turn)
    const usable = pool.targets
      .flatMap(entry => turn.board.targets.get(entry.target) ?? [])
      .filter(target => !tried.has(target.target) && this.isUsable(target, turn))
    if (usable.length === 0) return Neverthrow.err(unavailable(service, turn))
    const { avoidance } = turn.board.requests
    const open = usable.filter(target => !avoidance.avoids(target, turn.now) && answers(target, turn))
    const chosen = this.among(open, request, turn)
    if (chosen !== undefined) return Neverthrow.ok({ ...chosen, avoided: false })
    const last = this.among(usable.filter(target => !open.includes(target)), request, turn)
    if (last === undefined) return Neverthrow.err(Refusals.notRun('no-target-available', `The link budget for service ${service} is spent.`, LINK_RETRY_AFTER))
    return Neverthrow.ok({ ...last, avoided: true, decisions: [...last.decisions, 'tried-avoided-target'] })
  }

  /** Leaving targets, dead hosts and cut regions are facts, so the floor does not bring them back. */
  private isUsable (target: Targets.Target, turn: Controllers.Turn): boolean {
    if (target.state !== 'serving') return false
    if (target.host === turn.board.identity.node) return true
    const host = turn.board.members.get(target.host)
    if (host?.state !== 'alive' && host?.state !== 'suspect') return false
    return !this.topology.isCut(target.region, turn)
  }

  private among (targets: readonly Targets.Target[], request: Requests.Request, turn: Controllers.Turn): Omit<Placement, 'avoided'> | undefined {
    const tiers = tiersOf(targets, request.policy.capacityFloor, turn)
    const home = tiers.find(tier => !tier.crossesRegions || this.linkPermits(request, turn))
    if (home === undefined && tiers.length > 0) request.decisions.push('link-budget-spent')
    if (home === undefined) return undefined
    const tier = this.spill(home, tiers, request, turn)
    const option = this.selection.choose(tier.options, turn.random)
    if (option === undefined) return undefined
    const decisions: Decisions.Decision[] = []
    const step = Pools.distance(option.target, turn)
    if (step === 1) decisions.push('spilled-to-data-center')
    if (step === 2) decisions.push('spilled-to-region')
    return { target: option.target, crossesRegions: tier.crossesRegions, decisions }
  }

  /**
   * Moves a growing share of the work to a less loaded tier before the nearer one is full. Never more
   * than evens out the two, because the signs of load are late and all entries see the same ones.
   */
  private spill (home: Tier, tiers: readonly Tier[], request: Requests.Request, turn: Controllers.Turn): Tier {
    const urgency = (home.load - SPILL_START) / (SPILL_END - SPILL_START)
    if (urgency <= 0) return home
    const better = tiers.find(entry => tiers.indexOf(entry) > tiers.indexOf(home) && entry.load < home.load - SPILL_MARGIN)
    if (better === undefined) return home
    const even = (home.load - better.load) / (2 * home.load)
    if (turn.random.fraction() >= Math.min(urgency, even)) return home
    return !better.crossesRegions || this.linkPermits(request, turn) ? better : home
  }

  private linkPermits (request: Requests.Request, turn: Controllers.Turn): boolean {
    const { entries } = this.topology.place(turn)
    const { linkBudget, priority } = request.policy
    return turn.board.requests.linkBudget.permits(turn.now, linkBudget, entries, priority)
  }
}

/** A host that does not answer this node's probes is likely behind a one-way cut. */
function answers (target: Targets.Target, turn: Controllers.Turn): boolean {
  return turn.board.members.get(target.host)?.unansweredSince === undefined
}

/** A near tier with too few targets for a real choice is joined with the rest of the region. */
function tiersOf (targets: readonly Targets.Target[], floor: number, turn: Controllers.Turn): readonly Tier[] {
  const groups = Pools.DISTANCES.map(step => targets.filter(target => Pools.distance(target, turn) === step))
  const [near = [], region = [], far = []] = groups
  const own = near.length < CHOICE_MINIMUM ? [[...near, ...region]] : [near, region]
  return [...own.map(group => tier(group, false, floor, turn)), tier(far, true, floor, turn)].filter(entry => entry.options.length > 0)
}

function tier (targets: readonly Targets.Target[], crossesRegions: boolean, floor: number, turn: Controllers.Turn): Tier {
  const options = Costs.options(targets, floor, turn)
  const load = options.reduce((sum, option) => sum + option.load, 0) / Math.max(1, options.length)
  return { crossesRegions, options, load }
}

function unavailable (service: Ids.Service, turn: Controllers.Turn): Refusals.Refusal {
  const known = turn.board.targets.byService.get(service)?.size ?? 0
  if (known === 0) return Refusals.notRun('service-unknown', `No backend server announces service ${service}.`)
  return Refusals.notRun('no-target-available', `No backend server of service ${service} can be reached.`, UNAVAILABLE_RETRY_AFTER)
}
