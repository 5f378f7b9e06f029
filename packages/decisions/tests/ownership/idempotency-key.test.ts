import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as FastCheck from 'fast-check'
import * as Clock from '../../src/core/clock.js'
import * as Ids from '../../src/core/ids.js'
import * as Random from '../../src/core/random.js'
import * as IdempotencyKeys from '../../src/ownership/idempotency-key.js'

// Guards against keys from GET /.jasminedale/key that the parser rejects or reads differently.
test('generated keys are parsed with their time and region', () => {
  FastCheck.assert(FastCheck.property(FastCheck.nat(), FastCheck.nat({ max: 2 ** 41 }), (seed, now) => {
    const key = IdempotencyKeys.parse(IdempotencyKeys.generate(Ids.region('lower-mainland'), Clock.milliseconds(now), new Random.Random(seed)))
    assert.ok(key.isOk() && key.value.time === now && key.value.region === 'lower-mainland')
  }), { seed: 1 })
})

// Guards against reading a time from a key that has none, which would select a wrong owner, and against taking the text
// before a dot in a key without a region for one.
test('malformed keys are rejected', () => {
  const malformedKeys = ['', 'order-17', '1700000000-seconds', 'a.1700000000', 'a.b.1700000000000-x', '.1700000000000-x',
    '018bcfe5-6800-4000-8000-000000000000', `1700000000000-${'x'.repeat(200)}`]
  for (const text of malformedKeys) assert.ok(IdempotencyKeys.parse(Ids.idempotencyKey(text)).isErr(), text)
  const keyWithoutRegion = IdempotencyKeys.parse(Ids.idempotencyKey('1700000000000-a.b'))
  assert.ok(keyWithoutRegion.isOk() && keyWithoutRegion.value.region === undefined)
})
