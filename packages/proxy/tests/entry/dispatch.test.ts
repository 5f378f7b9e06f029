import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Directories from '../../src/directory/directory.js'
import * as Dispatches from '../../src/entry/dispatch.js'
import * as HostViews from '../../src/entry/host-views.js'
import * as TargetSelectors from '../../src/entry/target-selector.js'
import type * as Requests from '../../src/entry/request.js'
import * as RetryBudgets from '../../src/entry/retry-budget.js'
import type * as HostReports from '../../src/host/host-report.js'
import * as Works from '../../src/host/work.js'
import * as Metrics from '../../src/observation/metrics.js'
import type * as Routes from '../../src/routes/route.js'
import * as Samples from '../support/samples.js'
import * as ScriptedSenders from '../support/scripted-sender.js'

const CLOCK = new Decisions.Clock.VirtualClock()
const NAMES = ['a', 'bb', 'ccc', 'dddd']

function answered (status: number): Works.Outcome {
  return { kind: 'answered', response: { status, headers: [], body: Buffer.alloc(0), isFramed: true } }
}

function dispatch (
  sender: ScriptedSenders.ScriptedSender, route: Partial<Routes.Route>, names = NAMES, slack = 1_000,
  budget = new RetryBudgets.RetryBudget({ window: Decisions.Clock.seconds(10), ratio: 0.2, slack }), deadline = Decisions.Clock.seconds(2),
  views = new HostViews.HostViews()
): Dispatches.Dispatch {
  const directory = new Directories.Directory()
  for (const name of names) directory.merge(Samples.registration(name))
  const place: TargetSelectors.NodeLocation = { host: Decisions.Ids.endpoint('10.0.0.9:1'), dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') }
  const request: Requests.EntryRequest = {
    id: Decisions.Ids.requestId('q'), method: 'GET', path: '/a/x', headers: [], body: Buffer.alloc(0), route: Samples.route(route),
    service: Samples.SERVICE, arrivedAt: CLOCK.now(), deadline
  }
  return new Dispatches.Dispatch(request, {
    clock: CLOCK, directory, views, targetSelector: new TargetSelectors.TargetSelector(place, views, new Decisions.Random.Random(5)),
    retryBudget: budget, sender, metrics: new Metrics.Metrics()
  })
}

test('repeatable request is tried on a second target', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => answered(attempt === 1 ? 500 : 200))
  const answer = await dispatch(sender, {}).answer
  assert.equal(answer.kind === 'response' && answer.response.status, 200)
  assert.equal(new Set(sender.sent.map(({ target }) => target)).size, 2)
})

// Guards against running a request on more targets than its route allows.
test('attempts of the route bound the targets', async () => {
  const sender = new ScriptedSenders.ScriptedSender(() => answered(500))
  const answer = await dispatch(sender, { attempts: 2 }).answer
  assert.equal(answer.kind === 'response' && answer.response.status, 500)
  assert.equal(sender.sent.length, 2)
})

// Guards against running non-idempotent work twice.
test('other request is not repeated after it may have run', async () => {
  for (const outcome of [answered(500), { kind: 'failed', reason: 'connection-lost', detail: '' } as const]) {
    const sender = new ScriptedSenders.ScriptedSender(() => outcome)
    await dispatch(sender, { repeatable: false }).answer
    assert.equal(sender.sent.length, 1)
  }
})

test('request that did not run is placed elsewhere', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt < 3 ? Works.refused('target-busy', 50) : answered(200))
  const answer = await dispatch(sender, { repeatable: false }).answer
  assert.equal(answer.kind, 'response')
  assert.deepEqual(sender.sent.map(({ terms }) => terms.mayWait), [false, false, true])
})

// Found in the first run on the platform: a repeat that a host refused spent the budget, and the caller got the error.
test('refused repeat does not spend the budget', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt === 1 ? answered(500) : attempt < 4 ? Works.refused('target-closed', 50) : answered(200))
  const answer = await dispatch(sender, {}, NAMES, 0).answer
  assert.equal(answer.kind === 'response' && answer.response.status, 200)
})

// Guards against the promise "not run" for a request that may have run before.
test('unknown outcome is not covered by a later refusal', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt === 1 ? { kind: 'failed', reason: 'connection-lost', detail: '' } : Works.refused('too-late', 50))
  const answer = await dispatch(sender, {}).answer
  assert.equal(answer.kind, 'unknown')
})

test('silent attempt of a repeatable request is doubled', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt === 2 ? answered(200) : undefined)
  const answer = await dispatch(sender, { latencyObjective: Decisions.Clock.milliseconds(20) }).answer
  assert.equal(answer.kind, 'response')
  assert.equal(sender.sent[0]?.withdrawn, true, 'the slower attempt is withdrawn')
})

