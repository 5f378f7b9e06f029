/** Variants of the rules with one guard removed each. Every one must break a promise. */
import type * as Events from '../../src/core/event.js'
import type * as Identities from '../../src/core/identity.js'
import type * as Refusals from '../../src/core/refusal.js'
import * as Ledger from '../../src/ownership/ledger.js'
import * as Parts from '../../src/ownership/parts.js'
import type * as Roster from '../../src/ownership/roster.js'
import type * as Schedules from './schedule.js'

class OwnerNeedsNoPromise extends Parts.Rules {
  override covers (): boolean { return true }
}

class OnePromiseIsEnough extends Parts.Rules {
  override covers (version: Roster.RosterVersion, time: number): boolean { return time <= Math.max(...version.promises.until) }
}

class WitnessGoesOn extends Parts.Rules {
  override mayExtend (): boolean { return true }
}

class RestartKeepsOwnership extends Parts.Rules {
  override isSelf (owner: Roster.Tenure, identity: Identities.Identity): boolean { return owner.node === identity.node }
}

class SuccessorForgets extends Parts.Rules {
  override predecessorPromise (): number { return 1 }
}

class UnreachableMeansNotRun extends Parts.Rules {
  override forwardRefusal (_: Events.AttemptEnd | undefined, refusal: Refusals.Refusal): Refusals.Refusal { return refusal }
}

class NoHorizon extends Ledger.Ledger {
  override admits (time: never): boolean {
    super.admits(time)
    this.horizon = -Infinity
    return true
  }
}

class NotRunIsNotFinal extends Ledger.Ledger {
  override get (id: string): Ledger.KeyRecord | undefined {
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
