import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as RetryBudgets from '../../src/entry/retry-budget.js'
import * as Samples from '../support/samples.js'

const at = Decisions.Clock.milliseconds
const TERMS: RetryBudgets.RetryBudgetSettings = { window: Decisions.Clock.seconds(10), ratio: 0.2, slack: 60 }
const NODES = 30

// Guards against retries that multiply an overload: the sum over all nodes must stay within the users' formula.
test('repeats of a window stay within the allowance', () => {
  const budget = new RetryBudgets.RetryBudget(TERMS)
  const taken: number[] = []
  for (let now = 0; now < 60_000; now += 20) {
    budget.first(Samples.SERVICE, at(now))
    if (budget.take(Samples.SERVICE, NODES, at(now))) taken.push(now)
  }
  for (let start = 0; start < 50_000; start += 100) {
    const repeats = taken.filter(time => time >= start && time < start + 10_000).length
    assert.ok(repeats <= 0.2 * 500 + TERMS.slack / NODES, `${repeats} repeats from ${start}`)
  }
})

test('quiet node may repeat once', () => {
  const budget = new RetryBudgets.RetryBudget(TERMS)
  budget.first(Samples.SERVICE, at(0))
  assert.equal(budget.take(Samples.SERVICE, NODES, at(1)), true)
  assert.equal(budget.take(Samples.SERVICE, NODES, at(2)), false)
})
