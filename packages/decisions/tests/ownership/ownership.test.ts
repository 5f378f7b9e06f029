import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Ids from '../../src/core/ids.js'
import * as Records from '../../src/ownership/roster-record.js'
import * as Fleets from './fleet.js'

const SIX = ['a/a1', 'a/a1', 'a/a2', 'a/a2', 'b/b1', 'b/b2']
const HOUR = 3_600_000

let made = 0
function key (fleet: Fleets.Fleet, region = 'a', ahead = 0): string {
  made += 1
  return `${region}.${fleet.now + ahead}-${made}`
}

function founded (options: Partial<Fleets.FleetOptions> = {}): Fleets.Fleet {
  const fleet = new Fleets.Fleet({ places: SIX, completionRate: 1, ...options })
  fleet.advance(10_000)
  return fleet
}

/** Fraction of fresh keys that complete when every running node of the region sends some. */
function served (fleet: Fleets.Fleet, region: string): number {
  const first = fleet.answers.length
  for (let round = 0; round < 20; round += 1) {
    for (const [index, slot] of fleet.slots.entries()) if (slot.up && slot.node.identity.region === region) fleet.send(index, key(fleet, region))
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

function last (fleet: Fleets.Fleet): Fleets.Answer | undefined {
  return fleet.answers.at(-1)?.answer
}

// Guards against a fleet that is safe because it serves nothing, and against losing sight of the other region.
test('fresh keys of each region are served', () => {
  const fleet = founded()
  assert.equal(served(fleet, 'a'), 1)
  assert.equal(served(fleet, 'b'), 1)
  fleet.send(0, key(fleet, 'b'))
  fleet.send(5, key(fleet).slice(2))
  fleet.advance(500)
  assert.deepEqual(fleet.answers.slice(-2).map(({ answer }) => answer.kind), ['complete', 'complete'])
})

// Guards against a lost owner whose share of the keys stays unserved.
test('keys are served 10 s after an owner crashed', () => {
  const fleet = founded()
  fleet.crash(1)
  fleet.advance(10_000)
  assert.equal(served(fleet, 'a'), 1)
})

// Guards against promises that depend on the log, also when the reply to an append was lost as the outage began.
test('keys are served in a log outage of 6 hours', () => {
  const fleet = founded({ places: ['a/a1', 'a/a1', 'a/a2'] })
  fleet.crash(2)
  fleet.appendFault = 'reply-lost'
  for (let step = 0; step < 80 && fleet.log.length < 2; step += 1) fleet.advance(100)
  fleet.logUp = false
  assert.deepEqual([fleet.log.length, rosterOf(fleet, 0).version], [2, 0])
  for (let hour = 0; hour < 6; hour += 1) {
    fleet.tickInterval = 2_000
    fleet.advance(HOUR)
    fleet.tickInterval = 100
    fleet.advance(2_000)
    assert.ok(served(fleet, 'a') > 0.5)
  }
  fleet.logUp = true
  fleet.advance(15_000)
  assert.equal(served(fleet, 'a'), 1)
})

// Guards against a witness in the other region that is needed, and against "not run" across the cut.
test('a cut region serves its own keys', () => {
  const fleet = founded()
  for (const inside of [0, 1, 2, 3]) for (const outside of [4, 5]) fleet.cuts.add(`${inside}>${outside}`).add(`${outside}>${inside}`)
  for (const cut of [4, 5]) fleet.cuts.add(`${cut}>log`)
  fleet.advance(60_000)
  assert.equal(served(fleet, 'a'), 1)
  assert.equal(served(fleet, 'b'), 1)
  fleet.send(0, key(fleet, 'b'))
  fleet.advance(500)
  const answer = last(fleet)
  assert.ok(answer?.kind === 'refused' && answer.refusal.kind === 'key-owner-unreachable' && answer.refusal.outcome === 'unknown')
})

// Guards against a second run, and against a resend that gets no answer of its own.
test('resends wait and get the same response', () => {
  const fleet = founded()
  const text = key(fleet)
  for (const entry of [0, 1, 2, 3, 4]) fleet.send(entry, text)
  fleet.advance(1_000)
  fleet.send(5, text)
  fleet.advance(1_000)
  assert.deepEqual(fleet.answers.map(({ answer }) => answer.kind), Array<string>(6).fill('complete'))
  assert.equal(fleet.dispatches.get(text), 1)
  fleet.send(2, text, 'other content')
  fleet.advance(1_000)
  const answer = last(fleet)
  assert.ok(answer?.kind === 'refused' && answer.refusal.kind === 'key-content-mismatch')
})

// Guards against early answers for callers whose clocks are ahead, and against waits without end.
test('a key ahead of the promises waits at most 1 s', () => {
  const fleet = founded()
  fleet.send(0, key(fleet, 'a', 4_900))
  fleet.send(0, key(fleet, 'a', 60_000))
  fleet.advance(1_300)
  assert.deepEqual(fleet.answers.map(({ answer }) => answer.kind === 'refused' ? answer.refusal.kind : 'complete'), ['complete', 'key-owner-uncertain'])
})

// Guards against a stopping owner that ends while it still owns keys.
test('a stopping node is released by the next roster', () => {
  const fleet = founded()
  fleet.drain(2)
  fleet.advance(4_000)
  assert.equal(served(fleet, 'a'), 1)
  assert.equal(fleet.slot(2).node.board.keys.mayLeave, false)
  fleet.advance(8_000)
  assert.equal(fleet.slot(2).node.board.keys.mayLeave, true)
  fleet.crash(2)
  assert.equal(served(fleet, 'a'), 1)
})

// Guards against the end of service when all witnesses restart at once: nobody remembers their promises.
test('a region recovers when all its nodes restart', () => {
  const fleet = founded()
  for (const index of fleet.slots.keys()) fleet.crash(index)
  fleet.advance(5_000)
  for (const index of fleet.slots.keys()) fleet.restart(index)
  fleet.advance(90_000)
  assert.equal(served(fleet, 'a'), 1)
})

// Guards against records that nodes judge differently: every reader must skip the same ones.
test('records without a majority are skipped', () => {
  const fleet = founded()
  const { witnesses } = rosterOf(fleet, 0).latest.promises
  const change: Records.Change = { kind: 'change', region: 'a', base: 0, joins: [], removals: [], witnesses: [...witnesses], signatures: ['n0', 'n0', 'n1'] }
  const bodies = ['not JSON', JSON.stringify(change), JSON.stringify({ ...change, base: 7 }), JSON.stringify({ ...change, witnesses: [] })]
  for (const body of bodies) fleet.log.push({ offset: fleet.log.length, appendedAt: fleet.log[0]?.appendedAt ?? assert.fail(), body })
  fleet.advance(5_000)
  assert.deepEqual([0, 1, 2, 3, 4, 5].map(index => rosterOf(fleet, index).version), Array<number>(6).fill(0))
  assert.equal(served(fleet, 'a'), 1)
})

// Guards against a reader that cannot follow a log whose first records are gone.
test('a node that starts late reads from a snapshot', () => {
  const fleet = founded()
  fleet.retention = 60_000
  fleet.crash(1)
  fleet.advance(40_000)
  assert.ok(fleet.log.some(({ body }) => Records.parse(body)?.kind === 'snapshot'))
  fleet.advance(70_000)
  fleet.restart(1)
  fleet.advance(45_000)
  assert.deepEqual(rosterOf(fleet, 1).members().map(member => member.node).sort(), ['n0', 'n1', 'n2', 'n3'])
  assert.equal(served(fleet, 'a'), 1)
})
