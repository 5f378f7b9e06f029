import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import type * as Accounts from '../../src/accounts/account.js'
import * as DependencyControls from '../../src/dependencies/dependency-control.js'
import * as Directories from '../../src/directory/directory.js'
import * as HostViews from '../../src/entry/host-views.js'
import type * as HostReports from '../../src/host/host-report.js'
import * as Logs from '../../src/observation/log.js'
import * as Samples from '../support/samples.js'

const NARROW = Decisions.Ids.service('narrow')
const TARGETS = ['a', 'bb', 'ccc']
const REPORT: HostReports.HostReport = { running: 8, queued: 4, slots: 8, timeUntilProbe: undefined, failures: 0, serviceTime: Decisions.Clock.milliseconds(200), version: Decisions.Ids.version(1) }
const PARENT: DependencyControls.ObservedRequest = { route: 'order', account: undefined, isCall: false }

class RecordingLog extends Logs.Log {
  readonly lines: [string, Logs.Fields][] = []

  debug (): void { /* Discarded. */ }

  info (message: string, fields: Logs.Fields): void {
    this.lines.push([message, fields])
  }

  warn (): void { /* Discarded. */ }
}

class Node {
  readonly clock = new Decisions.Clock.VirtualClock()
  readonly views = new HostViews.HostViews()
  readonly log = new RecordingLog()
  readonly refusals: string[] = []
  features = { placesByCost: false, sharesFairly: false, admitsByDependencies: true }
  accounts: readonly Accounts.Account[] | undefined
  readonly control: DependencyControls.DependencyControl

  constructor () {
    const directory = new Directories.Directory()
    for (const name of TARGETS) directory.merge(Samples.registration(name, { service: NARROW, slots: 8 }))
    for (const name of ['dddd', 'eeeee']) directory.merge(Samples.registration(name))
    const configuration = (): ReturnType<typeof Samples.configuration> => Samples.configuration({ features: this.features, accounts: this.accounts })
    this.control = new DependencyControls.DependencyControl({
      clock: this.clock, directory, views: this.views, log: this.log, configuration: { get current () { return configuration() } },
      metrics: { recordDependencyRefusal: (route, service) => { this.refusals.push(`${route} ${service}`) }, setAdmissionFraction: () => { /* Not read. */ } }
    })
  }

  advance (milliseconds: number): void {
    this.clock.advance(Decisions.Clock.milliseconds(milliseconds))
  }

  /** Runs of a parent that makes two calls each. */
  learn (runs: number): void {
    for (let run = 0; run < runs; run += 1) {
      const end = this.control.recordStart(PARENT)
      for (let call = 0; call < 2; call += 1) {
        this.advance(100)
        this.control.recordCall(NARROW)
      }
      end(true)
    }
  }

  receive (admissionFraction: number | undefined): void {
    for (const name of TARGETS) this.views.recordResponse(Decisions.Ids.targetId(name), { ...REPORT, ...(admissionFraction === undefined ? {} : { admissionFraction }) }, this.clock.now())
  }

  /** Parents refused of 100 within the lifetime of the reports. */
  refusedOf100 (request = PARENT): number {
    let refused = 0
    for (let index = 0; index < 100; index += 1) {
      this.advance(10)
      if (this.control.check(request) !== undefined) refused += 1
    }
    return refused
  }
}

// Guards against parents that start although the targets of the called service report that they have no room.
test('parents are admitted by the reports of the called service', () => {
  const node = new Node()
  node.learn(10)
  assert.equal(node.refusedOf100(), 0)
  node.receive(0.5)
  assert.ok(Math.abs(node.refusedOf100() - 50) <= 3)
  assert.equal(node.refusedOf100({ ...PARENT, route: 'list' }), 0)
  assert.equal(node.refusedOf100({ ...PARENT, isCall: true }), 0)
  assert.equal(new Set(node.refusals).size, 1)
})

// Guards against a change of behaviour where the configuration does not ask for it.
test('without the feature nothing is refused, learned or reported', () => {
  const node = new Node()
  node.features = { ...node.features, admitsByDependencies: false }
  node.learn(10)
  node.receive(0.1)
  assert.equal(node.refusedOf100(), 0)
  assert.equal(node.control.fraction({ slots: 8, rate: undefined }), undefined)
  assert.equal(node.control.senderFraction(NARROW), 1)
  node.features = { ...node.features, admitsByDependencies: true }
  assert.equal(node.refusedOf100(), 0)
})

