/** Section `keys`: idempotency keys this node owns and the rosters it knows. Written by Ownership. */
import type * as Ids from '../core/ids.js'
import * as Ledgers from './ledger.js'
import * as Rosters from './rosters.js'

export class Keys {
  /** Requests whose final answer the ledger gives, so that Routing does not refuse them itself. */
  readonly held = new Set<Ids.RequestId>()
  readonly rosters = new Rosters.Rosters()
  ledger = new Ledgers.Ledger()
  /** A planned stop was asked for. */
  leaving = false
  /** At a planned stop: this node owns no new key and has no key running, so it may end. */
  released = false
}
