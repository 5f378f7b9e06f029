import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as RetryBudgets from '../../src/entry/retry-budget.js'
import * as Samples from '../support/samples.js'

const at = Decisions.Clock.milliseconds
const SETTINGS: RetryBudgets.RetryBudgetSettings = { window: Decisions.Clock.seconds(10), ratio: 0.2, slack: 60 }
const NODES = 30

// Guards against retries that amplify an overload: over all nodes, the retries of a window must not exceed the configured budget.
test('retries in a window stay within the budget', () => {
  const budget = new RetryBudgets.RetryBudget(() => SETTINGS)
  const taken: number[] = []
  for (let now = 0; now < 60_000; now += 20) {
    budget.recordRequest(Samples.SERVICE, at(now))
    if (budget.tryAcquire(Samples.SERVICE, NODES, at(now))) taken.push(now)
  }
  for (let start = 0; start < 50_000; start += 100) {
    const retries = taken.filter(time => time >= start && time < start + 10_000).length
    assert.ok(retries <= 0.2 * 500 + SETTINGS.slack / NODES, `${retries} retries from ${start}`)
  }
})

// Guards against a node with little traffic that may never retry, since its share of the budget is below one retry.
test('node with a single request may retry once', () => {
  const budget = new RetryBudgets.RetryBudget(() => SETTINGS)
  budget.recordRequest(Samples.SERVICE, at(0))
  assert.equal(budget.tryAcquire(Samples.SERVICE, NODES, at(1)), true)
  assert.equal(budget.tryAcquire(Samples.SERVICE, NODES, at(2)), false)
})
