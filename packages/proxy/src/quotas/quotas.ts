/** Quotas of client accounts on this node: as entry for its callers, and as arbiter of the accounts that hash to it. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Accounts from '../accounts/account.js'
import type * as Directories from '../directory/directory.js'
import type * as Logs from '../observation/log.js'
import type * as Metrics from '../observation/metrics.js'
import type * as Settings from '../settings.js'
import type * as ConfigurationStates from '../state/configuration-state.js'
import type * as NodeChannels from '../transport/node-channel.js'
import * as Arbiters from './arbiter.js'
import * as ArbiterRankings from './arbiter-ranking.js'
import * as EntryQuotas from './entry-quotas.js'
import * as QuotaMessages from './quota-message.js'

const REPORT_METHOD = 'quota-report'
const ANSWER_METHOD = 'quota-answer'
/** Interval at which reports and notices that are due are sent; urgent ones wait no longer than this. */
const TICK_INTERVAL_MS = 50
/** Shortest time between two rankings of the registered nodes, whose number may be large. */
const RANKING_INTERVAL_MS = 1_000
/** Lines on accounts and arbiters in `LINES_PERIOD_MS`; further changes are counted in the next line. */
const LINES_MAXIMUM = 30
const LINES_PERIOD_MS = 60_000

export interface QuotasDependencies {
  readonly settings: Pick<Settings.ProxySettings, 'location' | 'quotas'>
  readonly directory: Directories.Directory
  readonly configuration: Pick<ConfigurationStates.ConfigurationState, 'version'>
  readonly nodeChannel: Pick<NodeChannels.NodeChannel, 'handle' | 'notify'>
  readonly clock: Decisions.Clock.Clock
  readonly log: Logs.Log
  readonly metrics: Pick<Metrics.Metrics, 'recordQuotaRefusal' | 'recordQuotaMessage' | 'setLimitedAccounts'>
}

export class Quotas {
  private readonly dependencies: QuotasDependencies
  private readonly entry: EntryQuotas.EntryQuotas
  private readonly arbiter: Arbiters.Arbiter
  /** Start time of this process, by which other nodes tell it from an earlier one. */
  private readonly incarnation = Date.now()
  private ranking: ArbiterRankings.ArbiterRanking
  private rankedRevision = -1
  private rankedAt = -Infinity
  private sequence = 0
  private linesSince = -Infinity
  private lines = 0
  private timer: NodeJS.Timeout | undefined

  constructor (dependencies: QuotasDependencies) {
    this.dependencies = dependencies
    const { settings: { location, quotas }, directory, nodeChannel, clock } = dependencies
    this.ranking = new ArbiterRankings.ArbiterRanking([], location.host)
    this.entry = new EntryQuotas.EntryQuotas({
      settings: quotas, own: location.host, incarnation: this.incarnation,
      onSilence: (arbiter, isSilent) => { this.logChange(isSilent ? 'arbiter of client accounts does not answer' : 'arbiter of client accounts answers again', { arbiter }) }
    }, this.ranking)
    this.arbiter = new Arbiters.Arbiter({
      settings: quotas, own: location.host, ranking: () => this.ranking,
      isRegistered: host => (directory.newestAtHost(host)?.state ?? 'gone') !== 'gone',
      onLimited: (account, isLimited, { fraction, demand }) => {
        this.logChange(isLimited ? 'client account exceeds its limit' : 'client account is below its limit again', { account, fraction: QuotaMessages.round(fraction), demand: Math.round(demand) })
      }
    }, clock.now())
    nodeChannel.handle(REPORT_METHOD, params => this.receiveReport(params))
    nodeChannel.handle(ANSWER_METHOD, params => this.receiveAnswer(params))
  }

