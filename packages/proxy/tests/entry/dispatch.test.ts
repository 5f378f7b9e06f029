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
import * as HostedRequests from '../../src/host/hosted-request.js'
import * as Metrics from '../../src/observation/metrics.js'
import type * as Routes from '../../src/routes/route.js'
import * as Samples from '../support/samples.js'
import * as ScriptedSenders from '../support/scripted-sender.js'

const CLOCK = new Decisions.Clock.VirtualClock()
const NAMES = ['a', 'bb', 'ccc', 'dddd']

function answered (status: number): HostedRequests.Outcome {
  return { kind: 'answered', response: { status, headers: [], body: Buffer.alloc(0), isFramed: true } }
}

function dispatch (
  sender: ScriptedSenders.ScriptedSender, route: Partial<Routes.Route>, names = NAMES, slack = 1_000,
  budget = new RetryBudgets.RetryBudget(() => ({ window: Decisions.Clock.seconds(10), ratio: 0.2, slack })), deadline = Decisions.Clock.seconds(2),
  views = new HostViews.HostViews(), mayEndConnection = true
): Dispatches.Dispatch {
  const directory = new Directories.Directory()
  for (const name of names) directory.merge(Samples.registration(name))
  const location: TargetSelectors.NodeLocation = { host: Decisions.Ids.endpoint('10.0.0.9:1'), dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') }
  const request: Requests.EntryRequest = {
    id: Decisions.Ids.requestId('q'), method: 'GET', path: '/a/x', headers: [], body: Buffer.alloc(0), route: Samples.route(route),
    service: Samples.SERVICE, account: undefined, priority: 1, isCall: false, arrivedAt: CLOCK.now(), deadline, tryEndConnection: () => mayEndConnection
  }
  return new Dispatches.Dispatch(request, {
    clock: CLOCK, directory, views, targetSelector: new TargetSelectors.TargetSelector(location, views, new Decisions.Random.Random(5)),
    retryBudget: budget, sender, metrics: new Metrics.Metrics(), quarantine: { recordBlock: () => { /* Ignored. */ } }
  })
}

// Guards against an error response that reaches the caller although the route allows a retry.
test('repeatable request is retried on a second target', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => answered(attempt === 1 ? 500 : 200))
  const answer = await dispatch(sender, {}).answer
  assert.equal(answer.kind === 'response' && answer.response.status, 200)
  assert.equal(new Set(sender.sent.map(({ target }) => target)).size, 2)
})

// Guards against running a request on more targets than its route allows.
test('attempts of the route limit the number of targets', async () => {
  const sender = new ScriptedSenders.ScriptedSender(() => answered(500))
  const answer = await dispatch(sender, { attempts: 2 }).answer
  assert.equal(answer.kind === 'response' && answer.response.status, 500)
  assert.equal(sender.sent.length, 2)
})

// Guards against running a non-idempotent request twice.
test('request that is not repeatable is not retried after it may have run', async () => {
  for (const outcome of [answered(500), { kind: 'failed', reason: 'connection-lost', detail: '' } as const]) {
    const sender = new ScriptedSenders.ScriptedSender(() => outcome)
    await dispatch(sender, { repeatable: false }).answer
    assert.equal(sender.sent.length, 1)
  }
})

// Guards against refusing a request that did not run while other targets are available.
test('refused request is sent to another target', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt < 3 ? HostedRequests.refusal('target-busy', 50) : answered(200))
  const answer = await dispatch(sender, { repeatable: false }).answer
  assert.equal(answer.kind, 'response')
  assert.deepEqual(sender.sent.map(({ options }) => options.mayQueue), [false, false, true])
})

// Guards against charging the budget for a retry that a host refused: no further retry was left, and the caller got the error.
test('refused retry does not use up the budget', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt === 1 ? answered(500) : attempt < 4 ? HostedRequests.refusal('target-closed', 50) : answered(200))
  const answer = await dispatch(sender, {}, NAMES, 0).answer
  assert.equal(answer.kind === 'response' && answer.response.status, 200)
})

