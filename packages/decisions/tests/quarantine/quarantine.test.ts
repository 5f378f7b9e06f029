import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Ids from '../../src/core/ids.js'
import * as Fleets from '../ownership/fleet.js'

const MINUTE = 60_000

function fleetOf (nodes: number): Fleets.Fleet {
  const fleet = new Fleets.Fleet({ places: Array.from({ length: nodes }, (_, index) => `a/a${index % 2}`), completionRate: 1 })
  fleet.keepsRequestsRunning = true
  for (const index of fleet.slots.keys()) fleet.announceTarget(index)
  fleet.advance(500)
  return fleet
}

/** Runs the contents on a node's backend server until it crashes. */
function crashWith (fleet: Fleets.Fleet, index: number, contents: readonly string[]): void {
  for (const content of contents) fleet.send(index, '', content)
  fleet.advance(1_000)
  fleet.endRunningRequests(index, true)
  fleet.advance(2_000)
}

function blockedOn (fleet: Fleets.Fleet, content: string): number {
  return fleet.slots.filter(({ node, clockOffset }) => node.board.crashes.isBlocked(Ids.signature(content), fleet.now + clockOffset as never)).length
}

/** Outcome of the refusal that a request gets, or `runs`. */
function outcome (fleet: Fleets.Fleet, index: number, content: string, key = ''): string {
  const before = fleet.answers.length
  fleet.send(index, key, content)
  fleet.advance(100)
  const answer = fleet.answers.slice(before).at(-1)?.answer
  return answer?.kind === 'refused' ? `${answer.refusal.kind} ${answer.refusal.outcome}` : 'runs'
}

// Guards against a request that takes down one backend server after another.
test('a request is blocked on all nodes after two crashes', () => {
  const fleet = fleetOf(40)
  crashWith(fleet, 0, ['killer'])
  assert.equal(blockedOn(fleet, 'killer'), 0)
  crashWith(fleet, 1, ['killer'])
  assert.equal(blockedOn(fleet, 'killer'), 40)
  assert.equal(outcome(fleet, 7, 'killer'), 'request-blocked not-run')
  assert.equal(outcome(fleet, 7, 'killer', `a.${fleet.now}-k`), 'request-blocked unknown')
  assert.equal(outcome(fleet, 7, 'another'), 'runs')
  fleet.restart(9)
  fleet.advance(3_000)
  assert.equal(blockedOn(fleet, 'killer'), 40)
})

// Guards against two reports of one crash that count as two.
test('requests lost at one crash are not blocked', () => {
  const fleet = fleetOf(4)
  crashWith(fleet, 0, ['killer', 'killer', 'bystander'])
  assert.equal(blockedOn(fleet, 'killer') + blockedOn(fleet, 'bystander'), 0)
})

// Guards against the blocking of popular requests that only happened to be in flight.
test('a completion clears a bystander', () => {
  const fleet = fleetOf(10)
  crashWith(fleet, 0, ['killer', 'bystander'])
  fleet.send(3, '', 'bystander')
  fleet.advance(200)
  fleet.endRunningRequests(3, false)
  fleet.advance(2_000)
  crashWith(fleet, 1, ['killer', 'bystander'])
  assert.deepEqual([blockedOn(fleet, 'killer'), blockedOn(fleet, 'bystander')], [10, 0])
})

// Guards against a block that repeats keep alive for ever, and against one that ends while repeats arrive.
test('a block is renewed but ends', () => {
  const fleet = fleetOf(4)
  crashWith(fleet, 0, ['killer'])
  crashWith(fleet, 1, ['killer'])
  fleet.tickInterval = 1_000
  const blockedAt = fleet.now
  for (let minute = 0; minute < 24; minute += 2) {
    assert.equal(outcome(fleet, minute % 4, 'killer'), 'request-blocked not-run')
    fleet.advance(2 * MINUTE)
  }
  while (outcome(fleet, 2, 'killer') !== 'runs' && fleet.now < blockedAt + 40 * MINUTE) fleet.advance(MINUTE)
  assert.ok(fleet.now < blockedAt + 40 * MINUTE)
  fleet.advance(1_000)
  fleet.endRunningRequests(2, true)
  fleet.advance(3_000)
  assert.equal(blockedOn(fleet, 'killer'), 4)
})
