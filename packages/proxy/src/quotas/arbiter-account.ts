/**
 * One account as its arbiter sees it: a bucket over all requests that entries admit, and the share of the limit that each
 * entry holds. Requests that an entry has not reported yet are charged in advance at the rate of its share, so that an
 * entry that is cut off, and uses its share, is accounted for from the first moment.
 *
 * Load pattern: an account that sends at five times its usual rate through many entries, half of it in one zone.
 */
import type * as Decisions from '@jasminedale/decisions'
import type * as Accounts from '../accounts/account.js'
import type * as Settings from '../settings.js'
import * as QuotaBudgets from './quota-budget.js'
import * as QuotaMessages from './quota-message.js'
import type * as ReportingEntries from './reporting-entry.js'
import * as SilenceReturns from './silence-returns.js'

const MILLISECONDS_PER_SECOND = 1_000
/** Time in which entries learn of a fraction. An account that has credit for as long is not thinned. */
const LAG_S = 0.25
/** Shortest time over which the credit or debt of a thinned account is spread: longer than the lag, so that the fraction does not swing. */
const HORIZON_S = 0.4
/** Time for which an account that was thinned is not let off at once: with few requests its demand is known only roughly. */
const THINNED_MS = 5_000
/** Period over which an entry's demand is measured; one interval of reports. */
const DEMAND_PERIOD_MS = 250
const STEADY_PERIOD_S = 1
/** Time constant of the demand by which shares are divided. */
const SHARE_PERIOD_MS = 1_500
/** Share of the limit that an entry gets beyond its demand while the account is below its limit. */
const SHARE_MARGIN = 1.5
/** Entries without a report for this time use their shares without asking. */
const SILENT_AFTER_MS = 900
/** The second arbiter no longer counts on the share of an entry without a report for this time: it may have returned to the first. */
const SECOND_SILENT_MS = 3_000
/** An arbiter that takes over from one that may still run divides only what its reporters hold for this time. */
const TAKEOVER_MS = 6_000
const LEARNING_MS = 700
/** Time after the last report for which an entry is kept and notified, and its share reserved if it is no longer registered. */
export const ENTRY_KEPT_MS = 40_000

export interface ArbiterAccountOptions {
  readonly settings: Settings.QuotaSettings
  readonly role: QuotaMessages.Role
  /** Whether this node regards itself as the arbiter, too. */
  readonly isExpected: boolean
  /** Whether an earlier process of this node may have given out the burst within the last window. */
  readonly isRestarted: boolean
  /** Number of registered nodes. */
  readonly nodes: () => number
}

export class ArbiterAccount {
  private readonly entries = new Map<Decisions.Ids.Endpoint, ReportingEntries.ReportingEntry>()
  /** Requests that may be admitted beyond the rate, less those charged in advance; negative when the account owes some. */
  private level: number
  private advancedAt: number
  private readonly createdAt: number
  private limitVersion = -1
  private thinnedAt: number
  private readonly returns = new SilenceReturns.SilenceReturns()
  /** Sums over the entries. */
  private reserved = 0
  private silent = 0
  private demand = 0
  private smoothed = 0
  /** Demand over about a second, so that an entry that is cut off does not go on with a fraction that was high by chance. */
  private steadyDemand = 0
  /** What entries brought when they first reported. */
  private brought = 0

  constructor (private limit: Accounts.AccountRateLimit, private readonly options: ArbiterAccountOptions, now: Decisions.Clock.Milliseconds) {
    const mayHaveBurst = options.role === 'first' && options.isExpected && !options.isRestarted
    this.level = mayHaveBurst ? limit.burst : 0
    this.thinnedAt = mayHaveBurst ? -Infinity : now
    this.createdAt = now
    this.advancedAt = now
  }

  get hosts (): Iterable<Decisions.Ids.Endpoint> {
    return this.entries.keys()
  }

  /** Requests a second that the account may send. */
  get rate (): number {
    return this.limit.rate
  }

  get isEmpty (): boolean {
    return this.entries.size === 0
  }

  /** Requests a second that entries were last offered. */
  get demandRate (): number {
    return this.demand
  }

  /** Whether fractions may be told: while other entries may still hold shares of another arbiter, they are only collected. */
  isLearning (now: Decisions.Clock.Milliseconds): boolean {
    return this.options.role === 'first' && this.brought > 0 && now - this.createdAt < LEARNING_MS
  }

