/** Finds the account of a request by its key. */
import type * as Accounts from './account.js'

export class AccountTable {
  private readonly byKey = new Map<string, Accounts.Account>()

  constructor (accounts: readonly Accounts.Account[]) {
    for (const account of accounts) for (const key of account.keys) this.byKey.set(key, account)
  }

  find (key: string): Accounts.Account | undefined {
    return this.byKey.get(key)
  }
}
