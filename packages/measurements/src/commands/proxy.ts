/** `measure proxy`: memory and processing time of a proxy node by number of targets, candidates and routes. */
import * as Decisions from '@jasminedale/decisions'
import * as Proxy from '@jasminedale/proxy'
import type * as Commander from 'commander'

const TARGET_SIZES = [9_750, 19_500, 39_000, 78_000]
const CANDIDATE_SIZES = [23, 46, 92, 184]
const ROUTE_SIZES = [11_125, 22_250, 44_500, 89_000]
const SERVICES = 1_700
const LOOKUPS = 20_000
const MEGABYTE_BYTES = 1_048_576
const MICROSECONDS_PER_MILLISECOND = 1_000

interface Measured { readonly megabytes: number, readonly milliseconds: number }

/** Measures the heap that the result of `make` occupies and the time to create it. */
function measureCost (make: () => unknown): Measured {
  globalThis.gc?.()
  const before = process.memoryUsage().heapUsed
  const startedAt = performance.now()
  const made = make()
  const milliseconds = performance.now() - startedAt
  globalThis.gc?.()
  const megabytes = (process.memoryUsage().heapUsed - before) / MEGABYTE_BYTES
  return { megabytes: made === undefined ? 0 : megabytes, milliseconds }
}

function registration (index: number, service: string): Proxy.Registrations.Registration {
  return {
    target: Decisions.Ids.targetId(`i-${index.toString(16).padStart(10, '0')}`), service: Decisions.Ids.service(service),
    host: Decisions.Ids.endpoint(`10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:8000`), dataCenter: Decisions.Ids.dataCenter(`dc${index % 6}`),
    region: Decisions.Ids.region(`r${index % 3}`), slots: 4, state: 'ready', incarnation: Decisions.Ids.incarnation(index), sequence: 1
  }
}

function directory (size: number): Proxy.Directories.Directory {
  const made = new Proxy.Directories.Directory()
  for (let index = 0; index < size; index += 1) made.merge(registration(index, `service-${index % SERVICES}`))
  return made
}

/** Returns the time of one selection among `size` targets, in microseconds. */
function placement (size: number): number {
  const candidates = Array.from({ length: size }, (_, index) => registration(index, 'one'))
  const views = new Proxy.HostViews.HostViews()
  const place = { host: Decisions.Ids.endpoint('10.9.9.9:1'), dataCenter: Decisions.Ids.dataCenter('dc0'), region: Decisions.Ids.region('r0') }
  const targetSelector = new Proxy.TargetSelectors.TargetSelector(place, views, new Decisions.Random.Random(1))
  const criteria = { isFailureFinal: true, mayBypassBreaker: false, excluded: new Set<Decisions.Ids.TargetId>() }
  const startedAt = performance.now()
  for (let now = 0; now < LOOKUPS; now += 1) targetSelector.choose(candidates, criteria, Decisions.Clock.milliseconds(now))
  return (performance.now() - startedAt) / LOOKUPS * MICROSECONDS_PER_MILLISECOND
}

function routeTable (size: number): Proxy.RouteTables.RouteTable {
  const routes = Array.from({ length: size }, (_, index): Proxy.Routes.Route => ({
    name: `route-${index}`, host: `host-${index % SERVICES}.example`, pathPrefix: `/path-${index}/`, repeatable: true, timeout: Decisions.Clock.seconds(2),
    latencyObjective: Decisions.Clock.milliseconds(400), priority: 1, attempts: 2,
    destinations: [{ service: Decisions.Ids.service(`service-${index % SERVICES}`), weight: 1 }],
    allowsAnonymous: false
  }))
  const limits = { headerBytes: 16_384, bodyBytes: MEGABYTE_BYTES, headerTimeout: Decisions.Clock.seconds(3), idleTimeout: Decisions.Clock.seconds(15) }
  return new Proxy.RouteTables.RouteTable({ version: Decisions.Ids.version(1), checksum: '0', routes, accounts: undefined, limits, features: { placesByCost: false, sharesFairly: false, admitsByDependencies: false } })
}

function print (name: string, size: number, { megabytes, milliseconds }: Measured): void {
  process.stdout.write(`${name} ${size}: ${megabytes.toFixed(1)} MB, ${milliseconds.toFixed(0)} ms\n`)
}

export function register (program: Commander.Command): void {
  program.command('proxy').description('State and time of a proxy node by targets, candidates and routes').action(() => {
    for (const size of TARGET_SIZES) print('directory, targets', size, measureCost(() => directory(size)))
    for (const size of ROUTE_SIZES) print('route table, routes', size, measureCost(() => routeTable(size)))
    for (const size of CANDIDATE_SIZES) process.stdout.write(`placement, candidates ${size}: ${placement(size).toFixed(1)} us\n`)
  })
}
