import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Ids from '../../src/core/ids.js'
import * as RosterRecords from '../../src/ownership/roster-record.js'
import * as Fleets from './fleet.js'

const SIX_PLACES = ['a/a1', 'a/a1', 'a/a2', 'a/a2', 'b/b1', 'b/b2']
const HOUR_MS = 3_600_000

let keyCount = 0
function freshKey (fleet: Fleets.Fleet, region = 'a', ahead = 0): string {
  keyCount += 1
  return `${region}.${fleet.now + ahead}-${keyCount}`
}

function startFleet (options: Partial<Fleets.FleetOptions> = {}): Fleets.Fleet {
  const fleet = new Fleets.Fleet({ places: SIX_PLACES, completionRate: 1, ...options })
  fleet.advance(10_000)
  return fleet
}

/** Share of new keys that complete when every running node of the region sends some. */
function completedShare (fleet: Fleets.Fleet, region: string): number {
  const first = fleet.answers.length
  for (let round = 0; round < 20; round += 1) {
    for (const [index, slot] of fleet.slots.entries()) if (slot.isUp && slot.node.identity.region === region) fleet.send(index, freshKey(fleet, region))
  }
  fleet.advance(2_000)
  const answers = fleet.answers.slice(first)
  return answers.filter(({ answer }) => answer.kind === 'complete').length / answers.length
}

function rosterOf (fleet: Fleets.Fleet, index: number, region = 'a'): NonNullable<ReturnType<typeof fleet.slots[0]['node']['board']['keys']['rosters']['get']>> {
  const roster = fleet.slot(index).node.board.keys.rosters.get(Ids.region(region))
  assert.ok(roster)
  return roster
}

function lastAnswer (fleet: Fleets.Fleet): Fleets.Answer | undefined {
  return fleet.answers.at(-1)?.answer
}

// Guards against a protocol that is safe only because it serves nothing, and against unknown rosters of other regions.
test('new keys of each region are served', () => {
  const fleet = startFleet()
  assert.equal(completedShare(fleet, 'a'), 1)
  assert.equal(completedShare(fleet, 'b'), 1)
  fleet.send(0, freshKey(fleet, 'b'))
  fleet.send(5, freshKey(fleet).slice(2))
  fleet.advance(500)
  assert.deepEqual(fleet.answers.slice(-2).map(({ answer }) => answer.kind), ['complete', 'complete'])
})

// Guards against a failed owner that is not replaced, so that its share of the keys is not served.
test('keys are served 10 s after an owner crashed', () => {
  const fleet = startFleet()
  fleet.crash(1)
  fleet.advance(10_000)
  assert.equal(completedShare(fleet, 'a'), 1)
})

// Guards against promises that depend on the log, even if the outage begins with a lost reply to an append.
test('keys are served in a log outage of 6 hours', () => {
  const fleet = startFleet({ places: ['a/a1', 'a/a1', 'a/a2'] })
  fleet.crash(2)
  fleet.appendFault = 'reply-lost'
  for (let step = 0; step < 80 && fleet.log.length < 2; step += 1) fleet.advance(100)
  fleet.isLogUp = false
  assert.deepEqual([fleet.log.length, rosterOf(fleet, 0).version], [2, 0])
  for (let hour = 0; hour < 6; hour += 1) {
    fleet.tickInterval = 2_000
    fleet.advance(HOUR_MS)
    fleet.tickInterval = 100
    fleet.advance(2_000)
    assert.ok(completedShare(fleet, 'a') > 0.5)
  }
  fleet.isLogUp = true
  fleet.advance(15_000)
  assert.equal(completedShare(fleet, 'a'), 1)
})

// Guards against a quorum that needs the witness in the other region, and against "not run" for keys of an unreachable owner.
test('a region that is disconnected from the other serves its own keys', () => {
  const fleet = startFleet()
  for (const inside of [0, 1, 2, 3]) for (const outside of [4, 5]) fleet.cutLinks.add(`${inside}>${outside}`).add(`${outside}>${inside}`)
  for (const cut of [4, 5]) fleet.cutLinks.add(`${cut}>log`)
  fleet.advance(60_000)
  assert.equal(completedShare(fleet, 'a'), 1)
  assert.equal(completedShare(fleet, 'b'), 1)
  fleet.send(0, freshKey(fleet, 'b'))
  fleet.advance(500)
  const answer = lastAnswer(fleet)
  assert.ok(answer?.kind === 'refused' && answer.refusal.kind === 'key-owner-unreachable' && answer.refusal.outcome === 'unknown')
})

