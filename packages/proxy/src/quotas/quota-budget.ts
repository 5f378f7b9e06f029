/**
 * How the bounds on a quota are divided between what can exceed it. A bucket that never owes more than `debtMaximum`
 * admits at most (rate x window + burst) x (1 + overshoot) + slack in any window.
 */
import type * as Accounts from '../accounts/account.js'
import type * as Settings from '../settings.js'

const MILLISECONDS_PER_SECOND = 1_000
/** Debt that is not corrected, so that few requests close together are not refused. The rest covers the lag of reports. */
const TOLERANCE_RATIO = 0.25
const TOLERANCE_MAXIMUM = 10
/** Share of overshoot and slack for entries that hold no share and cannot ask for one. */
const RESERVE_RATIO = 0.25
/** The same for accounts whose entries never keep shares. */
const SHARELESS_RESERVE_RATIO = 0.8

/** Requests of an account within a window. A greater debt than this says nothing about the next window. */
export function windowQuota ({ rate, burst }: Accounts.AccountRateLimit, { window }: Settings.QuotaSettings): number {
  return rate * window / MILLISECONDS_PER_SECOND + burst
}

export function debtMaximum (limit: Accounts.AccountRateLimit, settings: Settings.QuotaSettings): number {
  return windowQuota(limit, settings) * settings.overshoot + settings.slack
}

/** Requests that an account may owe without being thinned. */
export function tolerance (limit: Accounts.AccountRateLimit, settings: Settings.QuotaSettings): number {
  return Math.min(debtMaximum(limit, settings) * TOLERANCE_RATIO, TOLERANCE_MAXIMUM)
}

/** Requests a second of all entries together that hold no share; no arbiter accounts for them while they are cut off. */
export function unsharedRate (limit: Accounts.AccountRateLimit, settings: Settings.QuotaSettings): number {
  const { window, overshoot, slack } = settings
  const ratio = fitsSlack(limit, settings) ? SHARELESS_RESERVE_RATIO : RESERVE_RATIO
  return Math.min(limit.rate, ratio * (overshoot * limit.rate + slack * MILLISECONDS_PER_SECOND / window))
}

/** Whether all requests of the account within a window fit the slack, so that its entries need no shares when they are cut off. */
export function fitsSlack ({ rate }: Accounts.AccountRateLimit, { window, slack }: Settings.QuotaSettings): boolean {
  return rate * window / MILLISECONDS_PER_SECOND <= slack
}
