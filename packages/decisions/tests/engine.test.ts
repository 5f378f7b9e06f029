import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'

function engine (seed: number): Decisions.Engines.Engine {
  const identity = {
    node: Decisions.Ids.nodeId('n1'),
    address: Decisions.Ids.endpoint('127.0.0.1:1'),
    dataCenter: Decisions.Ids.dataCenter('burnaby-a'),
    region: Decisions.Ids.region('lower-mainland'),
    incarnation: Decisions.Ids.incarnation(1),
    seeds: []
  }
  return new Decisions.Engines.Engine({ identity, seed })
}

// Guards against nondeterministic inputs of the engine, such as a clock or an unseeded generator.
test('same inputs and seed give the same commands', () => {
  const run = (): string => JSON.stringify(
    [0, 100, 200].map(now => engine(7).step(Decisions.Clock.milliseconds(now), [{ kind: 'tick' }]))
  )
  assert.equal(run(), run())
})