// Guards against reporting a request as not run because its retry was refused, when an earlier attempt may have run.
test('later refusal does not replace an unknown outcome', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt === 1 ? { kind: 'failed', reason: 'connection-lost', detail: '' } : HostedRequests.refusal('too-late', 50))
  const answer = await dispatch(sender, {}).answer
  assert.equal(answer.kind, 'unknown')
})

// Guards against a request that waits for a hanging target until its deadline.
test('silent attempt of a repeatable request is hedged', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt === 2 ? answered(200) : undefined)
  const answer = await dispatch(sender, { latencyObjective: Decisions.Clock.milliseconds(20) }).answer
  assert.equal(answer.kind, 'response')
  assert.equal(sender.sent[0]?.withdrawn, true, 'the slower attempt is withdrawn')
})

// Guards against targets that keep running requests whose callers have disconnected.
test('disconnected caller withdraws its attempts', async () => {
  const sender = new ScriptedSenders.ScriptedSender()
  const request = dispatch(sender, { repeatable: false })
  request.abandon()
  assert.equal((await request.answer).kind, 'abandoned')
  assert.equal(sender.sent[0]?.withdrawn, true)
})

test('request to a service without targets is answered as not run', async () => {
  const answer = await dispatch(new ScriptedSenders.ScriptedSender(), { latencyObjective: Decisions.Clock.milliseconds(0) }, []).answer
  assert.equal(answer.kind, 'not-run')
})

// Guards against bypassing circuit breakers too early: after three refusals, 85 requests bypassed one and failed, with other targets healthy.
test('request bypasses a circuit breaker only when all targets have refused it', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt < 5 ? HostedRequests.refusal('target-closed', 50) : answered(200))
  const answer = await dispatch(sender, { repeatable: false }).answer
  assert.equal(answer.kind, 'response')
  assert.deepEqual(sender.sent.map(({ options }) => options.mayBypassBreaker), [false, false, false, false, true])
})

// Guards against giving up early: 22 requests were answered as not run after eight refusals within 22 ms, long before their deadlines.
test('request survives nine early refusals', async () => {
  const names = ['a', 'bb', 'ccc', 'dddd', 'eeeee', 'ffffff', 'ggggggg', 'hhhhhhhh', 'iiiiiiiii', 'jjjjjjjjjj']
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt < 10 ? HostedRequests.refusal('target-busy', 50) : answered(200))
  assert.equal((await dispatch(sender, { repeatable: false }, names).answer).kind, 'response')
})

// Guards against waiting for unreachable hosts one after the other: each delayed a request by 250 ms, up to five in a row.
test('silent host is hedged and only the first host to confirm gets the request', async () => {
  const confirmations: (() => void)[] = []
  const sender = new ScriptedSenders.ScriptedSender(() => undefined, (_target, _attempt, confirm) => { confirmations.push(confirm) })
  const request = dispatch(sender, { repeatable: false })
  while (confirmations.length < 2) await new Promise(resolve => setTimeout(resolve, 5))
  for (const confirm of confirmations.toReversed()) confirm()
  assert.deepEqual(sender.sent.slice(0, 2).map(({ confirmed }) => confirmed), [false, true])
  assert.equal(sender.sent[0]?.withdrawn, true)
  sender.sent[1]?.complete(answered(200))
  assert.equal((await request.answer).kind, 'response')
})

// Guards against using the last attempt as a probe: 48 of 505 repeatable requests failed because both attempts probed failing targets.
test('last attempt of a request may not be a probe', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => answered(attempt === 1 ? 500 : 200))
  await dispatch(sender, { attempts: 2 }).answer
  assert.deepEqual(sender.sent.map(({ options }) => options.mayBeProbe), [true, false])
})