// Guards against a resend that runs again or is not answered.
test('resends wait and get the same response', () => {
  const fleet = startFleet()
  const text = freshKey(fleet)
  for (const entry of [0, 1, 2, 3, 4]) fleet.send(entry, text)
  fleet.advance(1_000)
  fleet.send(5, text)
  fleet.advance(1_000)
  assert.deepEqual(fleet.answers.map(({ answer }) => answer.kind), Array<string>(6).fill('complete'))
  assert.equal(fleet.dispatchCounts.get(text), 1)
  fleet.send(2, text, 'other content')
  fleet.advance(1_000)
  const answer = lastAnswer(fleet)
  assert.ok(answer?.kind === 'refused' && answer.refusal.kind === 'key-content-mismatch')
})

// Guards against refusing callers whose clocks are slightly ahead, and against unlimited waits.
test('a key ahead of the promises waits at most 1 s', () => {
  const fleet = startFleet()
  fleet.send(0, freshKey(fleet, 'a', 4_900))
  fleet.send(0, freshKey(fleet, 'a', 60_000))
  fleet.advance(1_300)
  assert.deepEqual(fleet.answers.map(({ answer }) => answer.kind === 'refused' ? answer.refusal.kind : 'complete'), ['complete', 'key-owner-uncertain'])
})

// Guards against a stopping owner that exits while it still owns keys.
test('a stopping node may exit after the next roster version starts', () => {
  const fleet = startFleet()
  fleet.drain(2)
  fleet.advance(4_000)
  assert.equal(completedShare(fleet, 'a'), 1)
  assert.equal(fleet.slot(2).node.board.keys.mayLeave, false)
  fleet.advance(8_000)
  assert.equal(fleet.slot(2).node.board.keys.mayLeave, true)
  fleet.crash(2)
  assert.equal(completedShare(fleet, 'a'), 1)
})

// Guards against a permanent outage when all witnesses restart at once, so that no node remembers their promises.
test('a region recovers when all its nodes restart', () => {
  const fleet = startFleet()
  for (const index of fleet.slots.keys()) fleet.crash(index)
  fleet.advance(5_000)
  for (const index of fleet.slots.keys()) fleet.restart(index)
  fleet.advance(90_000)
  assert.equal(completedShare(fleet, 'a'), 1)
})

// Guards against diverging rosters: every reader must skip the same records.
test('records without a majority are skipped', () => {
  const fleet = startFleet()
  const { witnesses } = rosterOf(fleet, 0).latest.promises
  const change: RosterRecords.RosterChange = { kind: 'change', region: 'a', base: 0, joins: [], removals: [], witnesses: [...witnesses], signatures: ['n0', 'n0', 'n1'] }
  const bodies = ['not JSON', JSON.stringify(change), JSON.stringify({ ...change, base: 7 }), JSON.stringify({ ...change, witnesses: [] })]
  for (const body of bodies) fleet.log.push({ offset: fleet.log.length, appendedAt: fleet.log[0]?.appendedAt ?? assert.fail(), body })
  fleet.advance(5_000)
  assert.deepEqual([0, 1, 2, 3, 4, 5].map(index => rosterOf(fleet, index).version), Array<number>(6).fill(0))
  assert.equal(completedShare(fleet, 'a'), 1)
})

// Guards against a reader that cannot rebuild the roster from a log that has dropped its first records.
test('a node that starts late reads from a snapshot', () => {
  const fleet = startFleet()
  fleet.retention = 60_000
  fleet.crash(1)
  fleet.advance(40_000)
  assert.ok(fleet.log.some(({ body }) => RosterRecords.parse(body)?.kind === 'snapshot'))
  fleet.advance(70_000)
  fleet.restart(1)
  fleet.advance(45_000)
  assert.deepEqual(rosterOf(fleet, 1).members().map(member => member.node).sort(), ['n0', 'n1', 'n2', 'n3'])
  assert.equal(completedShare(fleet, 'a'), 1)
})
