/**
 * The accounts with a limit whose requests arrive at this entry, by the node that arbitrates each of them. Accounts without
 * requests are forgotten; accounts without a limit are never here.
 *
 * Load pattern: many accounts of which each entry sees a few at a time, on nodes that come and go.
 */
import * as Decisions from '@jasminedale/decisions'
import * as LruCache from 'lru-cache'
import type * as Settings from '../settings.js'
import type * as ArbiterRankings from './arbiter-ranking.js'
import * as EntryAccounts from './entry-account.js'
import * as QuotaMessages from './quota-message.js'

/** Time without requests after which an account is forgotten. Shorter than `ArbiterAccounts.ENTRY_KEPT_MS`, so that its counts never start again in an arbiter that knows them. */
const ACCOUNT_KEPT_MS = 30_000
const NOTICES_MAXIMUM = 1_000
const HASH_VALUES = 2 ** 32

export interface EntryQuotasOptions {
  readonly settings: Settings.QuotaSettings
  readonly own: Decisions.Ids.Endpoint
  /** Start time of this process. */
  readonly incarnation: number
  /** Called when an arbiter begins or ceases to be silent. */
  readonly onSilence: (arbiter: Decisions.Ids.Endpoint, isSilent: boolean) => void
}

/** A report for one node; one datagram. */
export interface OutgoingReport {
  readonly to: Decisions.Ids.Endpoint
  readonly report: QuotaMessages.Report
}

/** An arbiter of accounts of this entry. */
interface Peer {
  readonly host: Decisions.Ids.Endpoint
  readonly accounts: Set<Tracked>
  reportedAt: number
  hasUrgent: boolean
  /** When the first report was sent that has no answer. */
  unansweredSince: number | undefined
  isSilent: boolean
}

/** What an arbiter has told of an account without requests here. */
interface Notice {
  readonly from: Decisions.Ids.Endpoint
  readonly item: QuotaMessages.AnswerItem
  readonly at: Decisions.Clock.Milliseconds
}

interface Tracked {
  readonly account: EntryAccounts.EntryAccount
  peer: Peer
  second: Decisions.Ids.Endpoint | undefined
  ranking: ArbiterRankings.ArbiterRanking
}

/** The last answer of an arbiter, to ignore those that arrive out of order. */
interface Answered {
  readonly incarnation: number
  readonly sequence: number
}

export class EntryQuotas {
  private readonly tracked = new Map<Decisions.Ids.Account, Tracked>()
  private readonly peers = new Map<Decisions.Ids.Endpoint, Peer>()
  private readonly lastAnswers = new Map<Tracked, Map<Decisions.Ids.Endpoint, Answered>>()
  private readonly notices = new LruCache.LRUCache<Decisions.Ids.Account, Notice>({ max: NOTICES_MAXIMUM })
  private sequence = 0

  constructor (private readonly options: EntryQuotasOptions, private ranking: ArbiterRankings.ArbiterRanking) {}

  /** Applies a change of the registered nodes. Each account moves with its next report. */
  replaceRanking (ranking: ArbiterRankings.ArbiterRanking): void {
    this.ranking = ranking
  }

  /** Number of accounts that are kept. */
  get size (): number {
    return this.tracked.size
  }

  /** @param limit Of the configuration in force, whose `version` decides between limits that nodes disagree on. */
  decide (name: Decisions.Ids.Account, limit: EntryAccounts.VersionedLimit, now: Decisions.Clock.Milliseconds): EntryAccounts.Decision {
    const tracked = this.tracked.get(name) ?? this.track(name, limit, now)
    const { peer, account } = tracked
    const decision = account.decide(limit, { settings: this.options.settings, nodes: this.ranking.size, isArbiterSilent: peer.isSilent }, now)
    if (!peer.hasUrgent && account.isUrgent(now)) peer.hasUrgent = true
    return decision
  }

  /** Takes back an admitted request that has certainly not run. */
  giveBack (name: Decisions.Ids.Account): void {
    this.tracked.get(name)?.account.giveBack()
  }

  /** The reports that are due. To be called several times in each interval of reports. */
  reports (now: Decisions.Clock.Milliseconds): readonly OutgoingReport[] {
    const outgoing: OutgoingReport[] = []
    for (const peer of [...this.peers.values()]) {
      this.updateSilence(peer, now)
      if (!peer.hasUrgent && now - peer.reportedAt < EntryAccounts.REPORT_INTERVAL_MS) continue
      outgoing.push(...this.reportsTo(peer, now))
    }
    return outgoing
  }

