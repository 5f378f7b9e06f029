/**
 * One account with a limit as one entry sees it: counts its requests, and decides which of them are over the quota.
 *
 * Load pattern: demand that jumps five-fold within 100 ms, and traffic that moves between entries. An entry has no credit of
 * its own while the arbiter answers, so that any entry can use the burst; it reports early when its own requests jump.
 */
import * as Decisions from '@jasminedale/decisions'
import type * as Accounts from '../accounts/account.js'
import type * as Settings from '../settings.js'
import * as FallbackBuckets from './fallback-bucket.js'
import * as QuotaBudgets from './quota-budget.js'
import type * as QuotaMessages from './quota-message.js'
import * as Thinnings from './thinning.js'

/** Time without an answer after which an entry decides alone. */
export const SILENCE_MS = 1_000
/** Time without an answer after which the second arbiter is asked too. */
const SECOND_ASKED_MS = 2_500
export const REPORT_INTERVAL_MS = 250
/** Interval of reports without new requests, by which an entry keeps its share. */
const IDLE_REPORT_INTERVAL_MS = 500
/** Time without requests after which an entry gives up its share. */
const SHARE_HELD_MS = 4_000
/** While an account is limited, its arbiter repeats the fraction each second. Without a repetition for this time, the arbiter is silent. */
const FRACTION_VALID_MS = 2_500
/** Requests since the last report, in multiples of the expected ones, that are reported early. */
const EARLY_REPORT_RATIO = 2
const EARLY_REPORT_MINIMUM = 2
const RATE_WEIGHT = 0.3
const MILLISECONDS_PER_SECOND = 1_000
const RETRY_AFTER_MINIMUM_MS = 250
const RETRY_AFTER_MAXIMUM_MS = 5_000

/** Under which rule a request was decided. */
export type Rule = 'fraction' | 'fallback'
export interface Decision {
  readonly rule: Rule
  /** Time in ms until credit is likely; undefined for an admitted request. */
  readonly retryAfter: number | undefined
}

/** A limit, and the version of the configuration that states it. */
export interface VersionedLimit extends Accounts.AccountRateLimit {
  readonly version: number
}

/** What the decision needs to know of the fleet. */
export interface EntryContext {
  readonly settings: Settings.QuotaSettings
  /** Number of registered nodes. */
  readonly nodes: number
  /** Whether the arbiter is known not to answer this entry. */
  readonly isArbiterSilent: boolean
}

export class EntryAccount {
  private offered = 0
  private admitted = 0
  private reportedOffered = 0
  private reportedAdmitted = 0
  /** Requests a second of this entry, as last reported. */
  private rate = 0
  private fraction = 1
  private fractionUntil = Infinity
  private share = 0
  private reportedAt = -Infinity
  private hasUnreportedRelease = false
  private unansweredSince: number | undefined
  private secondAnsweredAt = -Infinity
  private readonly thinning: Thinnings.Thinning
  private bucket: FallbackBuckets.FallbackBucket | undefined
  private requestedAt: number

  /** @param carry Place at which the thinning starts, in [0, 1). */
  constructor (readonly name: Decisions.Ids.Account, private limit: VersionedLimit, carry: number, now: Decisions.Clock.Milliseconds) {
    this.thinning = new Thinnings.Thinning(carry)
    this.requestedAt = now
  }

  /** Decides about one request. A changed limit holds at once. */
  decide (limit: VersionedLimit, context: EntryContext, now: Decisions.Clock.Milliseconds): Decision {
    this.limit = limit
    this.offered += 1
    this.requestedAt = now
    // The entry takes up its share again before the arbiter has heard that it gave it up.
    this.hasUnreportedRelease = false
    const isAlone = (context.isArbiterSilent || this.isUnanswered(SILENCE_MS, now) || this.isOutdated(now)) && now - this.secondAnsweredAt > SILENCE_MS
    if (!isAlone) this.bucket = undefined
    const isAdmitted = isAlone ? this.admitsAlone(context, now) : this.thinning.admits(this.fraction)
    if (isAdmitted) this.admitted += 1
    return { rule: isAlone ? 'fallback' : 'fraction', retryAfter: isAdmitted ? undefined : this.retryAfter(context) }
  }

  /** Takes back an admitted request that has certainly not run. */
  giveBack (): void {
    this.offered -= 1
    this.admitted -= 1
    this.bucket?.giveBack()
  }

  /** Whether the account was limited when its arbiter was last heard, too long ago. */
  private isOutdated (now: Decisions.Clock.Milliseconds): boolean {
    return this.fraction < 1 && now >= this.fractionUntil
  }

  private admitsAlone (context: EntryContext, now: Decisions.Clock.Milliseconds): boolean {
    this.bucket ??= new FallbackBuckets.FallbackBucket(Decisions.Clock.milliseconds(Math.min(now, this.fractionUntil)))
    return this.bucket.admits(this.ownRate(context), this.limit.burst * this.share, now)
  }

