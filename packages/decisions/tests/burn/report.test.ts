import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'

const { Clock, Ids } = Decisions
const NODE = Ids.nodeId('n1')
const SERVICE = Ids.service('accounts')
const TARGET = Ids.targetId('a&<1>')
const START = Clock.minutes(1)

function createEngine (): Decisions.Engines.Engine {
  const identity = {
    node: NODE, address: Ids.endpoint('127.0.0.1:1'), dataCenter: Ids.dataCenter('burnaby-a'), region: Ids.region('lower-mainland'), incarnation: Ids.incarnation(1), seeds: []
  }
  const created = new Decisions.Engines.Engine({ identity, seed: 1 })
  // Without a log the engine would refuse callers for its first 3 s.
  created.board.configuration.isInitialized = true
  return created
}

function arrival (id: string, method = 'GET'): Decisions.Events.RequestArrived {
  return {
    kind: 'request-arrived', request: Ids.requestId(id), hop: 'entry', service: SERVICE, method, path: '/', signature: Ids.signature(id), replayable: false, earlierAttempts: 0
  }
}

/** Sends one request through the engine's only target, which answers with `status` after `elapsed` ms. */
function sendRequest (engine: Decisions.Engines.Engine, id: string, status: number, elapsed: number, at: number = START): void {
  const step = (now: number, events: readonly Decisions.Events.ExternalEvent[]): readonly Decisions.Commands.Command[] => engine.step(Clock.milliseconds(now), events)
  step(at, [{ kind: 'target-announced', target: TARGET, service: SERVICE, address: Ids.endpoint('127.0.0.1:2'), slots: 4, incarnation: Ids.incarnation(1) }])
  const dispatch = step(at, [arrival(id)]).find(command => command.kind === 'dispatch')
  assert.ok(dispatch !== undefined)
  const { request, attempt } = dispatch
  const time = Clock.milliseconds(elapsed)
  step(at + elapsed, [
    { kind: 'attempt-responded', request, attempt, status, shed: false, serviceTime: time },
    { kind: 'attempt-finished', request, attempt, end: { kind: 'complete', status, bytes: 1 }, elapsed: time }
  ])
}

function createReport (engine: Decisions.Engines.Engine, now: number): Decisions.BurnReports.Report {
  return Decisions.BurnReports.createReport(engine.board.burn, NODE, Clock.milliseconds(now))
}

// Guards against requests that are counted twice, under the wrong classification or not at all.
test('requests are classified by the objectives and attributed to targets and causes', () => {
  const engine = createEngine()
  for (let index = 0; index < 97; index++) sendRequest(engine, `good-${index}`, 200, 1)
  sendRequest(engine, 'slow', 200, 600)
  sendRequest(engine, 'failed', 500, 1)
  const at = START + 1_000
  engine.step(Clock.milliseconds(at), [{ kind: 'drain-requested' }, arrival('refused')])
  const [service] = createReport(engine, at).services
  assert.ok(service !== undefined)
  const bad = 0.03
  const burnRate = bad / (1 - Decisions.DefaultPolicy.DEFAULT_POLICY.availabilityObjective)
  for (const window of service.windows) {
    assert.deepEqual([window.good, window.slow, window.failed, window.refused], [97, 1, 1, 1], window.window)
    assert.ok(Math.abs(window.burnRate - burnRate) < 1e-6)
  }
  assert.deepEqual(service.targets, [{ name: TARGET, count: 2 }])
  assert.deepEqual(service.causes.map(({ name }) => name), ['node-leaving', 'server-error', 'slow-response'])
})

// Guards against requests that are counted in a window for too long or too short a time.
test('requests leave each window after its span', () => {
  const engine = createEngine()
  sendRequest(engine, 'failed', 500, 1)
  const failedCounts = (now: number): readonly number[] => createReport(engine, START + now).services[0]?.windows.map(window => window.failed) ?? []
  assert.deepEqual(failedCounts(Clock.minutes(4)), [1, 1, 1, 1])
  assert.deepEqual(failedCounts(Clock.minutes(6)), [0, 1, 1, 1])
  assert.deepEqual(failedCounts(Clock.hours(2)), [0, 0, 1, 1])
  assert.deepEqual(failedCounts(Clock.hours(7)), [0, 0, 0, 1])
  assert.deepEqual(failedCounts(Clock.hours(73)), [0, 0, 0, 0])
})

// Guards against values that JSON cannot represent, sums that omit a node, and SVG that names with special characters break.
test('reports of several nodes add up and render', () => {
  const [first, second] = [createEngine(), createEngine()]
  sendRequest(first, 'failed', 500, 1)
  sendRequest(second, 'good', 200, 1)
  const reports = [first, second].map(engine => JSON.parse(JSON.stringify(createReport(engine, START + 10))) as Decisions.BurnReports.Report)
  const merged = Decisions.BurnReports.merge(reports)
  const [window] = merged.services[0]?.windows ?? []
  assert.deepEqual([window?.good, window?.failed], [1, 1])
  assert.match(Decisions.BurnText.renderText(merged), /accounts: objective 99\.9 % within 500 ms/)
  const image = Decisions.BurnSvg.renderSvg(merged)
  assert.match(image, /^<svg [^>]*>[\s\S]*<\/svg>\n$/)
  assert.ok(image.includes('a&amp;&lt;1&gt; 1'))
  assert.ok(!/https?:\/\/(?!www\.w3\.org\/2000\/svg)/.test(image), 'the image refers to nothing else')
})
