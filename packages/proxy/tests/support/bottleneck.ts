/** Replay of a load on virtual time: hosts of a calling service, whose parents call a service with less room, without a network. */
import * as Decisions from '@jasminedale/decisions'
import * as AdmissionFractions from '../../src/dependencies/admission-fraction.js'
import * as CallRates from '../../src/dependencies/call-rates.js'
import * as FractionTables from '../../src/dependencies/fraction-table.js'
import * as ParentAdmissions from '../../src/dependencies/parent-admission.js'

const CALL_MS = 200
const DIRECT_MS = 630
const CALL_TIMEOUT_MS = 2_100
const DIRECT_WAIT_MS = 870
/** Own work of a parent before its first call, between the calls, and after them. */
const PARENT_STEP_MS = 100
const PARENT_SLOTS = 8
const LONG_FACTOR = 7
const CALLS_PER_PARENT = 2
const CALLING_SHARE = 0.7

export interface LoadSettings {
  readonly parentHosts: number
  readonly calledHosts: number
  readonly isThinned: boolean
  /** Requests a second by time in ms. */
  readonly parentRate: (now: number) => number
  readonly directRate: (now: number) => number
  /** Account of the next parent. */
  readonly account?: (random: Decisions.Random.Random) => string
  /** Share of the requests to the called service that take 7 times as long. */
  readonly longShare?: number
  /** Whether reports of called hosts arrive. */
  readonly reportsArrive?: (now: number) => boolean
}

export interface Counts {
  offered: number
  started: number
  finished: number
  /** Parents that were started and lost a call. */
  failed: number
  direct: number
  directFinished: number
  /** Slot-ms of the called service that were in use. */
  work: number
  /** Share of the slots of the called service that was in use. */
  utilization: number
}

interface Waiting { readonly isCall: boolean, readonly deadline: number, readonly end: (isServed: boolean) => void }

/** A host of the called service: calls first, and direct requests at least every fifth start. */
export class CalledHost {
  demand = new AdmissionFractions.AdmissionFraction()
  running = 0
  /** Factor of the service times. */
  slowness = 1
  readonly calls: Waiting[] = []
  readonly direct: Waiting[] = []
  private startsOfCalls = 0

  constructor (private readonly load: BottleneckLoad) {}

  get fraction (): number {
    return this.demand.current({ slots: PARENT_SLOTS, rate: undefined }, this.load.now)
  }

  offer (isCall: boolean, senderFraction: number, end: (isServed: boolean) => void): void {
    const cost = this.slowness * (isCall ? CALL_MS : DIRECT_MS)
    const ahead = this.slowness * (this.calls.length * CALL_MS + (isCall ? 0 : this.direct.length * DIRECT_MS))
    const patience = isCall ? CALL_TIMEOUT_MS : DIRECT_WAIT_MS
    const isLate = this.running >= PARENT_SLOTS && ahead / PARENT_SLOTS + cost > patience
    this.demand.recordOffer({ isCall, senderFraction }, isLate, this.load.now)
    if (isLate) {
      end(false)
      return
    }
    if (isCall) this.demand.recordWaiting(1)
    const queue = isCall ? this.calls : this.direct
    queue.push({ isCall, deadline: this.load.now + patience, end })
    this.start()
  }

  /** Loses its waiting requests and what it has learned. */
  restart (): void {
    for (const waiting of [...this.calls.splice(0), ...this.direct.splice(0)]) waiting.end(false)
    this.demand = new AdmissionFractions.AdmissionFraction()
  }

  private start (): void {
    while (this.running < PARENT_SLOTS) {
      const isDirectDue = this.direct.length > 0 && (this.calls.length === 0 || this.startsOfCalls >= 4)
      const next = isDirectDue ? this.direct.shift() : this.calls.shift()
      if (next === undefined) return
      this.startsOfCalls = next.isCall ? this.startsOfCalls + 1 : 0
      if (next.isCall) this.demand.recordWaiting(-1)
      const expected = this.slowness * (next.isCall ? CALL_MS : DIRECT_MS)
      if (this.load.now + expected > next.deadline) {
        next.end(false)
        continue
      }
      this.running += 1
      const cost = expected * this.load.nextLength()
      this.load.after(cost, () => {
        this.running -= 1
        this.load.counts.work += cost
        this.demand.recordRun(next.isCall, cost)
        next.end(this.load.now <= next.deadline)
        this.start()
      })
    }
  }
}

class ParentHost {
  readonly rates = new CallRates.CallRates()
  readonly admission = new ParentAdmissions.ParentAdmission(this.rates)
  readonly reports = new Map<CalledHost, { fraction: number, at: number }>()
  readonly fractions = new FractionTables.FractionTable((_service, now) => [...this.reports.values()].map(({ fraction, at }) => ({ slots: PARENT_SLOTS, fraction, age: now - at })))
}