  /** Takes in a report. Returns false for one that is doubled or late. */
  record (header: QuotaMessages.Report, item: QuotaMessages.ReportItem, now: Decisions.Clock.Milliseconds): boolean {
    const known = this.entries.get(header.from)
    if (known !== undefined && (header.incarnation < known.incarnation || (header.incarnation === known.incarnation && header.sequence <= known.sequence))) return false
    this.applyLimit(item)
    this.advance(now)
    const entry = known ?? this.addEntry(header.from, item, now)
    this.charge(entry, header, item, now)
    this.setReserved(entry, this.isRelease(entry, item) ? 0 : Math.max(item.share, entry.told === item.share ? 0 : entry.told))
    entry.offered = item.offered
    entry.admitted = item.admitted
    entry.incarnation = header.incarnation
    entry.sequence = header.sequence
    entry.reportedAt = now
    return true
  }

  /** Share of requests that entries may admit now. */
  fraction (now: Decisions.Clock.Milliseconds): number {
    this.advance(now)
    const pool = this.pool(now)
    const rate = this.limit.rate * Math.max(0, pool - this.silent)
    const credit = this.level + pool * QuotaBudgets.tolerance(this.limit, this.options.settings)
    const isThinned = now - this.thinnedAt < THINNED_MS
    const demand = isThinned ? Math.max(this.demand, this.steadyDemand) : this.demand
    if (demand <= rate + credit / (isThinned ? this.horizon : LAG_S)) return 1
    this.thinnedAt = now
    return Math.min(1, Math.max(0, (rate + credit / this.horizon) / demand))
  }

  /** Time in s over which credit or debt is spread while the account is thinned. */
  private get horizon (): number {
    return Math.max(HORIZON_S, QuotaBudgets.tolerance(this.limit, this.options.settings) / this.limit.rate)
  }

  /** The answer to the last report of an entry, with a new share. */
  answer (account: Decisions.Ids.Account, host: Decisions.Ids.Endpoint, now: Decisions.Clock.Milliseconds): QuotaMessages.AnswerItem {
    const fraction = this.fraction(now)
    const entry = this.entries.get(host)
    if (entry === undefined) return { account, fraction, share: 0 }
    const needed = SHARE_MARGIN * entry.smoothed / this.limit.rate
    const proportional = this.smoothed > 0 ? entry.smoothed / this.smoothed * Math.max(0, this.pool(now) - this.silent) : 0
    const free = Math.max(0, this.pool(now) - this.reserved + entry.reserved)
    const isIdle = entry.demand === 0 && entry.reserved === 0
    entry.told = isIdle ? 0 : QuotaMessages.round(Math.min(needed, proportional, free, 1))
    this.setReserved(entry, Math.max(entry.reserved, entry.told))
    return { account, fraction, share: entry.told }
  }

  /** Finds entries that have become silent, and forgets those that hold nothing, or are not registered, and are long silent. */
  sweep (isRegistered: (host: Decisions.Ids.Endpoint) => boolean, now: Decisions.Clock.Milliseconds): void {
    this.advance(now)
    for (const [host, entry] of this.entries) {
      const age = now - entry.reportedAt
      if (age > SILENT_AFTER_MS && !entry.isSilent && entry.reserved > 0) this.setSilent(entry, true)
      const hasLeft = this.options.role === 'second' && age > SECOND_SILENT_MS
      if (hasLeft || (age > ENTRY_KEPT_MS && (entry.reserved === 0 || !isRegistered(host)))) this.removeEntry(host, entry)
      else if (age > DEMAND_PERIOD_MS * 2) this.setDemand(entry, 0, entry.smoothed)
    }
  }

  /** The part of the limit that this arbiter divides. */
  private pool (now: Decisions.Clock.Milliseconds): number {
    const { role, isRestarted, settings } = this.options
    const hasMoved = !isRestarted && this.brought > 0 && now - this.createdAt < TAKEOVER_MS && !QuotaBudgets.fitsSlack(this.limit, settings)
    const isPartial = role === 'second' || hasMoved
    return isPartial ? Math.min(1, this.brought) : 1
  }

  /** Refills the bucket, less what entries may have admitted since their last reports. */
  private advance (now: Decisions.Clock.Milliseconds): void {
    const elapsed = Math.max(0, now - this.advancedAt) / MILLISECONDS_PER_SECOND
    const pool = this.pool(now)
    this.level = Math.min(this.level + this.limit.rate * (pool - this.reserved) * elapsed, this.limit.burst * pool)
    this.steadyDemand += (1 - Math.exp(-elapsed / STEADY_PERIOD_S)) * (this.demand - this.steadyDemand)
    this.advancedAt = now
  }

