/**
 * The accounts that this node arbitrates: takes in the reports of entries, answers them, and notifies the entries of an
 * account when its fraction falls or rises before they would ask.
 *
 * Load pattern: entries that see few requests of an account, and would learn too late that others have used up its quota.
 */
import type * as Decisions from '@jasminedale/decisions'
import type * as Settings from '../settings.js'
import * as ArbiterAccounts from './arbiter-account.js'
import type * as ArbiterRankings from './arbiter-ranking.js'
import type * as QuotaMessages from './quota-message.js'

/**
 * A node that has just started sends no answers: it does not know yet what shares entries hold. Each entry repeats its
 * report twice in this time, and does not yet decide alone when it ends.
 */
const START_SILENCE_MS = 700
const NOTICE_INTERVAL_MS = 50
/** Change of the fraction that is notified at once. */
const NOTICED_FALL = 0.85
const NOTICED_RISE = 1.25
/** Interval at which the fraction of a limited account is repeated. */
const REPEAT_INTERVAL_MS = 1_000
const RECOVERY_REPEATS = 3
const SWEEP_INTERVAL_MS = 250
/** Nodes beyond its entries that are told of a limited account. Each would admit its first request, which together exceeds the slack. */
const UNKNOWN_NODES_MAXIMUM = 300
/** Time for which an account must be below its limit to count as no longer limited. */
const UNLIMITED_AFTER_MS = 5_000

export interface ArbiterOptions {
  readonly settings: Settings.QuotaSettings
  readonly own: Decisions.Ids.Endpoint
  /** The nodes that are registered as ready. */
  readonly ranking: () => ArbiterRankings.ArbiterRanking
  /** Whether a node is registered, in whatever state before its end. */
  readonly isRegistered: (host: Decisions.Ids.Endpoint) => boolean
  /** Called when an account becomes limited, or is no longer. */
  readonly onLimited: (account: Decisions.Ids.Account, isLimited: boolean, details: LimitDetails) => void
}

export interface LimitDetails {
  readonly fraction: number
  /** Requests a second that entries were last offered. */
  readonly demand: number
}

/** Items for one node, to be divided over datagrams. */
export interface OutgoingAnswer {
  readonly to: Decisions.Ids.Endpoint
  readonly items: readonly QuotaMessages.AnswerItem[]
}

interface Arbitrated {
  readonly role: QuotaMessages.Role
  readonly name: Decisions.Ids.Account
  readonly account: ArbiterAccounts.ArbiterAccount
  /** Fraction of the last notice to all entries. */
  noticedFraction: number
  noticedAt: number
  /** Notices left to send after the account has fallen below its limit, since any may be lost. */
  repeats: number
  isLimited: boolean
  /** When the fraction was last below 1. */
  limitedAt: number
}

export class Arbiter {
  private readonly accounts = new Map<string, Arbitrated>()
  private sweptAt: number
  private limitedTotal = 0

  constructor (private readonly options: ArbiterOptions, private readonly startedAt: Decisions.Clock.Milliseconds) {
    this.sweptAt = startedAt
  }

  get size (): number {
    return this.accounts.size
  }

  /** Number of accounts that are over their limits. */
  get limitedCount (): number {
    return this.limitedTotal
  }

  /** Takes in a report; returns the answers to it. */
  recordReport (report: QuotaMessages.Report, now: Decisions.Clock.Milliseconds): readonly QuotaMessages.AnswerItem[] {
    const answers: QuotaMessages.AnswerItem[] = []
    for (const item of report.items) {
      const { name, account } = this.arbitrated(report.role, item, now)
      if (account.record(report, item, now) && !this.isSilent(account, now)) answers.push(account.answer(name, report.from, now))
    }
    return answers
  }

