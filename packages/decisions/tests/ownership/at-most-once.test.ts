import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Schedules from './schedule.js'
import * as Variants from './variants.js'

/** More schedules than CI runs can be asked for. */
const RUNS = Number(process.env['SCHEDULES'] ?? 400)
const SEED = Number(process.env['SEED'] ?? 1)
const VARIANT_RUNS = 400

// Guards against a key that runs twice and against "not run" for one that ran or still runs.
test('each key runs at most once', () => {
  assert.equal(Schedules.check(RUNS, SEED), undefined)
})

// Guards against a check that passes whatever the rules are: without any one guard it must fail.
test('each guard is needed', () => {
  for (const [name, variant] of Object.entries(Variants.VARIANTS)) {
    assert.notEqual(Schedules.check(VARIANT_RUNS, SEED, variant), undefined, name)
  }
})
