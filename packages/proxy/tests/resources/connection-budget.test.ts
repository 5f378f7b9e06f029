import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as FastCheck from 'fast-check'
import * as ConnectionBudgets from '../../src/resources/connection-budget.js'

const LIMIT = 6
const SEED = 36
const milliseconds = Decisions.Clock.milliseconds
const ACTIVITIES = ['idle', 'transferring', 'running'] as const

class Connection extends ConnectionBudgets.Connection {
  override headBytes = 0

  constructor (override lastProgressAt: Decisions.Clock.Milliseconds, override activity: ConnectionBudgets.Activity) {
    super()
  }
}

// Guards against more connections than the process has descriptors, and against a connection closed over a request that runs.
test('connections stay within the limit, and none with a running request is closed', () => {
  const event = FastCheck.tuple(FastCheck.constantFrom('add', 'add', 'change', 'remove'), FastCheck.nat({ max: 10_000 }))
  FastCheck.assert(FastCheck.property(FastCheck.array(event, { maxLength: 120 }), events => {
    const budget = new ConnectionBudgets.ConnectionBudget<Connection>(LIMIT)
    let now = milliseconds(0)
    for (const [kind, choice] of events) {
      now = milliseconds(now + choice % 900)
      const members = [...budget.all]
      const member = members[choice % Math.max(1, members.length)]
      if (kind === 'change' && member !== undefined) member.activity = ACTIVITIES[choice % ACTIVITIES.length] ?? 'idle'
      if (kind === 'remove' && member !== undefined) budget.remove(member)
      if (kind !== 'add') continue
      const added = new Connection(now, 'idle')
      budget.add(added)
      const victim = budget.choose(added, now)
      if (victim !== undefined) {
        assert.notEqual(victim.activity, 'running')
        budget.remove(victim)
      }
      assert.ok(budget.size <= LIMIT)
    }
  }), { seed: SEED, numRuns: 500 })
})

function budgetOf (...members: readonly Connection[]): ConnectionBudgets.ConnectionBudget<Connection> {
  const budget = new ConnectionBudgets.ConnectionBudget<Connection>(members.length - 1)
  for (const member of members) budget.add(member)
  return budget
}

// Guards against connections in use that are closed while idle ones stay.
test('longest idle connection goes first, then the longest stalled one, then the newest', () => {
  const [now, newest] = [milliseconds(5_000), new Connection(milliseconds(5_000), 'idle')]
  const [idle, idler] = [new Connection(milliseconds(3_000), 'idle'), new Connection(milliseconds(2_500), 'idle')]
  const [stalled, moving] = [new Connection(milliseconds(3_500), 'transferring'), new Connection(milliseconds(4_500), 'transferring')]
  const running = new Connection(milliseconds(0), 'running')
  assert.equal(budgetOf(running, stalled, idle, idler, newest).choose(newest, now), idler)
  assert.equal(budgetOf(running, moving, stalled, newest).choose(newest, now), stalled)
  assert.equal(budgetOf(running, moving, newest).choose(newest, now), newest)
})

// Guards against heads that never end and together take more memory than the process has.
test('unfinished heads that take too much are closed, the longest stalled first', () => {
  const heads = [4_000, 1_000, 2_000, 3_000].map((time, index) => Object.assign(new Connection(milliseconds(time), 'idle'), { headBytes: 10_000 + index }))
  const budget = budgetOf(...heads, new Connection(milliseconds(0), 'running'))
  assert.deepEqual(budget.chooseHeads(25_000), [heads[1], heads[2]])
  assert.deepEqual(budget.chooseHeads(50_000), [])
})
