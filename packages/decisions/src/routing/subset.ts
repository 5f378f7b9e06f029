/**
 * Subsetting: bounds how many of a service's targets one entry uses, so that the number of connections and estimates
 * and the cost of a choice do not depend on the size of the service.
 */
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'

/** Position of an entry among the entries that share the targets. */
export interface EntryPosition {
  readonly entry: Ids.NodeId
  /** Index of the entry in an order that is the same for all entries. */
  readonly index: number
  /** Number of entries. */
  readonly entries: number
}

export abstract class Subset {
  /** The targets that the entry uses for `service`. */
  abstract select (service: Ids.Service, targets: readonly Ids.TargetId[], position: EntryPosition): readonly Ids.TargetId[]
}

export class AllTargets extends Subset {
  select (_service: Ids.Service, targets: readonly Ids.TargetId[]): readonly Ids.TargetId[] {
    return targets
  }
}

/** The targets with the highest rendezvous hash weight for the entry. Does not need to know the other entries. */
export class RendezvousSubset extends Subset {
  constructor (private readonly size: number) {
    super()
  }

  select (_service: Ids.Service, targets: readonly Ids.TargetId[], position: EntryPosition): readonly Ids.TargetId[] {
    if (targets.length <= this.size) return targets
    return Rendezvous.rank(position.entry, targets).slice(0, this.size)
  }
}

/**
 * A section of `size` consecutive targets on a ring. The sections of the entries start at even distances, so that
 * each target is in equally many of them, give or take one, if the entries agree on the members.
 */
export class RingSubset extends Subset {
  constructor (private readonly size: number) {
    super()
  }

  select (service: Ids.Service, targets: readonly Ids.TargetId[], position: EntryPosition): readonly Ids.TargetId[] {
    if (targets.length <= this.size) return targets
    const ring = Rendezvous.rank(service, targets)
    const start = Math.floor(position.index * ring.length / Math.max(1, position.entries))
    return Array.from({ length: this.size }, (_, offset) => ring[(start + offset) % ring.length] ?? [])
      .flat()
  }
}