test('caller that leaves withdraws its attempts', async () => {
  const sender = new ScriptedSenders.ScriptedSender()
  const running = dispatch(sender, { repeatable: false })
  running.abandon()
  assert.equal((await running.answer).kind, 'abandoned')
  assert.equal(sender.sent[0]?.withdrawn, true)
})

test('service without targets is refused as not run', async () => {
  const answer = await dispatch(new ScriptedSenders.ScriptedSender(), { latencyObjective: Decisions.Clock.milliseconds(0) }, []).answer
  assert.equal(answer.kind, 'not-run')
})

// Found on Ceara quiet-1: 85 requests insisted after three closed targets and failed, with others open.
test('request insists when all targets are closed', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt < 5 ? Works.refused('target-closed', 50) : answered(200))
  const answer = await dispatch(sender, { repeatable: false }).answer
  assert.equal(answer.kind, 'response')
  assert.deepEqual(sender.sent.map(({ terms }) => terms.insists), [false, false, false, false, true])
})

// Found on Ceara quiet-1: 22 requests were refused after eight refusals within 22 ms, with most of their time left.
test('request is not given up for a number of early refusals', async () => {
  const names = ['a', 'bb', 'ccc', 'dddd', 'eeeee', 'ffffff', 'ggggggg', 'hhhhhhhh', 'iiiiiiiii', 'jjjjjjjjjj']
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt < 10 ? Works.refused('target-busy', 50) : answered(200))
  assert.equal((await dispatch(sender, { repeatable: false }, names).answer).kind, 'response')
})

// Found on Ceara quiet-1: each target cut off from the entry held a request up for 250 ms, five times in a row.
test('silent host gets a competitor and only one of them the request', async () => {
  const confirmations: (() => void)[] = []
  const sender = new ScriptedSenders.ScriptedSender(() => undefined, (_target, _attempt, confirm) => { confirmations.push(confirm) })
  const running = dispatch(sender, { repeatable: false })
  while (confirmations.length < 2) await new Promise(resolve => setTimeout(resolve, 5))
  for (const confirm of confirmations.toReversed()) confirm()
  assert.deepEqual(sender.sent.slice(0, 2).map(({ confirmed }) => confirmed), [false, true])
  assert.equal(sender.sent[0]?.withdrawn, true)
  sender.sent[1]?.end(answered(200))
  assert.equal((await running.answer).kind, 'response')
})

// Found on Ceara quiet-1: 48 of 505 repeatable requests failed, because both attempts were trials of failing targets.
test('last attempt of a request is not a trial', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => answered(attempt === 1 ? 500 : 200))
  await dispatch(sender, { attempts: 2 }).answer
  assert.deepEqual(sender.sent.map(({ terms }) => terms.mayTry), [true, false])
})

// Guards against trials by requests for whose second attempt no budget is left.
test('request without budget for a repeat is not a trial', async () => {
  const budget = new RetryBudgets.RetryBudget({ window: Decisions.Clock.seconds(10), ratio: 0, slack: 0 })
  budget.take(Samples.SERVICE, 1, CLOCK.now())
  const sender = new ScriptedSenders.ScriptedSender(() => answered(200))
  await dispatch(sender, {}, NAMES, 0, budget).answer
  assert.deepEqual(sender.sent.map(({ terms }) => terms.mayTry), [false])
})

// Found in the same logs: after its deadline a request was offered to four more hosts.
test('nothing is sent after the deadline', async () => {
  const sender = new ScriptedSenders.ScriptedSender(() => undefined, () => { /* Never confirms. */ })
  const running = dispatch(sender, { repeatable: false }, NAMES, 0, undefined, Decisions.Clock.milliseconds(30))
  assert.equal((await running.answer).kind, 'not-run')
  assert.equal(sender.sent.length, 1)
})

// Found in incident inc-c687: 134 requests in 2 s were refused as late by full targets, beside targets closed for one lost answer.
test('request refused as late is tried on a near target that has failed once', async () => {
  const views = new HostViews.HostViews()
  const closed = (failures: number): HostReports.HostReport => (
    { running: 0, waiting: 0, slots: 4, closedFor: 60_000, failures, serviceTime: Decisions.Clock.milliseconds(100), version: Decisions.Ids.version(1) }
  )
  views.heard(Decisions.Ids.targetId('a'), closed(1), CLOCK.now())
  views.heard(Decisions.Ids.targetId('bb'), closed(3), CLOCK.now())
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt === 1 ? Works.refused('too-late', 50) : answered(200))
  const answer = await dispatch(sender, { repeatable: false }, NAMES, 0, undefined, undefined, views).answer
  assert.equal(answer.kind, 'response')
  assert.deepEqual(sender.sent.map(({ target, terms }) => [target === 'a', terms.insists]), [[false, false], [true, true]])
})
