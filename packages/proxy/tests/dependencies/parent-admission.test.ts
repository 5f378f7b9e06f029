import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as AccountShares from '../../src/dependencies/account-shares.js'
import * as ParentAdmissions from '../../src/dependencies/parent-admission.js'
import * as ServiceFractions from '../../src/dependencies/service-fraction.js'

const NARROW = Decisions.Ids.service('narrow')
const OTHER = Decisions.Ids.service('other')
const ACCOUNT = Decisions.Ids.account('a')

/** Requests of one route at equal intervals; returns the indexes of the refused ones. */
function refusedOf (calls: readonly (readonly [Decisions.Ids.Service, number])[], fractions: ReadonlyMap<Decisions.Ids.Service, number>, count: number): number[] {
  const admission = new ParentAdmissions.ParentAdmission({ callsOf: route => route === 'order' ? [...calls] : [] })
  const isRefused = (index: number): boolean =>
    admission.check({ route: 'order', account: ACCOUNT }, service => ({ fraction: fractions.get(service) ?? 1, age: 0 }), Decisions.Clock.milliseconds(index * 250)) !== undefined
  return Array.from({ length: count }, (_, index) => index).filter(isRefused)
}

// Guards against admissions that come in clusters or miss the fraction at a few requests a second.
test('parents are admitted evenly', () => {
  const refused = refusedOf([[NARROW, 1.4]], new Map([[NARROW, 0.75]]), 400)
  assert.equal(refused.length, 100)
  assert.deepEqual(new Set(refused.slice(1).map((index, position) => index - (refused[position] ?? 0))), new Set([4]))
})

// Guards against refusing all requests of a route of which one in ten makes a call.
test('route that seldom calls the service is thinned less', () => {
  assert.equal(refusedOf([[NARROW, 0.1]], new Map([[NARROW, 0.5]]), 400).length, 20)
  assert.equal(refusedOf([], new Map([[NARROW, 0.5]]), 400).length, 0)
})

// Guards against admitting parents by the service with the most room.
test('smallest of the services that a route calls counts', () => {
  assert.equal(refusedOf([[NARROW, 2], [OTHER, 1]], new Map([[NARROW, 0.9], [OTHER, 0.25]]), 400).length, 300)
})

// Guards against an answer that does not say why, and against callers that come back during the burst or long after it.
test('refusal names the service and when to retry', () => {
  const admission = new ParentAdmissions.ParentAdmission({ callsOf: () => [[NARROW, 1]] })
  const check = (fraction: number): ParentAdmissions.ParentRefusal | undefined =>
    admission.check({ route: `r${fraction}`, account: undefined }, () => ({ fraction, age: 120 }), Decisions.Clock.milliseconds(0))
  assert.deepEqual(check(0.2), { service: NARROW, fraction: 0.2, age: 120, retryAfter: 2_500 })
  assert.equal(check(0.4)?.retryAfter, 2_000)
  assert.equal(check(1), undefined)
})

// Guards against refusals of small accounts because of one that sends ten times their rate (R7).
test('account with the highest rate is thinned first', () => {
  const shares = new AccountShares.AccountShares()
  const admitted = new Map<string, number>()
  for (let index = 0; index < 1_000; index += 1) {
    const account = index % 2 === 0 ? 'large' : `small${index % 11}`
    const share = shares.fractionOf(Decisions.Ids.account(account), 0.6, Decisions.Clock.milliseconds(index * 100))
    if (index >= 300) admitted.set(account, (admitted.get(account) ?? 0) + share)
  }
  const large = admitted.get('large') ?? 0
  const small = [...admitted].filter(([name]) => name !== 'large').map(([, count]) => count)
  assert.ok(Math.min(...small) > 29, `small accounts lose nothing: ${small.join(' ')}`)
  assert.ok(large > 60 && large < 90, `the large one loses 280 of 350: ${large}`)
})

// Guards against a fraction of one host that stands for all, and against old reports that stand for new ones.
test('reports are weighted by slots and age', () => {
  const combined = ServiceFractions.combine([{ slots: 8, fraction: 0.4, age: 0 }, { slots: 8, fraction: 0.8, age: 0 }, { slots: 8, fraction: 0.05, age: 3_001 }])
  assert.ok(Math.abs(combined.fraction - 0.6) < 1e-9)
  assert.ok(Math.abs(ServiceFractions.combine([{ slots: 24, fraction: 0.4, age: 0 }, { slots: 8, fraction: 0.8, age: 0 }]).fraction - 0.5) < 1e-9)
  assert.ok(ServiceFractions.combine([{ slots: 8, fraction: 0.4, age: 1_400 }, { slots: 8, fraction: 0.8, age: 0 }]).fraction > 0.7)
})

// Guards against parents that are refused for good after the called service, or the link to it, has gone.
test('fraction rises to 1 when reports stop', () => {
  const fractionAt = (age: number): number => ServiceFractions.combine([{ slots: 8, fraction: 0.4, age }]).fraction
  assert.deepEqual([0, 1_500, 2_250, 3_000, 3_100].map(age => Number(fractionAt(age).toFixed(3))), [0.4, 0.4, 0.7, 1, 1])
  assert.deepEqual(ServiceFractions.combine([]), { fraction: 1, age: Infinity })
})
