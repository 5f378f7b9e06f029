/** Blackboard section `ejections`: which targets are ejected or returning to service. Written by Ejection. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

/** Ejection state of a target. `weight` in (0, 1] scales its share of work while it returns to service. */
export type EjectionState =
  | { readonly kind: 'in-service', readonly weight: number }
  | { readonly kind: 'ejected', readonly since: Clock.Milliseconds, readonly until: Clock.Milliseconds, readonly evidence: string }

export class Ejections {
  /** Targets on this VM; authoritative. Targets without an entry are in service. */
  readonly local = new Map<Ids.TargetId, EjectionState>()
  /** Targets on other VMs whose hosts refused requests because of ejection; a hint for target selection. */
  readonly remote = new Map<Ids.TargetId, { readonly until: Clock.Milliseconds }>()

  stateOf (target: Ids.TargetId): EjectionState {
    return this.local.get(target) ?? { kind: 'in-service', weight: 1 }
  }
}
