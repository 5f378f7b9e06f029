import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Measurements from '@jasminedale/measurements'

// Load of the service accounts in one data center: 5 requests/s per target; four targets become three times slower.
const QUIET = {
  seed: 3, entries: 16, targets: 24, slots: 4, serviceTime: 40, utilisation: 0.05, slowTargets: 4, slowness: 3, requests: 10_000, subsetSize: 12
}
/** Required detection time for a target that became three times slower. */
const DETECTION_GOAL_MS = 5_000

// Guards against selection that avoids a slow target before its host has enough samples to eject it, and against
// subsets that are unbounded or uneven.
test('default placement keeps evidence, a bound and evenness', () => {
  const row = Measurements.Placement.placement(QUIET).rows.find(entry => entry.alternative === 'ring subset, two choices')
  assert.ok(row !== undefined)
  assert.ok(row.evidenceTime < DETECTION_GOAL_MS, `evidence after ${row.evidenceTime} ms`)
  assert.ok(row.slowShare < 1, `slow targets got ${row.slowShare} of an even share`)
  assert.equal(row.candidates, QUIET.subsetSize)
  // Every target is used by the mean number of entries, give or take one.
  assert.ok(row.mostUsed <= 1 + QUIET.targets / (QUIET.entries * QUIET.subsetSize))
})
