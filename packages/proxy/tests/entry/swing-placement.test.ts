import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as CostTables from '../../src/costs/cost-table.js'
import * as RunningWorks from '../../src/costs/running-work.js'
import * as ServiceCosts from '../../src/costs/service-costs.js'
import * as Slowness from '../../src/costs/slowness.js'
import type * as Registrations from '../../src/directory/registration.js'
import * as HostViews from '../../src/entry/host-views.js'
import * as TargetSelectors from '../../src/entry/target-selector.js'
import type * as HostReports from '../../src/host/host-report.js'
import * as ServiceTimes from '../../src/host/service-time.js'
import * as Samples from '../support/samples.js'

const at = Decisions.Clock.milliseconds
const DATA_CENTERS = ['a', 'b'].map(Decisions.Ids.dataCenter)
const SLOTS = 8
const TARGETS_EACH = 6
const ENTRIES_EACH = 4
const TIMES = { short: 200, long: 650 }
const LONG_SHARE = 0.35
const MEAN_TIME = 1.18 * (LONG_SHARE * TIMES.long + (1 - LONG_SHARE) * TIMES.short)
const SWING = { amplitude: 0.55, period: 15_000, load: 0.75, duration: 60_000 }
const OBJECTIVE_FACTOR = 4

interface Request { readonly kind: 'short' | 'long', readonly time: number, readonly cost: number, readonly sentAt: number, readonly entry: Entry, readonly isFar: boolean }
interface Host { readonly registration: Registrations.Registration, readonly running: RunningWorks.RunningWork, readonly queue: Request[], readonly table: CostTables.CostTable, readonly speed: Slowness.Slowness, readonly serviceTime: ServiceTimes.ServiceTime }
interface Entry { readonly dataCenter: number, readonly views: HostViews.HostViews, readonly selector: TargetSelectors.TargetSelector, readonly costs: ServiceCosts.ServiceCosts }
interface Event { readonly at: number, readonly run: () => void }

function createHost (index: number): Host {
  const dataCenter = DATA_CENTERS[index % 2] ?? Decisions.Ids.dataCenter('a')
  return {
    registration: Samples.registration(`t${index}`, { dataCenter, slots: SLOTS, host: Decisions.Ids.endpoint(`10.0.0.${index}:1`) }),
    running: new RunningWorks.RunningWork(), queue: [], table: new CostTables.CostTable(), speed: new Slowness.Slowness(), serviceTime: new ServiceTimes.ServiceTime()
  }
}

