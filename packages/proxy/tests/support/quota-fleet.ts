/** Entries and arbiters of a fleet on virtual time, with links that delay, lose, double and cut. Counts what runs. */
import * as assert from 'node:assert/strict'
import * as Decisions from '@jasminedale/decisions'
import type * as Accounts from '../../src/accounts/account.js'
import * as ArbiterRankings from '../../src/quotas/arbiter-ranking.js'
import * as Arbiters from '../../src/quotas/arbiter.js'
import * as EntryQuotas from '../../src/quotas/entry-quotas.js'
import * as QuotaMessages from '../../src/quotas/quota-message.js'
import * as Samples from './samples.js'

const STEP_MS = 10
const TICK_MS = 50

export interface Load {
  readonly account: Decisions.Ids.Account
  readonly limit: Accounts.AccountRateLimit
  /** Requests a second at an entry, by the time in s since the run began. */
  readonly rateAt: (entry: number, time: number) => number
}

export interface Link { readonly loss: number, readonly doubled: number, readonly delay: readonly [number, number] }

interface Node {
  readonly host: Decisions.Ids.Endpoint
  readonly entry: EntryQuotas.EntryQuotas
  readonly arbiter: Arbiters.Arbiter
  readonly incarnation: number
  sequence: number
}

export interface Event { readonly at: number, readonly entry: number }

export class QuotaFleet {
  readonly hosts: readonly Decisions.Ids.Endpoint[]
  readonly ran = new Map<Decisions.Ids.Account, Event[]>()
  readonly refused = new Map<Decisions.Ids.Account, Event[]>()
  isCut: (from: number, to: number) => boolean = () => false
  /** Share of admitted requests that end as not run, 100 ms later. */
  notRun = 0
  /** Version of the configuration on all nodes. */
  version = 1
  messages = 0
  bytes = 0
  now = 0
  private readonly random: Decisions.Random.Random
  private readonly nodes: (Node | undefined)[] = []
  private wholeRanking: ArbiterRankings.ArbiterRanking | undefined
  private queue: { readonly at: number, readonly action: () => void }[] = []

  constructor (count: number, seed: number, private readonly link: Link = { loss: 0, doubled: 0, delay: [5, 40] }) {
    this.random = new Decisions.Random.Random(seed)
    this.hosts = Array.from({ length: count }, (_, index) => Decisions.Ids.endpoint(`10.0.${index >> 8}.${index & 255}:80`))
    for (const index of this.hosts.keys()) this.start(index)
  }

  /** Starts a process without any state. */
  start (index: number): void {
    const host = this.hosts[index] ?? assert.fail()
    const settings = Samples.LIMIT_SETTINGS.quotas
    const incarnation = this.now + 1
    const entry = new EntryQuotas.EntryQuotas({ settings, own: host, incarnation, onSilence: () => { /* Not checked. */ } }, this.ranking())
    const arbiter = new Arbiters.Arbiter({ settings, own: host, isRegistered: () => true, ranking: () => this.ranking(), onLimited: () => { /* Not checked. */ } }, Decisions.Clock.milliseconds(this.now))
    this.nodes[index] = { host, entry, arbiter, incarnation, sequence: 0 }
  }

  kill (index: number): void {
    this.nodes[index] = undefined
  }

  rankingOf (hosts: readonly Decisions.Ids.Endpoint[]): ArbiterRankings.ArbiterRanking {
    return new ArbiterRankings.ArbiterRanking(hosts, this.hosts[0] ?? assert.fail())
  }

  /** Number of accounts that entries and arbiters keep. */
  get stateSize (): number {
    return this.nodes.reduce((sum, node) => sum + (node === undefined ? 0 : node.entry.size + node.arbiter.size), 0)
  }

  private ranking (): ArbiterRankings.ArbiterRanking {
    this.wholeRanking ??= this.rankingOf(this.hosts)
    return this.wholeRanking
  }

  entryAt (index: number): EntryQuotas.EntryQuotas {
    return this.nodes[index]?.entry ?? assert.fail()
  }

  /** Indexes of the first and the second arbiter of an account. */
  arbitersOf (account: Decisions.Ids.Account): readonly [number, number] {
    const { first, second } = this.ranking().of(account)
    return [this.hosts.indexOf(first), second === undefined ? -1 : this.hosts.indexOf(second)]
  }

  run (seconds: number, loads: readonly Load[]): void {
    const [start, end] = [this.now, this.now + seconds * 1_000]
    for (; this.now < end; this.now += STEP_MS) {
      for (const { action } of this.takeDue()) action()
      for (const [index, node] of this.nodes.entries()) {
        if (node === undefined) continue
        for (const load of loads) this.offer(index, node, load, (this.now - start) / 1_000)
        if ((this.now + index * STEP_MS) % TICK_MS === 0) this.tick(index, node)
      }
    }
  }

