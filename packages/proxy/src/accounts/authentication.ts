/**
 * Decides to which client account a request belongs, and whether it may be dispatched.
 *
 * Load pattern: keys are added and withdrawn while callers are connected, and nodes lose contact with the shared log.
 */
import type * as Decisions from '@jasminedale/decisions'
import type * as Routes from '../routes/route.js'
import type * as Accounts from './account.js'
import type * as AccountTables from './account-table.js'

/** How long a key may be accepted while a newer configuration cannot be ruled out. */
export interface RevocationSettings {
  /** Whether keys are refused after `period`; otherwise they stay valid until a newer configuration is known. */
  readonly isStrict: boolean
  readonly period: Decisions.Clock.Milliseconds
}

export type Authentication =
  /** `account` is undefined for a request without a known key on an anonymous route, and without accounts. */
  | { readonly kind: 'accepted', readonly account: Accounts.Account | undefined }
  /** No account of the newest configuration has the key. */
  | { readonly kind: 'key-unknown' }
  /** A newer configuration may exist in which the key is valid, or withdrawn. */
  | { readonly kind: 'key-unconfirmed' }

/** What the node knows about accounts. */
export interface AuthenticationContext {
  /** Undefined when the configuration has no accounts. */
  readonly accounts: AccountTables.AccountTable | undefined
  /** Whether a newer configuration can be ruled out. */
  readonly isCurrent: boolean
  /** Time since a newer configuration was last ruled out. */
  readonly contactAge: number
  readonly revocation: RevocationSettings
}

/** @param key The key that the request carries, if any. */
export function authenticate (route: Routes.Route, key: string | undefined, { accounts, isCurrent, contactAge, revocation }: AuthenticationContext): Authentication {
  if (accounts === undefined) return { kind: 'accepted', account: undefined }
  const account = key === undefined ? undefined : accounts.find(key)
  if (route.allowsAnonymous) return { kind: 'accepted', account }
  if (revocation.isStrict && contactAge > revocation.period) return { kind: 'key-unconfirmed' }
  if (account !== undefined) return { kind: 'accepted', account }
  return isCurrent ? { kind: 'key-unknown' } : { kind: 'key-unconfirmed' }
}
