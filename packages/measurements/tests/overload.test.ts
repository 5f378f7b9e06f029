import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Measurements from '@jasminedale/measurements'

// Guards against congestion collapse: work that is admitted but ends too late, and critical work behind the rest.
test('goodput at twice the capacity', () => {
  const [row] = Measurements.Overload.overload({ seed: 5, factors: [2], duration: 5_000, deadline: 500 })
  assert.ok(row !== undefined)
  assert.ok(row.goodput >= 0.9, `goodput ${row.goodput}`)
  // Critical work alone needs 40 % of the capacity, so next to all of it can be served.
  assert.ok(row.criticalServed >= 0.99, `critical ${row.criticalServed}`)
  assert.ok(row.criticalServed > row.normalServed && row.normalServed > row.sheddableServed)
})
