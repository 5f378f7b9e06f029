import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as CallRates from '../../src/dependencies/call-rates.js'

const NARROW = Decisions.Ids.service('narrow')
const OTHER = Decisions.Ids.service('other')

interface RouteLoad { readonly name: string, readonly perSecond: number, readonly duration: number, readonly service?: Decisions.Ids.Service, readonly calls: number }

/** Runs of all routes at random times; each call is sent at a random time of its run. */
function learn (rates: CallRates.CallRates, routes: readonly RouteLoad[], seconds: number, from = 0): void {
  const random = new Decisions.Random.Random(3)
  const events: { readonly at: number, readonly apply: (now: Decisions.Clock.Milliseconds) => void }[] = []
  for (const { name, perSecond, duration, service, calls } of routes) {
    for (let index = 0; index < perSecond * seconds; index += 1) {
      const start = Decisions.Clock.milliseconds(from + random.fraction() * seconds * 1_000)
      events.push({ at: start, apply: now => { rates.recordStart(name, now) } }, { at: start + duration, apply: now => { rates.recordEnd(name, start, now) } })
      for (let call = 0; call < Math.floor(calls + random.fraction()); call += 1) {
        events.push({ at: start + duration * random.fraction(), apply: now => { if (service !== undefined) rates.recordCall(service, now) } })
      }
    }
  }
  events.sort((left, right) => left.at - right.at)
  for (const { at, apply } of events) apply(Decisions.Clock.milliseconds(at))
}

function rateOf (rates: CallRates.CallRates, route: string, service: Decisions.Ids.Service): number {
  return new Map(rates.callsOf(route)).get(service) ?? 0
}

// Guards against thinning a route that makes no calls because it runs at the same time as one that does.
test('calls are attributed to the route that makes them', () => {
  const rates = new CallRates.CallRates()
  learn(rates, [
    { name: 'order', perSecond: 4, duration: 700, service: NARROW, calls: 1.4 },
    { name: 'list', perSecond: 6, duration: 300, calls: 0 },
    { name: 'report', perSecond: 1, duration: 900, service: OTHER, calls: 1 }
  ], 300)
  const [order, list, report] = ['order', 'list', 'report'].map(route => rateOf(rates, route, NARROW))
  assert.ok(order !== undefined && Math.abs(order - 1.4) < 0.2, `order ${order}`)
  assert.ok(list !== undefined && list < 0.1, `list ${list}`)
  assert.ok(report !== undefined && report < 0.2, `report ${report}`)
  assert.ok(Math.abs(rateOf(rates, 'report', OTHER) - 1) < 0.2)
  assert.ok(rateOf(rates, 'order', OTHER) < 0.1)
})

// Guards against a rate that is used after one run, and against one that is not known after some seconds of load.
test('rate is used after a few runs', () => {
  const rates = new CallRates.CallRates()
  learn(rates, [{ name: 'order', perSecond: 4, duration: 700, service: NARROW, calls: 2 }], 1)
  assert.deepEqual(rates.callsOf('order'), [])
  learn(rates, [{ name: 'order', perSecond: 4, duration: 700, service: NARROW, calls: 2 }], 3, 2_000)
  assert.ok(Math.abs(rateOf(rates, 'order', NARROW) - 2) < 0.3)
  assert.equal(rates.isCalled(NARROW), true)
  assert.equal(rates.isCalled(OTHER), false)
})

// Guards against thinning for a service that a new release of the backend server no longer calls.
test('service that is no longer called is forgotten', () => {
  const rates = new CallRates.CallRates()
  learn(rates, [{ name: 'order', perSecond: 4, duration: 700, service: NARROW, calls: 1.4 }], 60)
  learn(rates, [{ name: 'order', perSecond: 4, duration: 700, service: OTHER, calls: 1.4 }], 300, 60_000)
  assert.equal(rateOf(rates, 'order', NARROW), 0)
  assert.ok(rateOf(rates, 'order', OTHER) > 1.2)
})

// Guards against requests of callers on the VM that are counted as calls of an idle target, and against unbounded memory.
test('call without a run counts for no route, and routes are bounded', () => {
  const rates = new CallRates.CallRates()
  rates.recordCall(NARROW, Decisions.Clock.milliseconds(0))
  learn(rates, Array.from({ length: 1_000 }, (_, index) => ({ name: `r${index}`, perSecond: 1, duration: 10, calls: 0 })), 10)
  assert.equal(Object.values(rates).reduce((sum: number, value) => sum + (value instanceof Map ? value.size : 0), 0), 256)
})