  /** The newest configuration of any entry decides. A lower burst binds at once. */
  private applyLimit ({ rate, burst, version }: QuotaMessages.ReportItem): void {
    if (version <= this.limitVersion) return
    this.limitVersion = version
    this.limit = { rate, burst }
    this.level = Math.min(this.level, burst)
  }

  private addEntry (host: Decisions.Ids.Endpoint, item: QuotaMessages.ReportItem, now: Decisions.Clock.Milliseconds): ReportingEntries.ReportingEntry {
    const { role, settings, nodes } = this.options
    // Without a share, the entry would admit its part of what is kept back for that.
    const brought = role === 'second' ? Math.max(item.share, QuotaBudgets.unsharedRate(this.limit, settings) / this.limit.rate / nodes()) : item.share
    this.brought += brought
    // An earlier arbiter may just have given out the burst.
    if (item.share > 0 && now - this.createdAt < TAKEOVER_MS) this.level = Math.min(this.level, 0)
    const entry: ReportingEntries.ReportingEntry = {
      incarnation: 0, sequence: -1, offered: item.offered - item.recentlyOffered, admitted: item.admitted - item.recentlyAdmitted, reportedAt: now, demand: 0, smoothed: 0, told: 0, reserved: 0, brought, isSilent: false
    }
    this.entries.set(host, entry)
    return entry
  }

  /** Replaces what was charged in advance by what the entry has admitted. */
  private charge (entry: ReportingEntries.ReportingEntry, header: QuotaMessages.Report, item: QuotaMessages.ReportItem, now: Decisions.Clock.Milliseconds): void {
    const age = now - entry.reportedAt
    const isContinued = entry.sequence === -1 || header.incarnation === entry.incarnation
    const offered = isContinued ? Math.max(0, item.offered - entry.offered) : item.offered
    const admitted = isContinued ? item.admitted - entry.admitted : item.admitted
    // What a process that has ended admitted after its last report stays charged in advance.
    const charged = isContinued ? this.limit.rate * entry.reserved * age / MILLISECONDS_PER_SECOND : 0
    this.credit(entry.isSilent && isContinued ? this.returns.offset(charged - admitted, this.level, now) : charged - admitted, now)
    if (!isContinued) entry.told = 0
    if (entry.isSilent) this.setSilent(entry, false)
    const demand = age >= DEMAND_PERIOD_MS
      ? offered * MILLISECONDS_PER_SECOND / age
      : offered * MILLISECONDS_PER_SECOND / DEMAND_PERIOD_MS + entry.demand * (1 - age / DEMAND_PERIOD_MS)
    const weight = 1 - Math.exp(-(entry.sequence === -1 ? DEMAND_PERIOD_MS : age) / SHARE_PERIOD_MS)
    this.setDemand(entry, demand, entry.smoothed + weight * (demand - entry.smoothed))
  }

  private credit (requests: number, now: Decisions.Clock.Milliseconds): void {
    const floor = -QuotaBudgets.windowQuota(this.limit, this.options.settings)
    this.level = Math.max(floor, Math.min(this.level + requests, this.limit.burst * this.pool(now)))
  }

  private isRelease (entry: ReportingEntries.ReportingEntry, item: QuotaMessages.ReportItem): boolean {
    return item.share === 0 && entry.demand === 0
  }

  private setReserved (entry: ReportingEntries.ReportingEntry, reserved: number): void {
    this.reserved += reserved - entry.reserved
    entry.reserved = reserved
  }

  private setDemand (entry: ReportingEntries.ReportingEntry, demand: number, smoothed: number): void {
    this.demand = Math.max(0, this.demand + demand - entry.demand)
    this.smoothed = Math.max(0, this.smoothed + smoothed - entry.smoothed)
    entry.demand = demand
    entry.smoothed = smoothed
  }

  private setSilent (entry: ReportingEntries.ReportingEntry, isSilent: boolean): void {
    this.silent += isSilent ? entry.reserved : -entry.reserved
    entry.isSilent = isSilent
  }

  private removeEntry (host: Decisions.Ids.Endpoint, entry: ReportingEntries.ReportingEntry): void {
    if (entry.isSilent) this.setSilent(entry, false)
    if (this.options.role === 'second') this.brought = Math.max(0, this.brought - Math.max(entry.reserved, entry.brought))
    this.setReserved(entry, 0)
    this.setDemand(entry, 0, 0)
    this.entries.delete(host)
  }
}
