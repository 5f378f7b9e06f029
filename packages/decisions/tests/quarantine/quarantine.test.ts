import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Ids from '../../src/core/ids.js'
import * as Fleets from '../ownership/fleet.js'

const MINUTE = 60_000

function createFleet (nodes: number): Fleets.Fleet {
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

function countBlockingNodes (fleet: Fleets.Fleet, content: string): number {
  return fleet.slots.filter(({ node, clockOffset }) => node.board.crashes.isBlocked(Ids.signature(content), fleet.now + clockOffset as never)).length
}

/** Kind and outcome of the refusal of a request, or `runs`. */
function outcome (fleet: Fleets.Fleet, index: number, content: string, key = ''): string {
  const before = fleet.answers.length
  fleet.send(index, key, content)
  fleet.advance(100)
  const answer = fleet.answers.slice(before).at(-1)?.answer
  return answer?.kind === 'refused' ? `${answer.refusal.kind} ${answer.refusal.outcome}` : 'runs'
}

// Guards against a request that crashes one backend server after another.
test('a request is blocked on all nodes after two crashes', () => {
  const fleet = createFleet(40)
  crashWith(fleet, 0, ['crashing-request'])
  assert.equal(countBlockingNodes(fleet, 'crashing-request'), 0)
  crashWith(fleet, 1, ['crashing-request'])
  assert.equal(countBlockingNodes(fleet, 'crashing-request'), 40)
  assert.equal(outcome(fleet, 7, 'crashing-request'), 'request-blocked not-run')
  assert.equal(outcome(fleet, 7, 'crashing-request', `a.${fleet.now}-k`), 'request-blocked unknown')
  assert.equal(outcome(fleet, 7, 'another'), 'runs')
  fleet.restart(9)
  fleet.advance(3_000)
  assert.equal(countBlockingNodes(fleet, 'crashing-request'), 40)
})

// Guards against counting one crash more than once.
test('requests lost at one crash are not blocked', () => {
  const fleet = createFleet(4)
  crashWith(fleet, 0, ['crashing-request', 'crashing-request', 'harmless-request'])
  assert.equal(countBlockingNodes(fleet, 'crashing-request') + countBlockingNodes(fleet, 'harmless-request'), 0)
})

// Guards against blocking frequent requests that only happened to be in flight at the crashes.
test('a completion clears a request that did not cause the crash', () => {
  const fleet = createFleet(10)
  crashWith(fleet, 0, ['crashing-request', 'harmless-request'])
  fleet.send(3, '', 'harmless-request')
  fleet.advance(200)
  fleet.endRunningRequests(3, false)
  fleet.advance(2_000)
  crashWith(fleet, 1, ['crashing-request', 'harmless-request'])
  assert.deepEqual([countBlockingNodes(fleet, 'crashing-request'), countBlockingNodes(fleet, 'harmless-request')], [10, 0])
})

// Guards against a block that repeated requests renew without limit, and against one that ends although they repeat.
test('a block is renewed but ends', () => {
  const fleet = createFleet(4)
  crashWith(fleet, 0, ['crashing-request'])
  crashWith(fleet, 1, ['crashing-request'])
  fleet.tickInterval = 1_000
  const blockedAt = fleet.now
  for (let minute = 0; minute < 24; minute += 2) {
    assert.equal(outcome(fleet, minute % 4, 'crashing-request'), 'request-blocked not-run')
    fleet.advance(2 * MINUTE)
  }
  while (outcome(fleet, 2, 'crashing-request') !== 'runs' && fleet.now < blockedAt + 40 * MINUTE) fleet.advance(MINUTE)
  assert.ok(fleet.now < blockedAt + 40 * MINUTE)
  fleet.advance(1_000)
  fleet.endRunningRequests(2, true)
  fleet.advance(3_000)
  assert.equal(countBlockingNodes(fleet, 'crashing-request'), 4)
})
