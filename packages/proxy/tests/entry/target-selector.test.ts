import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import type * as Registrations from '../../src/directory/registration.js'
import * as HostViews from '../../src/entry/host-views.js'
import * as TargetSelectors from '../../src/entry/target-selector.js'
import type * as HostReports from '../../src/host/host-report.js'
import * as Samples from '../support/samples.js'

const at = Decisions.Clock.milliseconds
const LOCATION: TargetSelectors.NodeLocation = { host: Decisions.Ids.endpoint('10.0.0.9:1'), dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') }
const CRITERIA: TargetSelectors.SelectionCriteria = { isFailureFinal: false, mayBypassBreaker: false, excluded: new Set() }

function report (overrides: Partial<HostReports.HostReport>): HostReports.HostReport {
  return { running: 0, queued: 0, slots: 4, timeUntilProbe: undefined, failures: 0, serviceTime: at(100), version: Decisions.Ids.version(1), ...overrides }
}

function setup (): { views: HostViews.HostViews, selector: TargetSelectors.TargetSelector } {
  const views = new HostViews.HostViews()
  return { views, selector: new TargetSelectors.TargetSelector(LOCATION, views, new Decisions.Random.Random(3)) }
}

function countChoices (selector: TargetSelectors.TargetSelector, candidates: readonly Registrations.Registration[], criteria = CRITERIA, now = at(10)): Record<string, number> {
  const result: Record<string, number> = {}
  for (let index = 0; index < 300; index += 1) {
    const target = selector.choose(candidates, criteria, now)?.target ?? 'none'
    result[target] = (result[target] ?? 0) + 1
  }
  return result
}

// Guards against billed traffic between regions while targets in the same data center are idle.
test('targets in the same data center are preferred', () => {
  const { selector } = setup()
  const far = Samples.registration('far', { region: Decisions.Ids.region('other'), dataCenter: Decisions.Ids.dataCenter('z') })
  assert.deepEqual(countChoices(selector, [Samples.registration('near'), far]), { near: 300 })
})

// Guards against a queue in one data center while another region is idle.
test('requests go to another region when targets in the same data center are full', () => {
  const { selector, views } = setup()
  views.recordResponse(Decisions.Ids.targetId('near'), report({ running: 4, queued: 8 }), at(10))
  const far = Samples.registration('far', { region: Decisions.Ids.region('other'), dataCenter: Decisions.Ids.dataCenter('z') })
  assert.deepEqual(countChoices(selector, [Samples.registration('near'), far]), { far: 300 })
})

test('target with a tripped circuit breaker gets no requests before its probe is due', () => {
  const { selector, views } = setup()
  views.recordResponse(Decisions.Ids.targetId('a'), report({ timeUntilProbe: 300 }), at(0))
  assert.deepEqual(countChoices(selector, [Samples.registration('a'), Samples.registration('bb')]), { bb: 300 })
})

// Guards against sending a request that cannot be retried to a target that has not passed a probe.
test('request that cannot be retried avoids a target that has not passed a probe', () => {
  const { selector, views } = setup()
  views.recordResponse(Decisions.Ids.targetId('a'), report({ timeUntilProbe: 5 }), at(0))
  const candidates = [Samples.registration('a'), Samples.registration('bb')]
  assert.deepEqual(countChoices(selector, candidates, { ...CRITERIA, isFailureFinal: true }), { bb: 300 })
  assert.ok((countChoices(selector, candidates).a ?? 0) > 0, 'other requests may be the probe')
})

test('slow target gets no requests while faster ones are idle', () => {
  const { selector, views } = setup()
  for (const [name, time] of [['a', 900], ['bb', 100], ['ccc', 100]] as const) views.recordResponse(Decisions.Ids.targetId(name), report({ serviceTime: at(time) }), at(0))
  const result = countChoices(selector, [Samples.registration('a'), Samples.registration('bb'), Samples.registration('ccc')])
  assert.equal(result.a ?? 0, 0)
})

// Guards against requests that all wait for a host that stays unreachable.
test('unreachable host is avoided for longer after each failure', () => {
  const { selector, views } = setup()
  const target = Decisions.Ids.targetId('a')
  assert.equal(views.recordUnreachable(target, at(0)), 500)
  assert.equal(views.recordUnreachable(target, at(600)), 1_000)
  assert.equal(selector.choose([Samples.registration('a')], CRITERIA, at(1_500)), undefined)
  assert.equal(selector.choose([Samples.registration('a')], CRITERIA, at(1_601))?.target, 'a')
})

// Guards against refused attempts after the probe delay: the target accepts only a probe until one has succeeded.
test('request that cannot be retried avoids a tripped target until a probe has succeeded', () => {
  const { selector, views } = setup()
  const candidates = [Samples.registration('tripped'), Samples.registration('healthy', { dataCenter: Decisions.Ids.dataCenter('b') })]
  views.recordReport(Decisions.Ids.targetId('tripped'), report({ timeUntilProbe: 300, failures: 1 }), at(0))
  const finalCriteria = { ...CRITERIA, isFailureFinal: true }
  assert.deepEqual(countChoices(selector, candidates, finalCriteria, at(400)), { healthy: 300 })
  assert.deepEqual(countChoices(selector, candidates, CRITERIA, at(400)), { tripped: 300 }, 'other requests may be the probe')
  views.recordReport(Decisions.Ids.targetId('tripped'), report({}), at(500))
  assert.deepEqual(countChoices(selector, candidates, finalCriteria, at(500)), { tripped: 300 })
})

// Guards against bypassing the circuit breaker of a target with an ongoing fault while another has failed only once.
test('request that bypasses circuit breakers goes to the target with the fewest failures', () => {
  const { selector, views } = setup()
  const candidates = [Samples.registration('failedOften'), Samples.registration('failedOnce')]
  views.recordReport(Decisions.Ids.targetId('failedOften'), report({ timeUntilProbe: 300, failures: 4 }), at(0))
  views.recordReport(Decisions.Ids.targetId('failedOnce'), report({ timeUntilProbe: 300, failures: 1 }), at(0))
  assert.deepEqual(countChoices(selector, candidates, { ...CRITERIA, isFailureFinal: true, mayBypassBreaker: true }, at(1)), { failedOnce: 300 })
})

// Guards against recovered targets that stay idle because the requests that may be a probe go to other targets.
test('request that may be the probe goes to a target that is due for one', () => {
  const { selector, views } = setup()
  const candidates = ['due', 'open', 'idle', 'free'].map(name => Samples.registration(name))
  views.recordReport(Decisions.Ids.targetId('due'), report({ timeUntilProbe: 300, failures: 3 }), at(0))
  assert.deepEqual(countChoices(selector, candidates, CRITERIA, at(301)), { due: 300 })
  assert.equal(countChoices(selector, candidates, { ...CRITERIA, isFailureFinal: true }, at(301)).due, undefined)
})

// Guards against attempts at tripped targets in other data centers, from which no notifications arrive: there were 3,038 for 2,026 answers.
test('circuit breakers reported by a host of another data center are respected', () => {
  const { selector, views } = setup()
  const otherDataCenter = { dataCenter: Decisions.Ids.dataCenter('b') }
  const candidates = [Samples.registration('tripped', otherDataCenter), Samples.registration('healthy', otherDataCenter)]
  views.recordBreakerState(Decisions.Ids.targetId('tripped'), true, at(0))
  const finalCriteria = { ...CRITERIA, isFailureFinal: true }
  assert.deepEqual(countChoices(selector, candidates, finalCriteria, at(1)), { healthy: 300 })
  views.recordBreakerState(Decisions.Ids.targetId('tripped'), false, at(2))
  assert.ok((countChoices(selector, candidates, finalCriteria, at(3)).tripped ?? 0) > 50)
})
