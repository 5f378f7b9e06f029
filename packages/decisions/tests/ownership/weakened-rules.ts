/** Variants of the protocol with one safety rule removed each. Each must violate a guarantee in some schedule. */
import type * as Events from '../../src/core/event.js'
import type * as Identities from '../../src/core/identity.js'
import type * as Refusals from '../../src/core/refusal.js'
import * as IdempotencyTables from '../../src/ownership/idempotency-table.js'
import * as OwnershipRules from '../../src/ownership/ownership-rules.js'
import type * as Rosters from '../../src/ownership/roster.js'
import type * as RandomSchedules from './random-schedule.js'

class OwnerNeedsNoPromises extends OwnershipRules.OwnershipRules {
  override isPromised (): boolean { return true }
}

class OnePromiseIsEnough extends OwnershipRules.OwnershipRules {
  override isPromised (version: Rosters.RosterVersion, time: number): boolean { return time <= Math.max(...version.promises.until) }
}

class WitnessKeepsExtending extends OwnershipRules.OwnershipRules {
  override mayExtend (): boolean { return true }
}

class RestartedOwnerKeepsKeys extends OwnershipRules.OwnershipRules {
  override isSelf (owner: Rosters.Tenure, identity: Identities.Identity): boolean { return owner.node === identity.node }
}

class RestartedWitnessForgets extends OwnershipRules.OwnershipRules {
  override predecessorPromiseBound (): number { return 1 }
}

class UnreachableMeansNotRun extends OwnershipRules.OwnershipRules {
  override refusalAfterForward (_: Events.AttemptEnd | undefined, refusal: Refusals.Refusal): Refusals.Refusal { return refusal }
}

class NoLowWatermark extends IdempotencyTables.IdempotencyTable {
  override makeRoomFor (time: never): boolean {
    super.makeRoomFor(time)
    this.lowWatermark = -Infinity
    return true
  }
}

class NotRunIsNotFinal extends IdempotencyTables.IdempotencyTable {
  override get (id: string): IdempotencyTables.IdempotencyRecord | undefined {
    const record = super.get(id)
    return record?.state.kind === 'refused' ? undefined : record
  }
}

export const VARIANTS: Record<string, RandomSchedules.Variant> = {
  'owner needs no promise': { rules: new OwnerNeedsNoPromises() },
  'one promise is enough': { rules: new OnePromiseIsEnough() },
  'witness keeps extending after a change': { rules: new WitnessKeepsExtending() },
  'restarted owner keeps its keys': { rules: new RestartedOwnerKeepsKeys() },
  'restarted witness forgets its promises': { rules: new RestartedWitnessForgets() },
  'unreachable owner means not run': { rules: new UnreachableMeansNotRun() },
  'eviction without a low watermark': { createTable: limits => new NoLowWatermark(limits) },
  'not run is not final': { createTable: limits => new NotRunIsNotFinal(limits) }
}
