import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Measurements from '@jasminedale/measurements'

// Guards against congestion collapse, where admitted requests miss their deadline, and against delaying critical
// requests behind others.
test('goodput at twice the capacity', () => {
  const [row] = Measurements.Overload.overload({ seed: 5, factors: [2], duration: 5_000, deadline: 500 })
  assert.ok(row !== undefined)
  assert.ok(row.goodput >= 0.9, `goodput ${row.goodput}`)
  // Critical requests need only 40 % of the capacity, so nearly all of them can be served.
  assert.ok(row.criticalServed >= 0.99, `critical ${row.criticalServed}`)
  assert.ok(row.criticalServed > row.normalServed && row.normalServed > row.sheddableServed)
})
