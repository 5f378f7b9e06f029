import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Measurements from '@jasminedale/measurements'

// Accounts as one data center sees it: 5 requests/s per target, one target becomes slow three-fold.
const QUIET = {
  seed: 3, entries: 16, targets: 24, slots: 4, serviceTime: 40, utilisation: 0.05, slowTargets: 4, slowness: 3, requests: 10_000, subsetSize: 12
}
/** Goal for the detection of three-fold slowness. */
const DETECTION_GOAL_MS = 5_000

// Guards against steering that starves a slow target before its host has evidence for the ejection,
// and against a subset that is unbounded or loads some targets more than others.
test('default placement keeps evidence, a bound and evenness', () => {
  const row = Measurements.Placement.placement(QUIET).rows.find(entry => entry.alternative === 'ring subset, two choices')
  assert.ok(row !== undefined)
  assert.ok(row.evidenceTime < DETECTION_GOAL_MS, `evidence after ${row.evidenceTime} ms`)
  assert.ok(row.slowShare < 1, `slow targets got ${row.slowShare} of an even share`)
  assert.equal(row.candidates, QUIET.subsetSize)
  // Every target is used by the mean number of entries, give or take one.
  assert.ok(row.mostUsed <= 1 + QUIET.targets / (QUIET.entries * QUIET.subsetSize))
})