  /** Most requests of an account that ran within any window, from `since` on. */
  largestWindow (account: Decisions.Ids.Account): number {
    const times = (this.ran.get(account) ?? []).map(({ at }) => at).sort((left, right) => left - right)
    const { window } = Samples.LIMIT_SETTINGS.quotas
    let [first, most] = [0, 0]
    for (const [index, time] of times.entries()) {
      while (time - (times[first] ?? time) > window) first += 1
      most = Math.max(most, index - first + 1)
    }
    return most
  }

  assertWindowRule ({ account, limit: { rate, burst } }: Load): void {
    const { window, overshoot, slack } = Samples.LIMIT_SETTINGS.quotas
    const allowed = (rate * window / 1_000 + burst) * (1 + overshoot) + slack
    const most = this.largestWindow(account)
    assert.ok(most <= allowed, `${account}: ${most} ran within a window, ${allowed} allowed`)
  }

  count (events: ReadonlyMap<Decisions.Ids.Account, readonly Event[]>, account: Decisions.Ids.Account, from = 0, to = Infinity): number {
    return (events.get(account) ?? []).filter(({ at }) => at >= from && at < to).length
  }

  private offer (index: number, node: Node, { account, limit, rateAt }: Load, time: number): void {
    const expected = rateAt(index, time) * STEP_MS / 1_000
    const arrivals = Math.floor(expected) + (this.random.fraction() < expected % 1 ? 1 : 0)
    for (let arrival = 0; arrival < arrivals; arrival += 1) {
      const { retryAfter } = node.entry.decide(account, { ...limit, version: this.version }, Decisions.Clock.milliseconds(this.now))
      if (retryAfter === undefined && this.random.fraction() < this.notRun) this.deliverAt(100, () => { node.entry.giveBack(account) })
      else record(retryAfter === undefined ? this.ran : this.refused, account, { at: this.now, entry: index })
    }
  }

  private tick (index: number, node: Node): void {
    const now = Decisions.Clock.milliseconds(this.now)
    for (const { to, report } of node.entry.reports(now)) {
      const target = this.hosts.indexOf(to)
      this.send(index, target, QuotaMessages.encodeReport(report), params => { this.receiveReport(target, params) })
    }
    for (const { to, items } of node.arbiter.notices(now)) this.answer(index, node, this.hosts.indexOf(to), items)
  }

  private receiveReport (index: number, params: readonly unknown[]): void {
    const [node, report] = [this.nodes[index], QuotaMessages.decodeReport(params)]
    assert.ok(report !== undefined)
    if (node === undefined) return
    this.answer(index, node, this.hosts.indexOf(report.from), node.arbiter.recordReport(report, Decisions.Clock.milliseconds(this.now)))
  }

  private answer (index: number, node: Node, to: number, all: readonly QuotaMessages.AnswerItem[]): void {
    for (const items of QuotaMessages.split(all)) {
      node.sequence += 1
      const params = QuotaMessages.encodeAnswer({ from: node.host, incarnation: node.incarnation, sequence: node.sequence, items })
      this.send(index, to, params, received => {
        const answer = QuotaMessages.decodeAnswer(received)
        assert.ok(answer !== undefined)
        this.nodes[to]?.entry.recordAnswer(answer, Decisions.Clock.milliseconds(this.now))
      })
    }
  }

  private send (from: number, to: number, params: readonly unknown[], deliver: (params: readonly unknown[]) => void): void {
    const text = JSON.stringify(params)
    assert.ok(text.length < 1_100, 'fits one datagram')
    if (from === to) {
      deliver(params)
      return
    }
    this.messages += 1
    this.bytes += text.length
    if (this.isCut(from, to)) return
    const copies = this.random.fraction() < this.link.doubled ? 2 : 1
    const [least, most] = this.link.delay
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.random.fraction() < this.link.loss) continue
      this.deliverAt(least + this.random.fraction() * (most - least), () => { deliver(JSON.parse(text) as unknown[]) })
    }
  }

  private deliverAt (delay: number, action: () => void): void {
    this.queue.push({ at: this.now + delay, action })
  }

  private takeDue (): readonly { readonly action: () => void }[] {
    const due = this.queue.filter(({ at }) => at <= this.now).sort((left, right) => left.at - right.at)
    this.queue = this.queue.filter(({ at }) => at > this.now)
    return due
  }
}

function record (events: Map<Decisions.Ids.Account, Event[]>, account: Decisions.Ids.Account, event: Event): void {
  const known = events.get(account) ?? []
  known.push(event)
  events.set(account, known)
}
