import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import type * as Routes from '../../src/routes/route.js'
import * as RouteTables from '../../src/routes/route-table.js'
import * as Samples from '../support/samples.js'

function createTable (routes: readonly Routes.Route[]): RouteTables.RouteTable {
  return new RouteTables.RouteTable(Samples.configuration({ routes }))
}

// Guards against a request that takes the route of a shorter prefix.
test('longest matching prefix of the host is chosen', () => {
  const routes = createTable([
    Samples.route({ name: 'root', pathPrefix: '/' }), Samples.route({ name: 'a', pathPrefix: '/a/' }), Samples.route({ name: 'ab', pathPrefix: '/a/b/' })
  ])
  assert.equal(routes.match('shop.example', '/a/b/c')?.name, 'ab')
  assert.equal(routes.match('shop.example', '/a/x')?.name, 'a')
  assert.equal(routes.match('shop.example', '/ab')?.name, 'root')
})

// Guards against a prefix that matches a part of a path segment.
test('prefix ends at a slash', () => {
  assert.equal(createTable([Samples.route({ pathPrefix: '/a/' })]).match('shop.example', '/ab/c'), undefined)
})

// Guards against a request that takes a route of another host.
test('routes of another host do not match', () => {
  assert.equal(createTable([Samples.route({})]).match('other.example', '/a/x'), undefined)
})

// Guards against a traffic split that deviates from the configured weights.
test('destinations are chosen in proportion to their weights', () => {
  const route = Samples.route({ destinations: [{ service: Decisions.Ids.service('one'), weight: 90 }, { service: Decisions.Ids.service('two'), weight: 10 }] })
  const random = new Decisions.Random.Random(7)
  const chosen = Array.from({ length: 2_000 }, () => RouteTables.chooseDestination(route, random))
  const share = chosen.filter(service => service === 'two').length / chosen.length
  assert.ok(Math.abs(share - 0.1) < 0.02, `share ${share}`)
})

// Guards against requests for a destination that was switched off by its weight.
test('destination of weight zero is never chosen', () => {
  const route = Samples.route({ destinations: [{ service: Decisions.Ids.service('one'), weight: 0 }, { service: Decisions.Ids.service('two'), weight: 1 }] })
  const random = new Decisions.Random.Random(7)
  assert.ok(Array.from({ length: 200 }, () => RouteTables.chooseDestination(route, random)).every(service => service === 'two'))
})
