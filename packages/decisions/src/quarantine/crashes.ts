/** Section `crashes`: requests that crash backend servers. Written by Quarantine. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

export class Crashes {
  /** Blocked signatures and the instant at which the block ends. */
  readonly blocked = new Map<Ids.Signature, Clock.Milliseconds>()
}