  start (): void {
    this.timer = setInterval(() => { this.update() }, TICK_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Counts a request that is about to be dispatched. Returns the time in ms until credit is likely if it is over the quota. */
  admit (account: Accounts.Account | undefined): number | undefined {
    if (account?.rateLimit === undefined) return undefined
    const { clock, configuration, metrics } = this.dependencies
    const now = clock.now()
    this.updateRanking(now)
    const { rule, retryAfter } = this.entry.decide(account.name, { ...account.rateLimit, version: configuration.version }, now)
    if (retryAfter !== undefined) metrics.recordQuotaRefusal(rule)
    return retryAfter
  }

  /** Takes back an admitted request that has certainly not run. */
  giveBack (account: Decisions.Ids.Account | undefined): void {
    if (account !== undefined) this.entry.giveBack(account)
  }

  /** Sends the reports and notices that are due. */
  update (): void {
    const now = this.dependencies.clock.now()
    if (this.entry.size + this.arbiter.size > 0) this.updateRanking(now)
    for (const { to, report } of this.entry.reports(now)) {
      if (to === this.dependencies.settings.location.host) this.answer(report, now)
      else this.send(REPORT_METHOD, QuotaMessages.encodeReport(report), to)
    }
    for (const { to, items } of this.arbiter.notices(now)) this.sendAnswers(to, items, now)
    this.dependencies.metrics.setLimitedAccounts(this.arbiter.limitedCount)
  }

  private updateRanking (now: Decisions.Clock.Milliseconds): void {
    const { directory, settings } = this.dependencies
    if (directory.revision === this.rankedRevision || now - this.rankedAt < RANKING_INTERVAL_MS) return
    this.rankedRevision = directory.revision
    this.rankedAt = now
    const hosts = directory.allTargets().filter(({ state }) => state === 'ready').map(({ host }) => host)
    this.ranking = new ArbiterRankings.ArbiterRanking(hosts, settings.location.host, this.ranking)
    this.entry.replaceRanking(this.ranking)
  }

  private receiveReport (params: readonly unknown[]): boolean {
    const report = QuotaMessages.decodeReport(params)
    if (report !== undefined) this.answer(report, this.dependencies.clock.now())
    return report !== undefined
  }

  private receiveAnswer (params: readonly unknown[]): boolean {
    const answer = QuotaMessages.decodeAnswer(params)
    if (answer !== undefined) this.entry.recordAnswer(answer, this.dependencies.clock.now())
    return answer !== undefined
  }

  private answer (report: QuotaMessages.Report, now: Decisions.Clock.Milliseconds): void {
    this.sendAnswers(report.from, this.arbiter.recordReport(report, now), now)
  }

  private sendAnswers (to: Decisions.Ids.Endpoint, items: readonly QuotaMessages.AnswerItem[], now: Decisions.Clock.Milliseconds): void {
    const { host } = this.dependencies.settings.location
    for (const part of QuotaMessages.split(items)) {
      this.sequence += 1
      const answer: QuotaMessages.Answer = { from: host, incarnation: this.incarnation, sequence: this.sequence, items: part }
      if (to === host) this.entry.recordAnswer(answer, now)
      else this.send(ANSWER_METHOD, QuotaMessages.encodeAnswer(answer), to)
    }
  }

  private send (method: string, params: readonly unknown[], to: Decisions.Ids.Endpoint): void {
    this.dependencies.metrics.recordQuotaMessage(method)
    this.dependencies.nodeChannel.notify(method, params, [to])
  }

  private logChange (message: string, fields: Logs.Fields): void {
    const now = this.dependencies.clock.now()
    const isNewPeriod = now - this.linesSince > LINES_PERIOD_MS
    const omitted = isNewPeriod ? Math.max(0, this.lines - LINES_MAXIMUM) : 0
    if (isNewPeriod) [this.linesSince, this.lines] = [now, 0]
    this.lines += 1
    if (this.lines <= LINES_MAXIMUM) this.dependencies.log.info(message, omitted > 0 ? { ...fields, omitted } : fields)
  }
}
