import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Measurements from '@jasminedale/measurements'

const NARROW = { seed: 2, entries: 12, targets: 6, slots: 8, reportInterval: 300, longShare: 0.35, requests: 8_000, utilisation: 0.8 }

// Guards against a slow target that gets more requests than it can do, and against placement by cost that does worse than by number.
test('work left with two different choices keeps requests away from a slow target', () => {
  const rows = Measurements.CostPlacements.costPlacement({ ...NARROW, slowTargets: 1, slowness: 12 })
  const [byNumber, byWork] = ['requests per slot, two choices', 'work left, two different choices'].map(name => rows.find(({ alternative }) => alternative === name))
  assert.ok(byNumber !== undefined && byWork !== undefined)
  assert.ok(byWork.mean < byNumber.mean, `${byWork.mean} against ${byNumber.mean}`)
  assert.ok(byWork.slowShare < 1.2, `slow share ${byWork.slowShare}`)
})

// Guards against placement that is worse than by number where reports arrive with responses only, as between nodes.
test('free slots first is better than requests a slot', () => {
  const rows = Measurements.CostPlacements.costPlacement({ ...NARROW, targets: 31, slots: 4, reportInterval: 0, slowTargets: 0, slowness: 1 })
  const late = (name: string): number => rows.find(({ alternative }) => alternative === name)?.late ?? NaN
  assert.ok(late('work left of those with a free slot, else of all, two different choices') < 0.8 * late('requests per slot, two choices'))
})
