import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as RouteCallers from '../../src/dependencies/route-callers.js'

const WIDE = Decisions.Ids.service('wide')
const MIDDLE = Decisions.Ids.service('middle')
const NARROW = Decisions.Ids.service('narrow')
const MACHINES = new Map([[WIDE, 49], [MIDDLE, 31], [NARROW, 6]])

function machinesOf (service: Decisions.Ids.Service): RouteCallers.VirtualMachines {
  return { ofService: MACHINES.get(service) ?? 0, total: 86 }
}

class Route {
  readonly callers = new RouteCallers.RouteCallers()
  private time = 0

  /** Requests at an interval; returns after how many the route was first recognized as calls, if at all. */
  receive (services: readonly Decisions.Ids.Service[], interval = 200): number | undefined {
    let first: number | undefined
    for (const [index, service] of services.entries()) {
      this.time += interval
      this.callers.record('r1', service, Decisions.Clock.milliseconds(this.time))
      if (first === undefined && this.caller !== undefined) first = index + 1
    }
    return first
  }

  get caller (): Decisions.Ids.Service | undefined {
    return this.callers.callerOf('r1', machinesOf, Decisions.Clock.milliseconds(this.time))
  }
}

function repeat (service: Decisions.Ids.Service, count: number): Decisions.Ids.Service[] {
  return Array.from({ length: count }, () => service)
}

// Guards against a number of samples that is too small for a service with most of the VMs, or needlessly large for a small one.
test('number of samples follows from the share of the VMs', () => {
  const [afterWide, afterNarrow] = [new Route().receive(repeat(WIDE, 40)), new Route().receive(repeat(NARROW, 40))]
  assert.ok(afterWide !== undefined && afterWide >= 17 && afterWide <= 20, `wide ${afterWide}`)
  assert.ok(afterNarrow !== undefined && afterNarrow >= 4 && afterNarrow <= 5, `narrow ${afterNarrow}`)
})

// Guards against requests of callers that are taken for calls: callers send from all VMs.
test('route whose requests come from all VMs is never recognized', () => {
  const random = new Decisions.Random.Random(5)
  const services = [...MACHINES].flatMap(([service, count]) => repeat(service, count))
  let recognized = 0
  for (let run = 0; run < 100; run += 1) if (new Route().receive(Array.from({ length: 500 }, () => random.pick(services) ?? WIDE)) !== undefined) recognized += 1
  assert.ok(recognized <= 3, `${recognized} of 100 runs of 500 requests`)
})

// Guards against a route that stays recognized after other services, or callers, have begun to use it.
test('request from another service ends the recognition', () => {
  const route = new Route()
  route.receive(repeat(WIDE, 40))
  assert.equal(route.caller, WIDE)
  route.receive([MIDDLE])
  assert.equal(route.caller, undefined)
  route.receive(repeat(MIDDLE, 20))
  assert.equal(route.caller, MIDDLE)
})

// Guards against a burst of one caller on one VM, and against requests hours apart, that look like evidence.
test('requests that follow each other at once, or seldom, are no evidence', () => {
  assert.equal(new Route().receive(repeat(WIDE, 100), 1), undefined)
  assert.equal(new Route().receive(repeat(WIDE, 100), 30_000), undefined)
  const route = new Route()
  route.receive(repeat(WIDE, 40))
  assert.equal(route.callers.callerOf('r1', machinesOf, Decisions.Clock.milliseconds(300_000)), undefined)
})

// Guards against recognition while the directory is empty, and where one service has all VMs.
test('route is not recognized without other services', () => {
  const route = new Route()
  route.receive(repeat(WIDE, 100))
  const now = Decisions.Clock.milliseconds(20_000)
  assert.equal(route.callers.callerOf('r1', () => ({ ofService: 0, total: 0 }), now), undefined)
  assert.equal(route.callers.callerOf('r1', () => ({ ofService: 86, total: 86 }), now), undefined)
})

// Guards against memory that grows with the number of routes.
test('routes are bounded', () => {
  const callers = new RouteCallers.RouteCallers()
  for (let index = 0; index < 2_000; index += 1) callers.record(`r${index}`, WIDE, Decisions.Clock.milliseconds(index))
  assert.equal(Object.values(callers).reduce((sum: number, value) => sum + (value instanceof Map ? value.size : 0), 0), 512)
})
