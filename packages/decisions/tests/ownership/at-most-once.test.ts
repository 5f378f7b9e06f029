import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as RandomSchedules from './random-schedule.js'
import * as WeakenedRules from './weakened-rules.js'

/** Number of schedules; the default is for CI. */
const RUNS = Number(process.env['SCHEDULES'] ?? 400)
const SEED = Number(process.env['SEED'] ?? 1)
const VARIANT_RUNS = 400

// Guards against a key that runs twice, and against the answer "not run" for a key that has run or is running.
test('each key runs at most once', () => {
  assert.equal(RandomSchedules.check(RUNS, SEED), undefined)
})

// Guards against a check that cannot fail, and against a safety rule that is not needed.
test('a violation is found when any safety rule is removed', () => {
  for (const [name, variant] of Object.entries(WeakenedRules.VARIANTS)) {
    assert.notEqual(RandomSchedules.check(VARIANT_RUNS, SEED, variant), undefined, name)
  }
})
