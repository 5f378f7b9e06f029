/** Variants of the rules with one guard removed each. Every one must break a promise. */
import type * as Events from '../../src/core/event.js'
import type * as Identities from '../../src/core/identity.js'
import type * as Refusals from '../../src/core/refusal.js'
import * as IdempotencyTables from '../../src/ownership/idempotency-table.js'
import * as OwnershipRules from '../../src/ownership/ownership-rules.js'
import type * as Roster from '../../src/ownership/roster.js'
import type * as Schedules from './schedule.js'

class OwnerNeedsNoPromise extends OwnershipRules.OwnershipRules {
  override covers (): boolean { return true }
}

class OnePromiseIsEnough extends OwnershipRules.OwnershipRules {
  override covers (version: Roster.RosterVersion, time: number): boolean { return time <= Math.max(...version.promises.until) }
}

class WitnessGoesOn extends OwnershipRules.OwnershipRules {
  override mayExtend (): boolean { return true }
}

class RestartKeepsOwnership extends OwnershipRules.OwnershipRules {
  override isSelf (owner: Roster.Tenure, identity: Identities.Identity): boolean { return owner.node === identity.node }
}

class SuccessorForgets extends OwnershipRules.OwnershipRules {
  override predecessorPromise (): number { return 1 }
}

class UnreachableMeansNotRun extends OwnershipRules.OwnershipRules {
  override forwardRefusal (_: Events.AttemptEnd | undefined, refusal: Refusals.Refusal): Refusals.Refusal { return refusal }
}

class NoHorizon extends IdempotencyTables.IdempotencyTable {
  override admits (time: never): boolean {
    super.admits(time)
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

export const VARIANTS: Record<string, Schedules.Variant> = {
  'owner needs no promise': { rules: new OwnerNeedsNoPromise() },
  'one promise is enough': { rules: new OnePromiseIsEnough() },
  'witness goes on after a change': { rules: new WitnessGoesOn() },
  'restarted owner keeps its keys': { rules: new RestartKeepsOwnership() },
  'restarted witness forgets its promises': { rules: new SuccessorForgets() },
  'unreachable owner means not run': { rules: new UnreachableMeansNotRun() },
  'discarding without a horizon': { ledger: bounds => new NoHorizon(bounds) },
  'not run is not final': { ledger: bounds => new NotRunIsNotFinal(bounds) }
}
