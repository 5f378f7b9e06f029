/** Section `keys`: idempotency keys this node owns and the rosters it knows. Written by Ownership. */
import type * as Ids from '../core/ids.js'

export class Keys {
  /** Requests whose final answer the ledger gives, so that Routing does not refuse them itself. */
  readonly held = new Set<Ids.RequestId>()
}
