import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as HostViews from '../../src/entry/host-views.js'
import * as TargetSelectors from '../../src/entry/target-selector.js'
import * as HostReports from '../../src/host/host-report.js'
import * as Samples from '../support/samples.js'

const at = Decisions.Clock.milliseconds
const LOCATION: TargetSelectors.NodeLocation = { host: Decisions.Ids.endpoint('10.0.0.9:1'), dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') }
const CRITERIA: TargetSelectors.SelectionCriteria = { isFailureFinal: false, mayBypassBreaker: false, excluded: new Set(), cost: { request: 200, mean: 200, meanLeft: 200 } }
const [A, B] = [Samples.registration('a'), Samples.registration('bb')]

function report (overrides: Partial<HostReports.HostReport>): HostReports.HostReport {
  return { running: 0, queued: 0, slots: 4, timeUntilProbe: undefined, failures: 0, serviceTime: at(200), version: Decisions.Ids.version(1), ...overrides }
}

function work (left: number, slowness = 1): HostReports.WorkReport {
  return { left, slowness, served: undefined }
}

function setup (): { views: HostViews.HostViews, share: (candidates: readonly (typeof A)[], now: number, criteria?: TargetSelectors.SelectionCriteria) => number } {
  const views = new HostViews.HostViews()
  const selector = new TargetSelectors.TargetSelector(LOCATION, views, new Decisions.Random.Random(3))
  /** Share of the choices that fall on `a`. */
  const share = (candidates: readonly (typeof A)[], now: number, criteria = CRITERIA): number =>
    Array.from({ length: 300 }, () => selector.choose(candidates, criteria, at(now))?.target).filter(target => target === A.target).length / 300
  return { views, share }
}

// Guards against placement by number: two short requests are less work than one long one.
test('target with less work left is chosen although it has more requests', () => {
  const { views, share } = setup()
  views.recordResponse(A.target, report({ running: 3, work: work(300) }), at(0))
  views.recordResponse(B.target, report({ running: 2, work: work(1_300) }), at(0))
  assert.equal(share([A, B], 1), 1)
  assert.equal(share([A, B], 1, { ...CRITERIA, cost: undefined }), 0)
})

// Guards against a target with expensive requests that counts as slow, and against a slow one that does not.
test('slowness as reported decides and not the mean service time', () => {
  const { views, share } = setup()
  views.recordResponse(A.target, report({ serviceTime: at(650), work: work(0) }), at(0))
  views.recordResponse(B.target, report({ serviceTime: at(200), work: work(0, 4) }), at(0))
  assert.equal(share([A, B], 1), 1)
})

// Guards against requests that all go to the target with the last good report, until the next one.
test('requests sent since the report count', () => {
  const { views, share } = setup()
  views.recordResponse(A.target, report({ work: work(200) }), at(0))
  views.recordResponse(B.target, report({ work: work(500) }), at(0))
  assert.equal(share([A, B], 1), 1)
  views.of(A.target).workSinceReport += 800
  assert.equal(share([A, B], 1), 0)
  views.recordReport(A.target, report({ work: work(200) }), at(2))
  assert.equal(share([A, B], 2), 1)
})

// Guards against knowledge that stays in force when reports are lost or their host is gone.
test('old reports lose their weight', () => {
  const { views, share } = setup()
  views.recordResponse(A.target, report({ work: work(4_000, 8) }), at(0))
  views.recordResponse(B.target, report({ work: work(200) }), at(0))
  assert.equal(share([A, B], 1), 0)
  views.recordResponse(B.target, report({ work: work(200) }), at(120_000))
  assert.equal(share([A, B], 120_000), 1, 'a target of which nothing is known counts as idle and as an average one')
})

// Guards against targets of nodes of an earlier version, which report no work, that get everything or nothing.
test('target whose host reports no work counts with the mean cost of its requests', () => {
  const { views, share } = setup()
  views.recordResponse(A.target, report({ running: 3 }), at(0))
  views.recordResponse(B.target, report({ running: 1, work: work(900) }), at(0))
  assert.equal(share([A, B], 1), 1)
  views.recordResponse(A.target, report({ running: 6 }), at(1))
  assert.equal(share([A, B], 2), 0)
})

// Guards against billed traffic between data centers for a difference that is worth less, when demand swings between them.
test('distance costs as much as by number', () => {
  const { views, share } = setup()
  const far = Samples.registration('bb', { region: Decisions.Ids.region('other'), dataCenter: Decisions.Ids.dataCenter('z') })
  for (const cost of [50, 800]) {
    const criteria = { ...CRITERIA, cost: { request: cost, mean: cost, meanLeft: cost } }
    views.recordResponse(A.target, report({ work: work(9 * cost) }), at(0))
    assert.equal(share([A, far], 0, criteria), 1, 'a load of 10 requests on 4 slots is less than the distance')
    views.recordResponse(A.target, report({ work: work(12 * cost) }), at(0))
    assert.equal(share([A, far], 0, criteria), 0)
  }
})

// Guards against reports that nodes of other versions cannot read.
test('work is an optional last field of the report', () => {
  const full = { ...report({}), trippedNearby: [Decisions.Ids.targetId('t')], work: { slowness: 1.5, left: 800, served: 210 } }
  assert.deepEqual(HostReports.parse(HostReports.format(full)), full)
  const { trippedNearby, ...withoutTripped } = full
  assert.equal(trippedNearby.length, 1)
  assert.deepEqual(HostReports.parse(HostReports.format(withoutTripped)), withoutTripped)
  assert.equal(HostReports.parse(HostReports.format(report({})))?.work, undefined)
  for (const field of ['work=', 'work=x,1,', 'work=-1,5,', 'work=1,-5,']) {
    const read = HostReports.parse(`${HostReports.format(report({}))} - ${field} other=1`)
    assert.deepEqual([read?.work, read?.trippedNearby], [undefined, []], field)
  }
})
