import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as FastCheck from 'fast-check'
import * as Clock from '../../src/core/clock.js'
import * as Ids from '../../src/core/ids.js'
import * as Random from '../../src/core/random.js'
import * as IdempotencyKeys from '../../src/ownership/idempotency-key.js'

// Guards against keys from GET /.jasminedale/key that the fleet itself does not read back.
test('made keys are read back', () => {
  FastCheck.assert(FastCheck.property(FastCheck.nat(), FastCheck.nat({ max: 2 ** 41 }), (seed, now) => {
    const key = IdempotencyKeys.parse(IdempotencyKeys.generate(Ids.region('lower-mainland'), Clock.milliseconds(now), new Random.Random(seed)))
    assert.ok(key.isOk() && key.value.time === now && key.value.region === 'lower-mainland')
  }), { seed: 1 })
})

// Guards against a time read from a key that has none, which would give it a wrong owner.
test('keys without a time are refused', () => {
  const faults = ['', 'order-17', '1700000000-seconds', 'a.1700000000', 'a.b.1700000000000-x', '.1700000000000-x',
    '018bcfe5-6800-4000-8000-000000000000', `1700000000000-${'x'.repeat(200)}`]
  for (const text of faults) assert.ok(IdempotencyKeys.parse(Ids.idempotencyKey(text)).isErr(), text)
  const bare = IdempotencyKeys.parse(Ids.idempotencyKey('1700000000000-a.b'))
  assert.ok(bare.isOk() && bare.value.region === undefined)
})