// Guards against hosts of an earlier version, which report no fraction, that stop their callers.
test('missing fraction means room', () => {
  const node = new Node()
  node.learn(10)
  node.receive(undefined)
  assert.equal(node.refusedOf100(), 0)
})

// Guards against calls that state another fraction than that by which their parents were admitted, about 0.3 s before.
test('calls state the fraction of their parents', () => {
  const node = new Node()
  node.learn(10)
  assert.equal(node.control.senderFraction(NARROW), 1)
  const stated: number[] = []
  for (let index = 0; index < 20; index += 1) {
    node.receive(0.4)
    node.advance(60)
    stated.push(node.control.senderFraction(NARROW))
  }
  assert.ok((stated[1] ?? 0) > 0.75 && Math.abs((stated.at(-1) ?? 0) - 0.4) < 0.05, stated.join(' '))
  assert.equal(node.control.senderFraction(Samples.SERVICE), 1)
})

// Guards against a line for each refused request of an overload.
test('refusals and changes of the fraction are logged once a second', () => {
  const node = new Node()
  node.learn(10)
  node.receive(0.5)
  node.refusedOf100()
  node.receive(0.5)
  node.refusedOf100()
  const lines = node.log.lines.filter(([message]) => message.startsWith('request refused'))
  assert.ok(lines.length >= 1 && lines.length <= 2, JSON.stringify(lines))
  assert.deepEqual(Object.keys(lines[0]?.[1] ?? {}), ['route', 'service', 'fraction', 'age', 'retryAfter', 'refusals'])
  for (let index = 0; index < 3_000; index += 1) {
    node.advance(2)
    node.control.recordOffer({ ...PARENT, isCall: true }, false)
    node.control.fraction({ slots: 8, rate: undefined })
  }
  const changes = node.log.lines.filter(([message]) => message.startsWith('admission fraction'))
  assert.ok(changes.length >= 1 && changes.length <= 6, JSON.stringify(changes))
})

// Guards against calls that are not told from other requests where no request carries a key.
test('without accounts a route whose requests come from one service is recognized as calls', () => {
  const node = new Node()
  const receive = (service: Decisions.Ids.Service): void => {
    for (let index = 0; index < 40; index += 1) {
      node.advance(200)
      node.control.recordCaller({ route: 'stock', callerService: service })
    }
  }
  assert.equal(node.control.consistsOfCalls('stock'), false)
  receive(Samples.SERVICE)
  assert.equal(node.control.consistsOfCalls('stock'), true)
  node.control.recordCaller({ route: 'stock', callerService: NARROW })
  assert.equal(node.control.consistsOfCalls('stock'), false)
  receive(NARROW)
  assert.equal(node.control.consistsOfCalls('stock'), true)
  node.accounts = []
  assert.equal(node.control.consistsOfCalls('stock'), false)
  node.accounts = undefined
  node.features = { ...node.features, admitsByDependencies: false }
  assert.equal(node.control.consistsOfCalls('stock'), false)
})

// Guards against an entry that takes requests as calls long after no host has stated so.
test('entry remembers for ten seconds that a route consists of calls', () => {
  const node = new Node()
  assert.equal(node.control.isCallRoute('stock'), false)
  node.control.recordCallRoute('stock')
  node.advance(9_000)
  assert.equal(node.control.isCallRoute('stock'), true)
  node.accounts = []
  assert.equal(node.control.isCallRoute('stock'), false)
  node.accounts = undefined
  node.advance(1_100)
  assert.equal(node.control.isCallRoute('stock'), false)
})

// Guards against a line for each request of a route whose recognition changes all the time.
test('recognized routes are logged once', () => {
  const node = new Node()
  for (let index = 0; index < 100; index += 1) {
    node.advance(200)
    node.control.recordCaller({ route: 'stock', callerService: Samples.SERVICE })
    node.control.consistsOfCalls('stock')
  }
  assert.deepEqual(node.log.lines, [['route recognized as calls', { route: 'stock', service: Samples.SERVICE }]])
})
