/** Section `keys`: idempotency keys this node owns and the rosters it knows. Written by Ownership. */
import type * as Ids from '../core/ids.js'
import * as IdempotencyTables from './idempotency-table.js'
import * as Rosters from './rosters.js'

export class OwnershipState {
  /** Requests whose final answer the ledger gives, so that Routing does not refuse them itself. */
  readonly keyedRequests = new Set<Ids.RequestId>()
  readonly rosters = new Rosters.Rosters()
  idempotencyTable = new IdempotencyTables.IdempotencyTable()
  /** A planned stop was asked for. */
  isLeaving = false
  /** At a planned stop: this node owns no new key and has no key running, so it may end. */
  mayLeave = false
}