// Guards against a probe by a request that the retry budget does not allow to be retried.
test('request without budget for a retry may not be a probe', async () => {
  const budget = new RetryBudgets.RetryBudget(() => ({ window: Decisions.Clock.seconds(10), ratio: 0, slack: 0 }))
  budget.tryAcquire(Samples.SERVICE, 1, CLOCK.now())
  const sender = new ScriptedSenders.ScriptedSender(() => answered(200))
  await dispatch(sender, {}, NAMES, 0, budget).answer
  assert.deepEqual(sender.sent.map(({ options }) => options.mayBeProbe), [false])
})

// Guards against attempts after the deadline: one request was still offered to four more hosts.
test('nothing is sent after the deadline', async () => {
  const sender = new ScriptedSenders.ScriptedSender(() => undefined, () => { /* Never confirms. */ })
  const request = dispatch(sender, { repeatable: false }, NAMES, 0, undefined, Decisions.Clock.milliseconds(30))
  assert.equal((await request.answer).kind, 'not-run')
  assert.equal(sender.sent.length, 1)
})

// Guards against idle capacity under overload: in incident inc-c687, full targets refused 134 requests in 2 s as too late,
// while the circuit breakers of other targets were tripped by a single lost response.
test('request refused as too late is tried on a target in the data center that has failed once', async () => {
  const views = new HostViews.HostViews()
  const trippedReport = (failures: number): HostReports.HostReport => (
    { running: 0, queued: 0, slots: 4, timeUntilProbe: 60_000, failures, serviceTime: Decisions.Clock.milliseconds(100), version: Decisions.Ids.version(1) }
  )
  views.recordReport(Decisions.Ids.targetId('a'), trippedReport(1), CLOCK.now())
  views.recordReport(Decisions.Ids.targetId('bb'), trippedReport(3), CLOCK.now())
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt === 1 ? HostedRequests.refusal('too-late', 50) : answered(200))
  const answer = await dispatch(sender, { repeatable: false }, NAMES, 0, undefined, undefined, views).answer
  assert.equal(answer.kind, 'response')
  assert.deepEqual(sender.sent.map(({ target, options }) => [target === 'a', options.mayBypassBreaker]), [[false, false], [true, true]])
})

// Guards against a request that crashes targets and is sent to one target after another.
test('blocked request is not sent to another target', async () => {
  const sender = new ScriptedSenders.ScriptedSender(() => HostedRequests.refusal('request-blocked', 60_000))
  const answer = await dispatch(sender, {}).answer
  assert.deepEqual(answer, { kind: 'not-run', reason: 'request-blocked', retryAfter: 60_000 })
  assert.equal(sender.sent.length, 1)
})

// Guards against a response without a length that ends the caller's connection over requests that run, and against throwing it away where it may end there.
test('response without a length is delivered only where it may end the connection', async () => {
  const unframed = (status: number): HostedRequests.Outcome => ({ kind: 'answered', response: { status, headers: [], body: Buffer.alloc(0), isFramed: false } })
  for (const mayEndConnection of [true, false]) {
    const ask = async (respond: (attempt: number) => HostedRequests.Outcome, repeatable: boolean): Promise<string> => {
      const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => respond(attempt))
      const answer = await dispatch(sender, { attempts: 2, repeatable }, NAMES, 1_000, undefined, undefined, undefined, mayEndConnection).answer
      return `${answer.kind === 'response' ? answer.response.status : answer.kind} after ${sender.sent.length}`
    }
    assert.equal(await ask(attempt => attempt === 1 ? unframed(200) : answered(201), true), mayEndConnection ? '200 after 1' : '201 after 2')
    assert.equal(await ask(() => unframed(200), true), mayEndConnection ? '200 after 1' : 'unknown after 2')
    assert.equal(await ask(() => unframed(500), true), mayEndConnection ? '500 after 2' : 'unknown after 2')
    assert.equal(await ask(() => unframed(200), false), mayEndConnection ? '200 after 1' : 'unknown after 1')
  }
})
