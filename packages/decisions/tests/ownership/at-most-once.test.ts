import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Schedules from './random-schedule.js'
import * as Variants from './weakened-rules.js'

/** Number of schedules; the default is for CI. */
const RUNS = Number(process.env['SCHEDULES'] ?? 400)
const SEED = Number(process.env['SEED'] ?? 1)
const VARIANT_RUNS = 400

// Guards against a key that runs twice, and against the answer "not run" for a key that has run or is running.
test('each key runs at most once', () => {
  assert.equal(Schedules.check(RUNS, SEED), undefined)
})

// Guards against a check that cannot fail: it must find a violation for each rule that is removed.
test('each guard is needed', () => {
  for (const [name, variant] of Object.entries(Variants.VARIANTS)) {
    assert.notEqual(Schedules.check(VARIANT_RUNS, SEED, variant), undefined, name)
  }
})
