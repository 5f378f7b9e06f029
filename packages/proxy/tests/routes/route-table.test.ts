import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import type * as Routes from '../../src/routes/route.js'
import * as RouteTables from '../../src/routes/route-table.js'
import * as Samples from '../support/samples.js'

function table (routes: readonly Routes.Route[]): RouteTables.RouteTable {
  return new RouteTables.RouteTable(Samples.configuration({ routes }))
}

test('longest prefix of the host wins', () => {
  const routes = table([
    Samples.route({ name: 'root', pathPrefix: '/' }), Samples.route({ name: 'a', pathPrefix: '/a/' }), Samples.route({ name: 'ab', pathPrefix: '/a/b/' })
  ])
  assert.equal(routes.match('shop.example', '/a/b/c')?.name, 'ab')
  assert.equal(routes.match('shop.example', '/a/x')?.name, 'a')
  assert.equal(routes.match('shop.example', '/ab')?.name, 'root')
})

// Guards against a prefix that matches a part of a path segment.
test('prefix ends at a slash', () => {
  assert.equal(table([Samples.route({ pathPrefix: '/a/' })]).match('shop.example', '/ab/c'), undefined)
})

test('other host has other routes', () => {
  assert.equal(table([Samples.route({})]).match('other.example', '/a/x'), undefined)
})

test('destinations get their weights', () => {
  const route = Samples.route({ destinations: [{ service: Decisions.Ids.service('one'), weight: 90 }, { service: Decisions.Ids.service('two'), weight: 10 }] })
  const random = new Decisions.Random.Random(7)
  const drawn = Array.from({ length: 2_000 }, () => RouteTables.chooseDestination(route, random))
  const share = drawn.filter(service => service === 'two').length / drawn.length
  assert.ok(Math.abs(share - 0.1) < 0.02, `share ${share}`)
})

test('destination of weight zero gets nothing', () => {
  const route = Samples.route({ destinations: [{ service: Decisions.Ids.service('one'), weight: 0 }, { service: Decisions.Ids.service('two'), weight: 1 }] })
  const random = new Decisions.Random.Random(7)
  assert.ok(Array.from({ length: 200 }, () => RouteTables.chooseDestination(route, random)).every(service => service === 'two'))
})