  /** The notices that are due; forgets what is no longer needed. To be called several times in each interval of reports. */
  notices (now: Decisions.Clock.Milliseconds): readonly OutgoingAnswer[] {
    if (now - this.sweptAt >= SWEEP_INTERVAL_MS) this.sweep(now)
    const byHost = new Map<Decisions.Ids.Endpoint, QuotaMessages.AnswerItem[]>()
    for (const arbitrated of this.accounts.values()) {
      const { name, account } = arbitrated
      if (this.isSilent(account, now)) continue
      const fraction = account.fraction(now)
      this.updateLimited(arbitrated, fraction, now)
      if (!isNoticeDue(arbitrated, fraction, now)) continue
      arbitrated.repeats = fraction < 1 ? RECOVERY_REPEATS : arbitrated.repeats - 1
      arbitrated.noticedFraction = fraction
      arbitrated.noticedAt = now
      for (const host of this.recipients(arbitrated)) {
        const items = byHost.get(host) ?? []
        items.push({ account: name, fraction })
        byHost.set(host, items)
      }
    }
    return [...byHost].map(([to, items]) => ({ to, items }))
  }

  /** Entries of the account. With fewer requests than nodes, most requests come through nodes that are not among them yet. */
  private recipients ({ account, role }: Arbitrated): Iterable<Decisions.Ids.Endpoint> {
    const { size, hosts } = this.options.ranking()
    return role === 'second' || account.rate > size || size > UNKNOWN_NODES_MAXIMUM ? account.hosts : new Set([...account.hosts, ...hosts])
  }

  private arbitrated (role: QuotaMessages.Role, item: QuotaMessages.ReportItem, now: Decisions.Clock.Milliseconds): Arbitrated {
    const key = `${role} ${item.account}`
    const known = this.accounts.get(key)
    if (known !== undefined) return known
    const { settings, own, ranking } = this.options
    // Nodes may disagree for seconds on which of them are registered; then another arbiter has this account too.
    const isExpected = ranking().of(item.account).first === own
    const isRestarted = now - this.startedAt < settings.window
    const arbitrated: Arbitrated = {
      role, name: item.account, account: new ArbiterAccounts.ArbiterAccount(item, { settings, role, isExpected, isRestarted, nodes: () => ranking().size }, now),
      noticedFraction: 1, noticedAt: -Infinity, repeats: 0, isLimited: false, limitedAt: -Infinity
    }
    this.accounts.set(key, arbitrated)
    return arbitrated
  }

  private isSilent (account: ArbiterAccounts.ArbiterAccount, now: Decisions.Clock.Milliseconds): boolean {
    return now - this.startedAt < START_SILENCE_MS || account.isLearning(now)
  }

  private updateLimited (arbitrated: Arbitrated, fraction: number, now: Decisions.Clock.Milliseconds): void {
    if (fraction < 1) arbitrated.limitedAt = now
    const isLimited = now - arbitrated.limitedAt < UNLIMITED_AFTER_MS
    if (isLimited !== arbitrated.isLimited) this.setLimited(arbitrated, isLimited, fraction)
  }

  private setLimited (arbitrated: Arbitrated, isLimited: boolean, fraction: number): void {
    arbitrated.isLimited = isLimited
    this.limitedTotal += isLimited ? 1 : -1
    this.options.onLimited(arbitrated.name, isLimited, { fraction, demand: arbitrated.account.demandRate })
  }

  private sweep (now: Decisions.Clock.Milliseconds): void {
    this.sweptAt = now
    for (const [key, arbitrated] of this.accounts) {
      arbitrated.account.sweep(this.options.isRegistered, now)
      if (!arbitrated.account.isEmpty) continue
      if (arbitrated.isLimited) this.setLimited(arbitrated, false, 1)
      this.accounts.delete(key)
    }
  }
}

function isNoticeDue ({ noticedFraction, noticedAt, repeats }: Arbitrated, fraction: number, now: Decisions.Clock.Milliseconds): boolean {
  const age = now - noticedAt
  if (age < NOTICE_INTERVAL_MS) return false
  const hasChanged = fraction < noticedFraction * NOTICED_FALL || fraction > noticedFraction * NOTICED_RISE || (fraction === 1 && noticedFraction < 1)
  return hasChanged || ((fraction < 1 || repeats > 0) && age >= REPEAT_INTERVAL_MS)
}
