import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Directories from '../../src/directory/directory.js'
import * as Dispatches from '../../src/entry/dispatch.js'
import * as HostViews from '../../src/entry/host-views.js'
import * as Requests from '../../src/entry/request.js'
import * as RetryBudgets from '../../src/entry/retry-budget.js'
import * as TargetSelectors from '../../src/entry/target-selector.js'
import * as HostedRequests from '../../src/host/hosted-request.js'
import * as Metrics from '../../src/observation/metrics.js'
import * as MonotonicClocks from '../../src/transport/monotonic-clock.js'
import * as Samples from '../support/samples.js'
import * as ScriptedSenders from '../support/scripted-sender.js'

const TARGETS = ['a', 'bb', 'ccc', 'dddd', 'eeeee', 'ffffff']
const CLOCK = new MonotonicClocks.MonotonicClock()
const OK: HostedRequests.Outcome = { kind: 'answered', response: { status: 200, headers: [], body: Buffer.alloc(0), isFramed: true } }

function entryRequest (overrides: Partial<Requests.EntryRequest>): Requests.EntryRequest {
  return {
    id: Decisions.Ids.requestId('q'), method: 'POST', path: '/a/x', headers: [], body: Buffer.alloc(0), route: Samples.route({ repeatable: false, latencyObjective: Decisions.Clock.milliseconds(40) }),
    service: Samples.SERVICE, account: undefined, priority: 1, isCall: true, waitsUntilDeadline: true, arrivedAt: CLOCK.now(), deadline: Decisions.Clock.add(CLOCK.now(), Decisions.Clock.milliseconds(400)),
    tryEndConnection: () => true, ...overrides
  }
}

function dispatch (sender: ScriptedSenders.ScriptedSender, overrides: Partial<Requests.EntryRequest>, targets = TARGETS, views = new HostViews.HostViews()): Dispatches.Dispatch {
  const directory = new Directories.Directory()
  for (const name of targets) directory.merge(Samples.registration(name))
  const location: TargetSelectors.NodeLocation = { host: Decisions.Ids.endpoint('10.0.0.9:1'), dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') }
  return new Dispatches.Dispatch(entryRequest(overrides), {
    clock: CLOCK, directory, views, targetSelector: new TargetSelectors.TargetSelector(location, views, new Decisions.Random.Random(5)),
    retryBudget: new RetryBudgets.RetryBudget(() => ({ window: Decisions.Clock.seconds(10), ratio: 0, slack: 0 })), sender, metrics: new Metrics.Metrics(), quarantine: { recordBlock: () => { /* Ignored. */ } }
  })
}

// Guards against a parent that fails because two of six hosts had refused its call as too late.
test('call is offered to the other hosts after two late refusals', async () => {
  const respond = (_target: string, attempt: number): HostedRequests.Outcome => attempt <= 6 ? HostedRequests.refusal('too-late', 50) : OK
  assert.equal((await dispatch(new ScriptedSenders.ScriptedSender(respond), {}).answer).kind, 'response')
  const refused = new ScriptedSenders.ScriptedSender(respond)
  assert.equal((await dispatch(refused, { isCall: false, waitsUntilDeadline: false }).answer).kind, 'not-run')
  assert.equal(refused.sent.length, 2)
})

// Guards against a call that gives up at a share of its latency objective while no target is available, long before its deadline.
test('call waits for a target until its deadline', async () => {
  const sender = new ScriptedSenders.ScriptedSender(() => OK)
  const startedAt = CLOCK.now()
  const answer = await dispatch(sender, {}, []).answer
  assert.equal(answer.kind, 'not-run')
  assert.ok(CLOCK.now() - startedAt >= 390)
})

// Guards against hundreds of offers of one call while all hosts refuse it, which take the processor time of small machines.
test('offers of a call that all hosts refuse are bounded', async () => {
  for (const [reason, maximum] of [['too-late', 8], ['target-busy', 48]] as const) {
    const sender = new ScriptedSenders.ScriptedSender(() => HostedRequests.refusal(reason, 50))
    assert.deepEqual(await dispatch(sender, { deadline: Decisions.Clock.add(CLOCK.now(), Decisions.Clock.seconds(1)) }).answer, { kind: 'not-run', reason, retryAfter: 50 })
    assert.equal(sender.sent.length, maximum)
  }
})

// Guards against calls that are sent to targets with a tripped circuit breaker, where most fail, while others still take them later.
test('call waits for a healthy target and does not bypass a tripped circuit breaker', async () => {
  const [tripped, ...healthy] = TARGETS
  const views = new HostViews.HostViews()
  views.recordBreakerState(Decisions.Ids.targetId(tripped ?? ''), true, CLOCK.now())
  const respond = (_target: string, attempt: number): HostedRequests.Outcome => attempt <= 7 ? HostedRequests.refusal('too-late', 50) : OK
  const sender = new ScriptedSenders.ScriptedSender(respond)
  assert.equal((await dispatch(sender, { route: Samples.route({ attempts: 1 }) }, TARGETS, views).answer).kind, 'response')
  assert.ok(sender.sent.every(({ target }) => healthy.includes(target)), sender.sent.map(({ target }) => target).join(' '))
})

// Guards against running a call twice because it tries harder: one that may have run is retried only within the retry budget.
test('call that may have run is not sent again', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt === 1 ? { kind: 'failed', reason: 'connection-lost', detail: '' } : OK)
  assert.equal((await dispatch(sender, {}).answer).kind, 'unknown')
  assert.equal(sender.sent.length, 1)
})

// Guards against hosts that refuse a call behind a long queue because it would miss its latency objective.
test('hosts may queue a call until its deadline', () => {
  const call = entryRequest({})
  assert.equal(Requests.objectiveDeadline(call), call.deadline)
  const direct = entryRequest({ waitsUntilDeadline: false })
  assert.equal(Requests.objectiveDeadline(direct), direct.arrivedAt + direct.route.latencyObjective)
})

// Guards against parents that are offered to one host after the other while the service that they call is full: each would thin them again.
test('request is not sent to another host when a service that its route calls is full', async () => {
  const sender = new ScriptedSenders.ScriptedSender(() => HostedRequests.refusal('dependency-full', 1_700))
  const answer = await dispatch(sender, { isCall: false, waitsUntilDeadline: false, route: Samples.route({}) }).answer
  assert.deepEqual(answer, { kind: 'not-run', reason: 'dependency-full', retryAfter: 1_700 })
  assert.equal(sender.sent.length, 1)
})

// Guards against a refusal that hides an attempt which may have run: the answer must not say that the request has not run.
test('refusal of a retry by a full dependency does not replace the outcome of the first attempt', async () => {
  const sender = new ScriptedSenders.ScriptedSender((_target, attempt) => attempt === 1 ? { kind: 'failed', reason: 'connection-lost', detail: '' } : HostedRequests.refusal('dependency-full', 1_700))
  assert.equal((await dispatch(sender, { isCall: false, waitsUntilDeadline: false, route: Samples.route({}) }).answer).kind, 'unknown')
  assert.equal(sender.sent.length, 2)
})
