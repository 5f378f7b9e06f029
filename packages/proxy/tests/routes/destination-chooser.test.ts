import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as DestinationChoosers from '../../src/routes/destination-chooser.js'
import * as Samples from '../support/samples.js'

// Guards against a traffic split that deviates from the configured weights.
test('destinations are chosen in proportion to their weights', () => {
  const route = Samples.route({ destinations: [{ service: Decisions.Ids.service('one'), weight: 90 }, { service: Decisions.Ids.service('two'), weight: 10 }] })
  const chooser = new DestinationChoosers.DestinationChooser(new Decisions.Random.Random(7))
  const chosen = Array.from({ length: 2_000 }, () => chooser.choose(route))
  const share = chosen.filter(service => service === 'two').length / chosen.length
  assert.ok(Math.abs(share - 0.1) < 0.02, `share ${share}`)
})

// Guards against requests for a destination that was switched off by its weight.
test('destination of weight zero is never chosen', () => {
  const route = Samples.route({ destinations: [{ service: Decisions.Ids.service('one'), weight: 0 }, { service: Decisions.Ids.service('two'), weight: 1 }] })
  const chooser = new DestinationChoosers.DestinationChooser(new Decisions.Random.Random(7))
  assert.ok(Array.from({ length: 200 }, () => chooser.choose(route)).every(service => service === 'two'))
})

// Guards against shares that are off over a fleet in which each node sees only a few requests of the route.
test('shares hold over many nodes with three requests each', () => {
  const route = Samples.route({ destinations: [{ service: Decisions.Ids.service('one'), weight: 1 }, { service: Decisions.Ids.service('two'), weight: 1 }] })
  for (let trial = 0; trial < 200; trial += 1) {
    const chosen = Array.from({ length: 67 }, (_, node) => {
      const chooser = new DestinationChoosers.DestinationChooser(new Decisions.Random.Random(Decisions.Rendezvous.hash(`${trial} ${node}`)))
      return [1, 2, 3].map(() => chooser.choose(route))
    }).flat()
    const share = chosen.filter(service => service === 'two').length / chosen.length
    assert.ok(Math.abs(share - 0.5) < 0.1, `share ${share} in trial ${trial}`)
  }
})

// Guards against requests for services that the operator has switched off altogether.
test('route whose weights are all zero has no destination', () => {
  const route = Samples.route({ destinations: [{ service: Decisions.Ids.service('one'), weight: 0 }, { service: Decisions.Ids.service('two'), weight: 0 }] })
  assert.equal(new DestinationChoosers.DestinationChooser(new Decisions.Random.Random(7)).choose(route), undefined)
})
