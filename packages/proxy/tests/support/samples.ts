/** Factories of routes, configurations and registrations for tests. */
import * as Decisions from '@jasminedale/decisions'
import type * as Registrations from '../../src/directory/registration.js'
import type * as Routes from '../../src/routes/route.js'

export const SERVICE = Decisions.Ids.service('accounts')

export const LIMIT_SETTINGS = {
  resources: { memoryBytes: 262_144_000, descriptors: 4_100 },
  quotas: { window: Decisions.Clock.seconds(5), overshoot: 0.1, slack: 20 },
  revocation: { isStrict: false, period: Decisions.Clock.seconds(5) }
}

export function route (overrides: Partial<Routes.Route>): Routes.Route {
  return {
    name: 'r1', host: 'shop.example', pathPrefix: '/a/', repeatable: true, timeout: Decisions.Clock.seconds(2),
    latencyObjective: Decisions.Clock.milliseconds(400), priority: 1, attempts: 2, destinations: [{ service: SERVICE, weight: 1 }], allowsAnonymous: false, ...overrides
  }
}

export function configuration (overrides: Partial<Routes.RouteConfiguration>): Routes.RouteConfiguration {
  return {
    version: Decisions.Ids.version(1), checksum: '0', routes: [route({})], accounts: undefined,
    limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeout: Decisions.Clock.seconds(3), idleTimeout: Decisions.Clock.seconds(15) },
    features: { placesByCost: false, sharesFairly: false, admitsByDependencies: false }, ...overrides
  }
}

export function registration (name: string, overrides: Partial<Registrations.Registration> = {}): Registrations.Registration {
  return {
    target: Decisions.Ids.targetId(name), service: SERVICE, host: Decisions.Ids.endpoint(`10.0.0.${name.length}:1${name.charCodeAt(name.length - 1)}`),
    dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r'), slots: 4, state: 'ready', incarnation: Decisions.Ids.incarnation(100), sequence: 1, ...overrides
  }
}
