import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as QuotaFleets from '../support/quota-fleet.js'

const ENTRIES = 86
const ZONE = 22
const LINK: QuotaFleets.Link = { loss: 0.02, doubled: 0.02, delay: [5, 40] }
const LIMITS = [[4, 4], [20, 4], [100, 20], [400, 80]] as const
/** Demand in multiples of the limit: near the usual rate, and five times that. */
const USUAL = 0.7
const SURGE = 4.5

type Run = (fleet: QuotaFleets.QuotaFleet, account: Decisions.Ids.Account, run: (seconds: number) => void) => void

/** Plays a failure at the usual rate and at a surge, for small and large limits. Returns the share of refused requests at the usual rate. */
function play (failure: Run): readonly number[] {
  return LIMITS.map(([rate, burst]) => {
    const account = Decisions.Ids.account(`acct-${rate}`)
    const [usual, surging] = [USUAL, SURGE].map(factor => {
      const fleet = new QuotaFleets.QuotaFleet(ENTRIES, rate, LINK)
      const load: QuotaFleets.Load = { account, limit: { rate, burst }, rateAt: entry => factor * rate * 0.5 / (entry < ZONE ? ZONE : ENTRIES - ZONE) }
      failure(fleet, account, seconds => { fleet.run(seconds, [load]) })
      fleet.assertWindowRule(load)
      return fleet
    })
    assert.ok(usual !== undefined && surging !== undefined)
    const [ran, refused] = [usual.count(usual.ran, account), usual.count(usual.refused, account)]
    return refused / (ran + refused)
  })
}

/** The smallest account is left out: its entries see a request in half a minute, keep no shares, and refuse most while they are cut off. */
function assertFewRefused ([, ...refused]: readonly number[], most: number): void {
  assert.ok(Math.max(...refused) <= most, `shares refused at the usual rate: ${refused.map(share => share.toFixed(3)).join(', ')}`)
}

// Guards against an entry that goes on with its last fraction, or whose share is given to others, while it is cut off alone.
test('entry that is cut off alone admits no more than its share', () => {
  const refused = play((fleet, account, run) => {
    run(6)
    const alone = fleet.arbitersOf(account)[0] === 3 ? 4 : 3
    fleet.isCut = (from, to) => from === alone || to === alone
    run(10)
    fleet.isCut = () => false
    run(5)
  })
  assertFewRefused(refused, 0.05)
})

// Guards against two arbiters on two sides of a partition that add up to more than the limit, and against a burst for each
// side, or for those that come back, when the partition ends.
test('both halves of a divided fleet together stay within the quota', () => {
  const refused = play((fleet, _account, run) => {
    run(6)
    fleet.isCut = (from, to) => (from < ENTRIES / 2) !== (to < ENTRIES / 2)
    run(20)
    fleet.isCut = () => false
    run(8)
  })
  assertFewRefused(refused, 0.25)
})

// Guards against accounts that are refused, or not limited, while their arbiter is gone and after it has started without state.
test('killed arbiter is replaced by the second and takes over again', () => {
  const refused = play((fleet, account, run) => {
    run(6)
    const [first] = fleet.arbitersOf(account)
    fleet.kill(first)
    run(10)
    fleet.start(first)
    run(8)
  })
  assertFewRefused(refused, 0.1)
})

// Guards against a limit that counts twice when neither arbiter answers.
test('without both arbiters entries stay within their shares', () => {
  play((fleet, account, run) => {
    run(6)
    const arbiters = fleet.arbitersOf(account)
    for (const index of arbiters) fleet.kill(index)
    run(8)
    for (const index of arbiters) fleet.start(index)
    run(6)
  })
})

// Guards against shares that stay reserved for processes that have ended, when half of them are killed at once.
test('half of the processes killed at once leave the quota usable', () => {
  const refused = play((fleet, _account, run) => {
    run(6)
    for (let index = 0; index < ENTRIES; index += 2) fleet.kill(index)
    run(3)
    for (let index = 0; index < ENTRIES; index += 2) fleet.start(index)
    run(8)
  })
  assertFewRefused(refused, 0.1)
})

// Guards against an account that gets its quota from two arbiters while nodes disagree on which of them is registered.
test('nodes that disagree on the arbiter for some seconds do not double the quota', () => {
  play((fleet, account, run) => {
    const [first] = fleet.arbitersOf(account)
    const without = fleet.rankingOf(fleet.hosts.filter((_, index) => index !== first))
    run(6)
    for (let index = 0; index < ENTRIES; index += 2) fleet.entryAt(index).replaceRanking(without)
    run(3)
    for (let index = 1; index < ENTRIES; index += 2) fleet.entryAt(index).replaceRanking(without)
    run(8)
  })
})

// Guards against state that grows with every account and entry that was ever seen.
test('accounts and entries without requests are forgotten', () => {
  const fleet = new QuotaFleets.QuotaFleet(6, 1)
  const load: QuotaFleets.Load = { account: Decisions.Ids.account('bakery'), limit: { rate: 20, burst: 5 }, rateAt: () => 2 }
  fleet.run(3, [load])
  assert.equal(fleet.stateSize > 0, true)
  fleet.run(90, [{ ...load, rateAt: () => 0 }])
  assert.equal(fleet.stateSize, 0)
})
