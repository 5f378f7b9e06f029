/** Blackboard section `keys`: records of the idempotency keys that this node owns, and the rosters. Written by Ownership. */
import type * as Ids from '../core/ids.js'
import * as IdempotencyTables from './idempotency-table.js'
import * as RosterTables from './roster-table.js'

export class OwnershipState {
  /** Open keyed requests. Ownership gives their final answers, so Routing neither refuses nor cancels them. */
  readonly keyedRequests = new Set<Ids.RequestId>()
  readonly rosters = new RosterTables.RosterTable()
  idempotencyTable = new IdempotencyTables.IdempotencyTable()
  /** Whether a planned stop of this node was requested. */
  isLeaving = false
  /** During a planned stop: whether this node owns no new keys and runs no keyed request, so that its process may exit. */
  mayLeave = false
}