function createEntry (index: number, random: Decisions.Random.Random): Entry {
  const views = new HostViews.HostViews()
  const location = { host: Decisions.Ids.endpoint(`10.0.1.${index}:1`), dataCenter: DATA_CENTERS[index % 2] ?? Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') }
  return { dataCenter: index % 2, views, selector: new TargetSelectors.TargetSelector(location, views, random), costs: new ServiceCosts.ServiceCosts() }
}

function key (kind: string): CostTables.CostKey {
  return { route: kind, account: undefined, sizeClass: 0 }
}

/** Two data centers whose demand swings out of phase; entries learn from responses only. */
class Swing {
  private readonly random = new Decisions.Random.Random(11)
  private readonly hosts = Array.from({ length: 2 * TARGETS_EACH }, (_, index) => createHost(index))
  private readonly entries = Array.from({ length: 2 * ENTRIES_EACH }, (_, index) => createEntry(index, this.random))
  private readonly events: Event[] = []
  private now = 0
  private readonly counts = { all: 0, late: 0, far: 0 }

  constructor (private readonly byCost: boolean) {}

  run (): { late: number, far: number } {
    this.scheduleArrival()
    for (let next = this.takeEvent(); next !== undefined; next = this.takeEvent()) {
      this.now = next.at
      next.run()
    }
    return { late: this.counts.late / this.counts.all, far: this.counts.far / this.counts.all }
  }

  private takeEvent (): Event | undefined {
    let [first, index] = [this.events[0], 0]
    for (const [position, event] of this.events.entries()) if (first !== undefined && event.at < first.at) [first, index] = [event, position]
    this.events.splice(index, 1)
    return first
  }

  private scheduleArrival (): void {
    const rate = 2 * TARGETS_EACH * SLOTS * SWING.load / MEAN_TIME
    const delay = -Math.log(1 - this.random.fraction()) / rate
    if (this.now + delay > SWING.duration) return
    this.events.push({ at: this.now + delay, run: () => {
      const swing = SWING.amplitude * Math.sin(2 * Math.PI * this.now / SWING.period)
      const dataCenter = this.random.fraction() < (1 + swing) / 2 ? 0 : 1
      const entry = this.random.pick(this.entries.filter(other => other.dataCenter === dataCenter))
      if (entry !== undefined) this.send(entry)
      this.scheduleArrival()
    } })
  }

  private send (entry: Entry): void {
    const kind = this.random.fraction() < LONG_SHARE ? 'long' : 'short'
    const time = TIMES[kind] * (0.5 + this.random.fraction()) * (this.random.fraction() < 0.03 ? 7 : 1)
    const cost = entry.costs.expected(Samples.SERVICE, key(kind), at(this.now))
    const criteria = { isFailureFinal: false, mayBypassBreaker: false, excluded: new Set<Decisions.Ids.TargetId>(), cost: this.byCost ? { request: cost, mean: entry.costs.mean(Samples.SERVICE), meanLeft: entry.costs.meanLeft(Samples.SERVICE) } : undefined }
    const chosen = entry.selector.choose(this.hosts.map(({ registration }) => registration), criteria, at(this.now))
    const host = this.hosts.find(({ registration }) => registration === chosen)
    if (host === undefined) return
    const view = entry.views.of(host.registration.target)
    view.inFlight += 1
    view.inFlightWork += cost
    view.workSinceReport += cost
    view.requestsSinceReport += 1
    host.queue.push({ kind, time, cost, sentAt: this.now, entry, isFar: host.registration.dataCenter !== DATA_CENTERS[entry.dataCenter] })
    this.startNext(host)
  }

  private startNext (host: Host): void {
    if (host.running.size >= SLOTS) return
    const request = host.queue.shift()
    if (request === undefined) return
    const run = { startedAt: at(this.now), cost: host.table.expected(key(request.kind), at(this.now)) * host.speed.ratio }
    host.running.start(run)
    this.events.push({ at: this.now + request.time, run: () => {
      host.running.end(run)
      this.finish(host, request)
      this.startNext(host)
    } })
  }

  private finish (host: Host, request: Request): void {
    const { kind, time, cost, sentAt, entry, isFar } = request
    const now = at(this.now)
    host.serviceTime.add(at(time))
    host.speed.add(time, cost)
    host.table.learn(key(kind), time / host.speed.ratio, now)
    const view = entry.views.of(host.registration.target)
    view.inFlight -= 1
    view.inFlightWork = Math.max(0, view.inFlightWork - cost)
    const report = this.report(host)
    entry.costs.learnWork(Samples.SERVICE, report.work?.left ?? 0, report.running + report.queued)
    entry.costs.learn(Samples.SERVICE, key(kind), time, report.work?.slowness ?? 1, now)
    entry.views.recordResponse(host.registration.target, report, now)
    this.counts.all += 1
    if (isFar) this.counts.far += 1
    if (this.now - sentAt > OBJECTIVE_FACTOR * TIMES[kind]) this.counts.late += 1
  }

  private report ({ running, queue, speed, table, serviceTime }: Host): HostReports.HostReport {
    const waiting = queue.reduce((sum, { kind }) => sum + table.expected(key(kind), at(this.now)), 0)
    return {
      running: running.size, queued: queue.length, slots: SLOTS, timeUntilProbe: undefined, failures: 0, serviceTime: serviceTime.mean, version: Decisions.Ids.version(1),
      work: { slowness: speed.ratio, left: running.left(at(this.now)) / speed.ratio + waiting, served: undefined }
    }
  }
}

// Guards against placement by cost that leaves one data center overloaded while their demand swings 55 % up and down over 15 s, out of phase.
test('swing of demand between two data centers', () => {
  const [byNumber, byCost] = [new Swing(false).run(), new Swing(true).run()]
  assert.ok(byCost.late < byNumber.late, `late ${byNumber.late.toFixed(4)} to ${byCost.late.toFixed(4)}`)
})

// Guards against billed traffic between data centers beyond what placement by number sends, in the same swing.
test('traffic between data centers during a swing of demand', () => {
  const [byNumber, byCost] = [new Swing(false).run(), new Swing(true).run()]
  assert.ok(byCost.far <= byNumber.far + 0.03, `far ${byNumber.far.toFixed(4)} to ${byCost.far.toFixed(4)}`)
})