  recordAnswer (answer: QuotaMessages.Answer, now: Decisions.Clock.Milliseconds): void {
    const peer = this.peers.get(answer.from)
    if (peer !== undefined) peer.unansweredSince = undefined
    for (const item of answer.items) {
      const tracked = this.tracked.get(item.account)
      if (tracked === undefined) this.notices.set(item.account, { from: answer.from, item, at: now })
      if (tracked === undefined || !this.isNewest(tracked, answer)) continue
      if (tracked.peer.host === answer.from) tracked.account.recordAnswer(item, 'first', now)
      else if (tracked.second === answer.from) tracked.account.recordAnswer(item, 'second', now)
    }
  }

  private isNewest (tracked: Tracked, { from, incarnation, sequence }: QuotaMessages.Answer): boolean {
    const known = this.lastAnswers.get(tracked) ?? new Map<Decisions.Ids.Endpoint, Answered>()
    const last = known.get(from)
    if (last !== undefined && (incarnation < last.incarnation || (incarnation === last.incarnation && sequence <= last.sequence))) return false
    this.lastAnswers.set(tracked, known.set(from, { incarnation, sequence }))
    return true
  }

  private track (name: Decisions.Ids.Account, limit: EntryAccounts.VersionedLimit, now: Decisions.Clock.Milliseconds): Tracked {
    const carry = Decisions.Rendezvous.hash(`${this.options.own} ${name}`) / HASH_VALUES
    const { first, second } = this.ranking.of(name)
    const tracked: Tracked = { account: new EntryAccounts.EntryAccount(name, limit, carry, now), peer: this.peerAt(first), second, ranking: this.ranking }
    tracked.peer.accounts.add(tracked)
    this.tracked.set(name, tracked)
    const notice = this.notices.get(name)
    if (notice?.from === first && now - notice.at < ACCOUNT_KEPT_MS) tracked.account.recordNotice(notice.item.fraction, notice.at)
    this.notices.delete(name)
    return tracked
  }

  private peerAt (host: Decisions.Ids.Endpoint): Peer {
    const known = this.peers.get(host)
    if (known !== undefined) return known
    const peer: Peer = { host, accounts: new Set(), reportedAt: -Infinity, hasUrgent: false, unansweredSince: undefined, isSilent: false }
    this.peers.set(host, peer)
    return peer
  }

  private updateSilence (peer: Peer, now: Decisions.Clock.Milliseconds): void {
    const isSilent = peer.unansweredSince !== undefined && now - peer.unansweredSince > EntryAccounts.SILENCE_MS
    if (isSilent === peer.isSilent) return
    peer.isSilent = isSilent
    this.options.onSilence(peer.host, isSilent)
  }

  private reportsTo (peer: Peer, now: Decisions.Clock.Milliseconds): readonly OutgoingReport[] {
    this.removeStale(peer, now)
    const due = [...peer.accounts].filter(({ account }) => account.isDue(this.options.settings, now))
    peer.hasUrgent = false
    if (due.length === 0) return []
    peer.reportedAt = now
    peer.unansweredSince ??= now
    const items = new Map(due.map(tracked => [tracked, tracked.account.report(now)]))
    const outgoing = this.messages(peer.host, 'first', [...items.values()])
    const bySecond = new Map<Decisions.Ids.Endpoint, QuotaMessages.ReportItem[]>()
    for (const [{ account, second }, item] of items) if (second !== undefined && account.asksSecond(this.options.settings, now)) bySecond.set(second, [...bySecond.get(second) ?? [], item])
    return [...outgoing, ...[...bySecond].flatMap(([second, parts]) => this.messages(second, 'second', parts))]
  }

  private messages (to: Decisions.Ids.Endpoint, role: QuotaMessages.Role, items: readonly QuotaMessages.ReportItem[]): readonly OutgoingReport[] {
    const { own, incarnation } = this.options
    return QuotaMessages.split(items).map(part => {
      this.sequence += 1
      return { to, report: { from: own, incarnation, sequence: this.sequence, role, items: part } }
    })
  }

  /** Forgets accounts without requests, and moves those that another node arbitrates now. */
  private removeStale (peer: Peer, now: Decisions.Clock.Milliseconds): void {
    for (const tracked of peer.accounts) {
      if (tracked.account.idleFor(now) > ACCOUNT_KEPT_MS) this.remove(tracked)
      else if (tracked.ranking !== this.ranking) this.move(tracked)
    }
    if (peer.accounts.size === 0) this.peers.delete(peer.host)
  }

  private remove (tracked: Tracked): void {
    tracked.peer.accounts.delete(tracked)
    this.tracked.delete(tracked.account.name)
    this.lastAnswers.delete(tracked)
  }

  private move (tracked: Tracked): void {
    const { first, second } = this.ranking.of(tracked.account.name)
    tracked.ranking = this.ranking
    tracked.second = second
    if (first === tracked.peer.host) return
    tracked.peer.accounts.delete(tracked)
    tracked.peer = this.peerAt(first)
    tracked.peer.accounts.add(tracked)
    tracked.peer.hasUrgent = true
    tracked.account.recordArbiterChanged()
  }
}
