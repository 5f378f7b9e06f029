import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as FastCheck from 'fast-check'
import * as Decisions from '@jasminedale/decisions'
import * as Costs from '../../src/routing/costs.js'
import * as RetryBudgets from '../../src/routing/retry-budget.js'
import * as EngineHarnesses from '../engine-harness.js'

const RATIO = 0.1
const SPAN = 10_000

// Guards against retry storms: bursts within 10 s, and a minimum per service that adds up over time.
test('retries stay within the budget of any 10 s and of the whole time', () => {
  const step = FastCheck.record({ pause: FastCheck.integer({ min: 0, max: 12_000 }), firsts: FastCheck.constantFrom(0, 0, 1, 3, 40), wanted: FastCheck.integer({ min: 0, max: 20 }) })
  FastCheck.assert(FastCheck.property(FastCheck.array(step, { maxLength: 60 }), steps => {
    const budgets = new RetryBudgets.RetryBudgets()
    const service = Decisions.Ids.service('accounts')
    const [firsts, retries]: [number[], number[]] = [[], []]
    let now = 0
    for (const { pause, firsts: count, wanted } of steps) {
      now += pause
      const at = Decisions.Clock.milliseconds(now)
      for (let index = 0; index < count; index++) { budgets.recordFirstAttempt(service, at, RATIO); firsts.push(now) }
      for (let index = 0; index < wanted; index++) {
        if (!budgets.takeRetry(service, at, RATIO)) continue
        retries.push(now)
        const recent = (times: readonly number[]): number => times.filter(time => time > now - SPAN).length
        assert.ok(recent(retries) <= Math.max(1, RATIO * recent(firsts)) + 1e-9)
        assert.ok(retries.length <= 1 + RATIO * firsts.length + 1e-9)
      }
    }
  }), { seed: 5, numRuns: 200 })
})

// Guards against latencies that only this node observes taking more capacity out of use than the floor allows.
test('at most 1 - floor of the targets look far slower than the median', () => {
  const latencies = FastCheck.array(FastCheck.integer({ min: 1, max: 10_000 }), { minLength: 1, maxLength: 12 })
  FastCheck.assert(FastCheck.property(latencies, FastCheck.constantFrom(0.5, 0.7, 0.9, 1), (values, floor) => {
    const harness = new EngineHarnesses.EngineHarness()
    const { board } = harness.engine
    const now = Decisions.Clock.milliseconds(harness.now)
    values.forEach((latency, index) => {
      harness.addRemoteTarget(`t${index}`)
      board.requests.estimates.recordResponse(Decisions.Ids.targetId(`t${index}`), Decisions.Clock.milliseconds(latency), now)
    })
    const context = { board, now, random: new Decisions.Random.Random(1), emit: () => undefined, raise: () => undefined, record: () => undefined, freshId: () => '' }
    const costs = Costs.targetCosts(board.targets.ofService(EngineHarnesses.SERVICE), floor, context).map(option => option.cost)
    const median = [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
    const excluded = costs.filter(cost => cost > 3 * median * (1 + 1e-9)).length
    assert.ok(excluded <= (1 - floor) * values.length + 1e-9, `${excluded} of ${values.length}`)
  }), { seed: 6, numRuns: 300 })
})
