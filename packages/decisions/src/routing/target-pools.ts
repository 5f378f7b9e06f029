/** The bounded sets of targets that this entry uses for each service and distance. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as Targets from '../membership/targets.js'
import type * as Subsets from './subset.js'
import type * as Topologies from './topology.js'

/** Distance of a target: same data center, same region, other regions. */
export type Distance = 0 | 1 | 2

export interface TargetPool {
  readonly builtAt: Clock.Milliseconds
  /** Time until the pool is rebuilt; longer for larger services, because building their pools costs more. */
  readonly lifetime: Clock.Milliseconds
  readonly targets: readonly { readonly target: Ids.TargetId, readonly distance: Distance }[]
}

const LIFETIME_MINIMUM = Clock.seconds(1)
const LIFETIME_MAXIMUM = Clock.seconds(5)
const LIFETIME_PER_TARGET = Clock.milliseconds(10)
/** A pool that was not rebuilt for this long is removed, because its service gets no requests. */
const IDLE_RETENTION = Clock.minutes(1)
export const DISTANCES: readonly Distance[] = [0, 1, 2]

export function distanceTo (target: Targets.Target, context: Controllers.StepContext): Distance {
  const { identity } = context.board
  if (target.dataCenter === identity.dataCenter) return 0
  return target.region === identity.region ? 1 : 2
}

export class TargetPools {
  private readonly byService = new Map<Ids.Service, TargetPool>()

  constructor (private readonly subset: Subsets.Subset, private readonly topology: Topologies.Topology) {}

  poolOf (service: Ids.Service, context: Controllers.StepContext): TargetPool {
    const known = this.byService.get(service)
    if (known !== undefined && context.now - known.builtAt < known.lifetime) return known
    const fresh = this.build(service, context)
    this.byService.set(service, fresh)
    return fresh
  }

  /** Discards the pool of a service, because its targets on this node changed. */
  invalidate (service: Ids.Service): void {
    this.byService.delete(service)
  }

  prune (now: Clock.Milliseconds): void {
    for (const [service, pool] of this.byService) if (now - pool.builtAt > IDLE_RETENTION) this.byService.delete(service)
  }

  private build (service: Ids.Service, context: Controllers.StepContext): TargetPool {
    const all = context.board.targets.ofService(service).filter(target => target.state === 'serving')
    const position = this.topology.position(context)
    const targets = DISTANCES.flatMap(distance => {
      const ids = all.filter(target => distanceTo(target, context) === distance).map(target => target.target).sort()
      return this.subset.select(service, ids, position).map(target => ({ target, distance }))
    })
    const lifetime = Math.min(Math.max(LIFETIME_MINIMUM, all.length * LIFETIME_PER_TARGET), LIFETIME_MAXIMUM)
    return { builtAt: context.now, lifetime: all.length === 0 ? Clock.milliseconds(0) : Clock.milliseconds(lifetime), targets }
  }
}
