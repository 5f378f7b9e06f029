/** Client accounts of one accepted configuration. */
import type * as Decisions from '@jasminedale/decisions'

/** Limit of an account over all nodes together. */
export interface AccountRateLimit {
  /** Requests a second. */
  readonly rate: number
  /** Requests beyond the rate that may follow each other at once. */
  readonly burst: number
}

export interface Account {
  readonly name: Decisions.Ids.Account
  /** Any of these identifies a request of the account. No key belongs to two accounts. */
  readonly keys: readonly string[]
  /** Priority under overload, in place of that of the route; 0 is the most urgent. */
  readonly priority?: number
  /** Absent for accounts without a limit. */
  readonly rateLimit?: AccountRateLimit
}
