import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import type * as HostedRequests from '../../src/host/hosted-request.js'
import * as TargetCapacities from '../../src/host/target-capacity.js'
import type * as Routes from '../../src/routes/route.js'

const at = Decisions.Clock.milliseconds
const FEATURES: Routes.CapacityFeatures = { placesByCost: true, sharesFairly: true, admitsByDependencies: false }

function hostedRequest (clock: Decisions.Clock.Clock, overrides: Partial<HostedRequests.HostedRequest> = {}): HostedRequests.HostedRequest {
  return {
    id: Decisions.Ids.requestId('id'), target: Decisions.Ids.targetId('t'), callerService: Decisions.Ids.service('s'), method: 'GET', path: '/', headers: [], route: 'short', account: undefined, isCall: false,
    repeatable: true, mayBeProbe: true, priority: 1, deadline: Decisions.Clock.add(clock.now(), at(2_000)), latencyObjective: at(800), objectiveDeadline: Decisions.Clock.add(clock.now(), at(2_000)), mayQueue: true,
    mayBypassBreaker: false, onQueued: () => { /* Not watched. */ }, commit: () => Promise.resolve(Buffer.alloc(0)), onWithdrawn: () => { /* Never withdrawn. */ }, ...overrides
  }
}

function setup (features = FEATURES): { clock: Decisions.Clock.VirtualClock, capacity: TargetCapacities.TargetCapacity, train: (route: string, elapsed: number, count: number) => void } {
  const clock = new Decisions.Clock.VirtualClock()
  const capacity = new TargetCapacities.TargetCapacity(clock, () => features)
  capacity.reset(1)
  const train = (route: string, elapsed: number, count: number): void => {
    for (let index = 0; index < count; index += 1) capacity.recordServiceTime(hostedRequest(clock, { route, expectation: { cost: elapsed, sizeClass: 0 } }), at(elapsed), clock.now())
  }
  return { clock, capacity, train }
}

// Guards against a changed behaviour of deployments whose configuration asks for nothing new.
test('without the switches nothing is learned or reported', async () => {
  const { clock, capacity } = setup({ ...FEATURES, placesByCost: false, sharesFairly: false })
  assert.equal(await capacity.acquire(hostedRequest(clock)), 'started')
  assert.deepEqual([capacity.costs, capacity.work, capacity.retryAfter(hostedRequest(clock))], [undefined, undefined, 0])
})

// Guards against refusals by the mean service time: a short request that waits for a short one, or does not fit behind a long one.
test('wait follows the expected cost of what runs', async () => {
  for (const [running, expected] of [['short', undefined], ['long', 'too-late']] as const) {
    const { clock, capacity, train } = setup()
    assert.equal(await capacity.acquire(hostedRequest(clock, { route: running })), 'started')
    train('short', 100, 60)
    train('long', 1_500, 60)
    capacity.costs?.start(hostedRequest(clock, { route: running }), clock.now())
    const deadline = Decisions.Clock.add(clock.now(), at(600))
    const request = hostedRequest(clock, { deadline, objectiveDeadline: deadline })
    const result = await Promise.race([capacity.acquire(request), Promise.resolve(undefined)])
    assert.equal(result, expected, running)
    if (running === 'long') assert.ok(capacity.retryAfter(request) > 300, `${capacity.retryAfter(request)}`)
  }
})

// Guards against a report that names requests where work counts, and against a slow target that reports its own time as work.
test('work left is reported in ms of an average target', () => {
  const { clock, capacity } = setup()
  void capacity.acquire(hostedRequest(clock))
  for (let index = 0; index < 60; index += 1) capacity.recordServiceTime(hostedRequest(clock, { expectation: { cost: 200, sizeClass: 0 } }), at(1_000), clock.now())
  capacity.costs?.start(hostedRequest(clock), clock.now())
  const slowness = capacity.work?.slowness ?? 0
  assert.ok(slowness > 4 && slowness < 5.5, `${slowness}`)
  const left = capacity.work?.left ?? 0
  assert.ok(left > 150 && left < 350, `${left}`)
})

// Guards against the speed of a target that was replaced.
test('speed is forgotten when the target restarts', () => {
  const { clock, capacity } = setup()
  void capacity.acquire(hostedRequest(clock))
  for (let index = 0; index < 30; index += 1) capacity.recordServiceTime(hostedRequest(clock, { expectation: { cost: 100, sizeClass: 0 } }), at(900), clock.now())
  assert.ok((capacity.work?.slowness ?? 0) > 5)
  capacity.reset(4)
  assert.equal(capacity.work?.slowness, 1)
})

// Guards against requests that are lost when a new configuration changes the order of the queue.
test('requests that wait stay in the queue when the switches change', async () => {
  const inForce: { features: Routes.CapacityFeatures | undefined } = { features: undefined }
  const clock = new Decisions.Clock.VirtualClock()
  const capacity = new TargetCapacities.TargetCapacity(clock, () => inForce.features)
  capacity.reset(1)
  assert.equal(await capacity.acquire(hostedRequest(clock)), 'started')
  const waiting = capacity.acquire(hostedRequest(clock))
  inForce.features = FEATURES
  const second = capacity.acquire(hostedRequest(clock))
  assert.equal(capacity.queued, 2)
  capacity.release(true)
  capacity.release(true)
  assert.deepEqual(await Promise.all([waiting, second]), ['started', 'started'])
})