export class BottleneckLoad {
  readonly called: readonly CalledHost[]
  readonly parents: readonly ParentHost[]
  /** Admissions by account: offered and started. */
  readonly accounts = new Map<string, { offered: number, started: number }>()
  counts: Counts = { offered: 0, started: 0, finished: 0, failed: 0, direct: 0, directFinished: 0, work: 0, utilization: 0 }
  private readonly random = new Decisions.Random.Random(7)
  private readonly events = new Map<number, (() => void)[]>()
  private time = 0

  constructor (private readonly settings: LoadSettings, private readonly service = Decisions.Ids.service('narrow')) {
    this.called = Array.from({ length: settings.calledHosts }, () => new CalledHost(this))
    this.parents = Array.from({ length: settings.parentHosts }, () => new ParentHost())
  }

  get now (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(this.time)
  }

  /** Factor of the service time of the next request. */
  nextLength (): number {
    return this.random.fraction() < (this.settings.longShare ?? 0) ? LONG_FACTOR : 1
  }

  after (delay: number, action: () => void): void {
    const at = Math.floor(this.time) + Math.max(1, Math.round(delay))
    const actions = this.events.get(at)
    if (actions === undefined) this.events.set(at, [action])
    else actions.push(action)
  }

  /** Runs the load until `end`, and returns what happened since the last call. Requests in flight count for the next one. */
  runUntil (end: number): Counts {
    this.counts = { offered: 0, started: 0, finished: 0, failed: 0, direct: 0, directFinished: 0, work: 0, utilization: 0 }
    const { counts } = this
    const begin = this.time
    for (; this.time < end; this.time += 1) {
      for (const action of this.events.get(this.time) ?? []) action()
      this.events.delete(this.time)
      if (this.random.fraction() * 1_000 < this.settings.parentRate(this.time)) this.offerParent()
      if (this.random.fraction() * 1_000 < this.settings.directRate(this.time)) this.offerDirect()
    }
    counts.utilization = counts.work / ((end - begin) * this.called.length * PARENT_SLOTS)
    return counts
  }

  /** Mean fraction by which parents are admitted. */
  get fraction (): number {
    const fractions = this.parents.map(({ fractions: table }) => table.current(this.service, this.now).fraction)
    return fractions.reduce((sum, fraction) => sum + fraction, 0) / fractions.length
  }

  private offerDirect (): void {
    this.counts.direct += 1
    this.tryHosts(2, false, 1, undefined, isServed => { if (isServed) this.counts.directFinished += 1 })
  }

  private offerParent (): void {
    const parent = this.random.pick(this.parents)
    if (parent === undefined) return
    const account = this.settings.account?.(this.random) ?? 'a'
    const ofAccount = this.accounts.get(account) ?? { offered: 0, started: 0 }
    this.accounts.set(account, ofAccount)
    ofAccount.offered += 1
    this.counts.offered += 1
    const refusal = this.settings.isThinned
      ? parent.admission.check({ route: 'order', account: Decisions.Ids.account(account) }, service => parent.fractions.current(service, this.now), this.now)
      : undefined
    if (refusal !== undefined) return
    ofAccount.started += 1
    this.counts.started += 1
    const startedAt = this.now
    parent.rates.recordStart('order', startedAt)
    const end = (isServed: boolean): void => {
      parent.rates.recordEnd('order', startedAt, this.now)
      if (isServed) this.counts.finished += 1
      else this.counts.failed += 1
    }
    const calls = this.random.fraction() < CALLING_SHARE ? CALLS_PER_PARENT : 0
    this.after(PARENT_STEP_MS, () => { this.runCalls(parent, calls, end) })
  }

  private runCalls (parent: ParentHost, left: number, end: (isServed: boolean) => void): void {
    if (left === 0) {
      end(true)
      return
    }
    parent.rates.recordCall(this.service, this.now)
    const senderFraction = parent.rates.isCalled(this.service) ? parent.fractions.lagged(this.service, this.now) : 1
    this.tryHosts(8, true, senderFraction, parent, isServed => {
      if (isServed) this.after(PARENT_STEP_MS, () => { this.runCalls(parent, left - 1, end) })
      else end(false)
    })
  }

  /** Offers a request to the shorter queue of two hosts, and to others while they refuse it. */
  private tryHosts (tries: number, isCall: boolean, senderFraction: number, parent: ParentHost | undefined, end: (isServed: boolean) => void): void {
    const [left, right] = [this.random.pick(this.called), this.random.pick(this.called)]
    if (left === undefined || right === undefined) return
    const load = (host: CalledHost): number => (host.running + host.calls.length + host.direct.length + 1) * host.slowness
    const host = load(left) <= load(right) ? left : right
    host.offer(isCall, senderFraction, isServed => {
      this.report(host, parent)
      if (isServed || tries <= 1) end(isServed)
      else this.after(5, () => { this.tryHosts(tries - 1, isCall, senderFraction, parent, end) })
    })
  }

  /** Delivers a report with a delay of 50 to 300 ms. */
  private report (host: CalledHost, parent: ParentHost | undefined): void {
    if (parent === undefined || this.settings.reportsArrive?.(this.time) === false) return
    const { fraction } = host
    this.after(50 + 250 * this.random.fraction(), () => { parent.reports.set(host, { fraction, at: this.time }) })
  }
}
