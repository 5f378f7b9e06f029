import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as QuotaFleets from '../support/quota-fleet.js'

const ENTRIES = 86
const ZONE = 22
const UNRELIABLE: QuotaFleets.Link = { loss: 0.1, doubled: 0.1, delay: [5, 100] }

/** Part of an account's requests that an entry of a zone of 22 gets, if the zone gets `zoneShare` of them. */
function part (entry: number, zoneShare = 0.5): number {
  return entry < ZONE ? zoneShare / ZONE : (1 - zoneShare) / (ENTRIES - ZONE)
}

function load (rate: number, burst: number, usual: number, factorAt: (time: number) => number): QuotaFleets.Load {
  return { account: Decisions.Ids.account(`acct-${rate}`), limit: { rate, burst }, rateAt: (entry, time) => usual * factorAt(time) * part(entry) }
}

// Guards against an account that displaces others with five times its usual rate, since entries learn too late that it
// exceeds its quota, and against quotas that are left unused because each entry gets a part of them.
test('account at five times its usual rate stays within its quota and gets all of it', () => {
  for (const link of [undefined, UNRELIABLE]) {
    for (const [rate, burst] of [[2, 2], [5, 1], [20, 20], [100, 20], [400, 80], [400, 400]] as const) {
      const fleet = new QuotaFleets.QuotaFleet(ENTRIES, 7, link)
      const surging = load(rate, burst, 0.9 * rate, time => time >= 8 && time < 14 ? 5 : 1)
      fleet.run(18, [surging])
      fleet.assertWindowRule(surging)
      const ran = fleet.count(fleet.ran, surging.account, 8_000, 14_000)
      assert.ok(ran >= 0.9 * rate * 6, `${rate}/s: ${ran} ran in 6 s`)
    }
  }
})

// Guards against refusals of accounts below their limits, of which each entry sees a few requests a minute.
test('accounts far below their limits get no refusal', () => {
  const fleet = new QuotaFleets.QuotaFleet(ENTRIES, 11, UNRELIABLE)
  const loads = Array.from({ length: 30 }, (_, index) => ({ ...load(4 + index, 4, 0.4 * (4 + index), () => 1), account: Decisions.Ids.account(`small-${index}`) }))
  fleet.run(15, loads)
  for (const { account } of loads) assert.equal(fleet.count(fleet.refused, account), 0, account)
})

// Guards against a burst that can be used only where the account's requests usually arrive.
test('burst is usable from one entry that had no requests before', () => {
  const fleet = new QuotaFleets.QuotaFleet(ENTRIES, 3)
  const account = Decisions.Ids.account('bakery')
  const bursting: QuotaFleets.Load = { account, limit: { rate: 20, burst: 60 }, rateAt: (entry, time) => entry === 70 && time >= 10 && time < 10.5 ? 120 : entry < ZONE ? 8 / ZONE : 0 }
  fleet.run(12, [bursting])
  const refused = fleet.count(fleet.refused, account)
  assert.ok(refused <= 2, `${refused} of 60 refused`)
})

// Guards against refusals after an account's requests have moved, because entries in the other zone still hold its shares.
test('traffic that moves between zones is not refused', () => {
  const fleet = new QuotaFleets.QuotaFleet(ENTRIES, 5)
  const account = Decisions.Ids.account('bakery')
  const moving: QuotaFleets.Load = { account, limit: { rate: 100, burst: 40 }, rateAt: (entry, time) => 80 * part(entry, time < 8 ? 0.95 : 0.05) }
  fleet.run(14, [moving])
  const refused = fleet.count(fleet.refused, account, 5_000)
  assert.ok(refused <= 4, `${refused} refused`)
})

// Guards against requests that count against the quota although they have not run.
test('requests that end as not run are given back', () => {
  const fleet = new QuotaFleets.QuotaFleet(ENTRIES, 9)
  fleet.notRun = 0.5
  const failing = load(100, 20, 150, () => 1)
  fleet.run(14, [failing])
  fleet.assertWindowRule(failing)
  const refused = fleet.count(fleet.refused, failing.account, 4_000)
  assert.ok(refused <= 15, `${refused} refused although 75 a second run`)
})

// Guards against a lowered limit that binds too late, or a node with the old configuration that raises it again.
test('lower limit binds at once', () => {
  const fleet = new QuotaFleets.QuotaFleet(ENTRIES, 13)
  const before = load(100, 20, 100, () => 1)
  const after = { ...before, limit: { rate: 20, burst: 5 } }
  fleet.run(8, [before])
  fleet.version = 2
  fleet.ran.clear()
  fleet.run(8, [after])
  // One window after the change the debt of the higher limit has passed.
  fleet.ran.set(after.account, (fleet.ran.get(after.account) ?? []).filter(({ at }) => at >= 9_000))
  fleet.assertWindowRule(after)
})
