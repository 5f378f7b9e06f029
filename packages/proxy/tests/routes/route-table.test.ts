import * as assert from 'node:assert/strict'
import { test } from 'node:test'
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
