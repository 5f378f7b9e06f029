/**
 * Divides the admissions of a thinned route between client accounts: each gets what it asks for up to a common limit, so
 * that an account with several times the rate of the others is thinned first.
 *
 * Load pattern: dozens of accounts with a request every few seconds each at one target, of which one sends much more.
 */
import type * as Decisions from '@jasminedale/decisions'
import * as DecayingRates from './decaying-rate.js'

/** Time in ms over which the rates of accounts are averaged. */
const MEMORY_MS = 10_000
/** Interval in ms at which the rates are sorted anew. */
const REFRESH_INTERVAL_MS = 200
/** Accounts with a rate below this, a request a minute ago, are forgotten. Per ms. */
const RATE_MINIMUM = 2e-7
const ACCOUNTS_MAXIMUM = 512

export class AccountShares {
  private readonly byAccount = new Map<string, DecayingRates.DecayingRate>()
  /** Rates at the last refresh, and the same in ascending order. */
  private rateOf: ReadonlyMap<string, number> = new Map()
  private sorted: readonly number[] = []
  private refreshedAt: number | undefined

  /** Records a request, and returns the fraction of the account's requests to admit so that `fraction` of all are. */
  fractionOf (account: Decisions.Ids.Account | undefined, fraction: number, now: Decisions.Clock.Milliseconds): number {
    const name = account ?? ''
    this.record(name, now)
    if (fraction >= 1) return 1
    if (this.refreshedAt === undefined || now - this.refreshedAt >= REFRESH_INTERVAL_MS) this.refresh(now)
    return Math.min(1, this.limitFor(fraction) / (this.rateOf.get(name) ?? Infinity))
  }

  private record (account: string, now: Decisions.Clock.Milliseconds): void {
    let rate = this.byAccount.get(account)
    if (rate === undefined) {
      if (this.byAccount.size >= ACCOUNTS_MAXIMUM) this.byAccount.clear()
      rate = new DecayingRates.DecayingRate()
      this.byAccount.set(account, rate)
      this.refreshedAt = undefined
    }
    rate.add(1, MEMORY_MS, now)
  }

  private refresh (now: Decisions.Clock.Milliseconds): void {
    this.refreshedAt = now
    for (const [account, rate] of this.byAccount) if (rate.at(MEMORY_MS, now) < RATE_MINIMUM) this.byAccount.delete(account)
    this.rateOf = new Map([...this.byAccount].map(([account, rate]) => [account, rate.at(MEMORY_MS, now)]))
    this.sorted = [...this.rateOf.values()].sort((left, right) => left - right)
  }

  /** The limit at which the rates, each cut off at it, add up to `fraction` of their sum. */
  private limitFor (fraction: number): number {
    let left = fraction * this.sorted.reduce((sum, rate) => sum + rate, 0)
    for (const [index, rate] of this.sorted.entries()) {
      const others = this.sorted.length - index
      if (rate * others >= left) return left / others
      left -= rate
    }
    return Infinity
  }
}
