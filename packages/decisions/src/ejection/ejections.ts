/** Section `ejections`: ejected targets and the way back. Written by Ejection. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

/** Where a target of this node stands. `weight` in (0, 1] scales its share of work during the return. */
export type EjectionState =
  | { readonly kind: 'in-service', readonly weight: number }
  | { readonly kind: 'ejected', readonly since: Clock.Milliseconds, readonly until: Clock.Milliseconds, readonly evidence: string }

export class Ejections {
  /** Targets on this node's VM: authoritative. */
  readonly local = new Map<Ids.TargetId, EjectionState>()
  /** Targets elsewhere that their hosts refused as ejected: a hint for target selection. */
  readonly remote = new Map<Ids.TargetId, { readonly until: Clock.Milliseconds }>()

  stateOf (target: Ids.TargetId): EjectionState {
    return this.local.get(target) ?? { kind: 'in-service', weight: 1 }
  }
}