  /** Requests a second that this entry may admit without an arbiter. */
  private ownRate ({ settings, nodes }: EntryContext): number {
    return Math.max(this.limit.rate * this.share, QuotaBudgets.unsharedRate(this.limit, settings) / Math.max(1, nodes))
  }

  /** Time until this entry is likely to admit a request again. */
  private retryAfter (context: EntryContext): number {
    const interval = MILLISECONDS_PER_SECOND / this.ownRate(context)
    return Math.min(Math.max(interval, RETRY_AFTER_MINIMUM_MS), RETRY_AFTER_MAXIMUM_MS)
  }

  /** Whether a report cannot wait for the next interval: the arbiter does not know of this entry yet, or requests have jumped. */
  isUrgent (now: Decisions.Clock.Milliseconds): boolean {
    if (this.offered === this.reportedOffered || (this.fraction < 1 && !this.isOutdated(now))) return false
    if (this.reportedAt === -Infinity) return true
    const expected = this.rate * (now - this.reportedAt) / MILLISECONDS_PER_SECOND
    return this.offered - this.reportedOffered > EARLY_REPORT_RATIO * expected + EARLY_REPORT_MINIMUM
  }

  /** Whether a report is due with the next message to the arbiter. */
  isDue (settings: Settings.QuotaSettings, now: Decisions.Clock.Milliseconds): boolean {
    if (this.hasNews || this.unansweredSince !== undefined || this.hasUnreportedRelease || this.releasesShare(settings, now)) return true
    const interval = this.rate > 0 ? REPORT_INTERVAL_MS : IDLE_REPORT_INTERVAL_MS
    return (this.share > 0 || this.rate > 0) && now - this.reportedAt >= interval
  }

  private get hasNews (): boolean {
    return this.offered !== this.reportedOffered || this.admitted !== this.reportedAdmitted
  }

  /** Gives up the share if there are no requests for it. */
  private releasesShare (settings: Settings.QuotaSettings, now: Decisions.Clock.Milliseconds): boolean {
    const heldFor = QuotaBudgets.fitsSlack(this.limit, settings) ? REPORT_INTERVAL_MS : SHARE_HELD_MS
    if (this.share === 0 || now - this.requestedAt < heldFor) return false
    this.share = 0
    this.hasUnreportedRelease = true
    return true
  }

  /** The next report. Unanswered, it is repeated. */
  report (now: Decisions.Clock.Milliseconds): QuotaMessages.ReportItem {
    const elapsed = Math.min(now - this.reportedAt, IDLE_REPORT_INTERVAL_MS)
    if (elapsed > 0) this.rate += RATE_WEIGHT * ((this.offered - this.reportedOffered) * MILLISECONDS_PER_SECOND / elapsed - this.rate)
    if (this.rate < 1 && this.offered === this.reportedOffered) this.rate = 0
    const { name, limit: { rate, burst, version }, offered, admitted, share } = this
    const item = { account: name, rate, burst, offered, admitted, share, version, recentlyOffered: offered - this.reportedOffered, recentlyAdmitted: admitted - this.reportedAdmitted }
    this.reportedOffered = offered
    this.reportedAdmitted = admitted
    this.reportedAt = now
    this.unansweredSince ??= now
    return item
  }

  /** Whether the second arbiter is to be asked too. Where entries keep no shares it would have nothing to divide. */
  asksSecond (settings: Settings.QuotaSettings, now: Decisions.Clock.Milliseconds): boolean {
    return this.isUnanswered(SECOND_ASKED_MS, now) && !QuotaBudgets.fitsSlack(this.limit, settings)
  }

  private isUnanswered (duration: number, now: Decisions.Clock.Milliseconds): boolean {
    return this.unansweredSince !== undefined && now - this.unansweredSince > duration
  }

  recordAnswer ({ fraction, share }: QuotaMessages.AnswerItem, role: QuotaMessages.Role, now: Decisions.Clock.Milliseconds): void {
    if (role === 'first') this.unansweredSince = undefined
    else if (!this.isUnanswered(SECOND_ASKED_MS, now)) return
    else this.secondAnsweredAt = now
    this.fraction = fraction
    this.fractionUntil = now + FRACTION_VALID_MS
    // A share that arrives after the release would never be given up.
    if (share === undefined || (this.hasUnreportedRelease && share > 0)) return
    this.hasUnreportedRelease = false
    this.share = share
  }

  /** Records a fraction that was told at `at`, before the first request. */
  recordNotice (fraction: number, at: Decisions.Clock.Milliseconds): void {
    this.fraction = fraction
    this.fractionUntil = at + FRACTION_VALID_MS
  }

  /** Forgets that the arbiter did not answer, because another node has become the arbiter. */
  recordArbiterChanged (): void {
    this.unansweredSince = undefined
    this.secondAnsweredAt = -Infinity
  }

  /** Time since the last request. */
  idleFor (now: Decisions.Clock.Milliseconds): number {
    return now - this.requestedAt
  }
}
