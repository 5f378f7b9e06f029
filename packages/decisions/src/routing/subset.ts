/**
 * Ways to bound how many of a service's targets one entry uses. A bound keeps connections,
 * estimates and the cost of a choice independent of the size of the service.
 */
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'

/** The entry's place among the entries that share the targets. */
export interface EntryPosition {
  readonly entry: Ids.NodeId
  /** Index of the entry among `entries`, in an order that all entries share. */
  readonly index: number
  readonly entries: number
}

export abstract class Subset {
  /** The targets that the entry uses for `service`. */
  abstract select (service: Ids.Service, targets: readonly Ids.TargetId[], place: EntryPosition): readonly Ids.TargetId[]
}

export class AllTargets extends Subset {
  select (_service: Ids.Service, targets: readonly Ids.TargetId[]): readonly Ids.TargetId[] {
    return targets
  }
}

/** The targets with the highest rendezvous weight for the entry. Needs no knowledge of other entries. */
export class RendezvousSubset extends Subset {
  constructor (private readonly size: number) {
    super()
  }

  select (_service: Ids.Service, targets: readonly Ids.TargetId[], place: EntryPosition): readonly Ids.TargetId[] {
    if (targets.length <= this.size) return targets
    return Rendezvous.rank(place.entry, targets).slice(0, this.size)
  }
}

/**
 * A stretch of the ring of targets that starts at the entry's share of the ring. The stretches of
 * all entries cover every target equally often, give or take one, as far as they agree on the members.
 */
export class RingSubset extends Subset {
  constructor (private readonly size: number) {
    super()
  }

  select (service: Ids.Service, targets: readonly Ids.TargetId[], place: EntryPosition): readonly Ids.TargetId[] {
    if (targets.length <= this.size) return targets
    const ring = Rendezvous.rank(service, targets)
    const start = Math.floor(place.index * ring.length / Math.max(1, place.entries))
    return Array.from({ length: this.size }, (_, offset) => ring[(start + offset) % ring.length] ?? [])
      .flat()
  }
}
