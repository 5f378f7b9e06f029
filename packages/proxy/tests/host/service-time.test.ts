import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as ServiceTimes from '../../src/host/service-time.js'

const at = Decisions.Clock.milliseconds

// Guards against a slow target that looks fast: one five times slower kept its mean, since its slowest requests ended at their deadline.
test('requests that did not complete raise the mean', () => {
  const time = new ServiceTimes.ServiceTime()
  for (let count = 0; count < 20; count += 1) time.add(at(200))
  for (let count = 0; count < 5; count += 1) time.addLowerBound(at(1_500))
  assert.ok(time.mean > 3 * 200, `mean is ${time.mean}`)
})

// Guards against requests that are cancelled early and make a target look fast.
test('requests cancelled below the mean are ignored', () => {
  const time = new ServiceTimes.ServiceTime()
  for (let count = 0; count < 20; count += 1) time.add(at(200))
  time.addLowerBound(at(5))
  assert.equal(Math.round(time.mean), 200)
})
