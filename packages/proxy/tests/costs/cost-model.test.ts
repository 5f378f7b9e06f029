import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as CostTables from '../../src/costs/cost-table.js'
import * as RemainingWork from '../../src/costs/remaining-work.js'
import * as RunningWorks from '../../src/costs/running-work.js'
import * as ServiceCosts from '../../src/costs/service-costs.js'
import * as Slowness from '../../src/costs/slowness.js'

const at = Decisions.Clock.milliseconds
const SERVICE = Decisions.Ids.service('narrow')

function key (route: string, sizeClass = 0, account?: string): CostTables.CostKey {
  return { route, sizeClass, account: account === undefined ? undefined : Decisions.Ids.account(account) }
}

/** Factor of a single service time: log-normal, and 7 times as long for 3 in 100. */
function scatter (random: Decisions.Random.Random): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction())
  return Math.exp(0.3 * normal) * (random.fraction() < 0.03 ? 7 : 1)
}

function assertNear (actual: number, expected: number, tolerance: number): void {
  assert.ok(Math.abs(actual / expected - 1) <= tolerance, `${actual} instead of ${expected}`)
}

// Guards against an estimate of zero or none for a route that nobody has seen.
test('unknown route costs the mean of the others', () => {
  const table = new CostTables.CostTable()
  assert.equal(table.expected(key('new'), at(0)), 150)
  for (let index = 0; index < 40; index += 1) table.learn(key('known'), 600, at(index))
  assertNear(table.expected(key('new'), at(40)), 600, 0.1)
})

// Guards against one long request that makes its route expensive.
test('heavy tail does not upset the estimate', () => {
  const random = new Decisions.Random.Random(5)
  const table = new CostTables.CostTable()
  for (let index = 0; index < 2_000; index += 1) {
    table.learn(key('short'), 200 * scatter(random), at(index))
    table.learn(key('long'), 650 * scatter(random), at(index))
    if (index < 50) continue
    const [short, long] = [table.expected(key('short'), at(index)), table.expected(key('long'), at(index))]
    assert.ok(short > 150 && short < 380 && long > 480 && long < 1_250, `${index}: ${short} and ${long}`)
  }
})

// Guards against an estimate by route alone where size or account decides, and against one that follows chance.
test('size and account refine the estimate as far as they explain it', () => {
  const random = new Decisions.Random.Random(6)
  const table = new CostTables.CostTable()
  for (let index = 0; index < 600; index += 1) {
    const isLarge = index % 2 === 0
    const isHeavy = index % 3 === 0
    table.learn(key('r', isLarge ? 18 : 6, isHeavy ? 'heavy' : 'light'), 100 * (isLarge ? 4 : 1) * (isHeavy ? 2 : 1) * scatter(random), at(index))
  }
  const [large, small] = [table.expected(key('r', 18, 'light'), at(600)), table.expected(key('r', 6, 'light'), at(600))]
  assert.ok(large / small > 2.5, `${large} and ${small}`)
  const heavy = table.expected(key('r', 18, 'heavy'), at(600))
  assert.ok(heavy / large > 1.4, `${heavy} and ${large}`)
  const uniform = new CostTables.CostTable()
  for (let index = 0; index < 600; index += 1) uniform.learn(key('r', index % 8), 200 * scatter(random), at(index))
  for (let size = 0; size < 8; size += 1) assertNear(uniform.expected(key('r', size), at(600)), uniform.expected(key('r', 20), at(600)), 0.3)
})

// Guards against a finer class that decides after a single sample.
test('single sample of an account does not decide', () => {
  const table = new CostTables.CostTable()
  for (let index = 0; index < 100; index += 1) table.learn(key('r', 0, 'a'), index % 2 === 0 ? 150 : 250, at(index))
  table.learn(key('r', 0, 'b'), 1_400, at(101))
  assert.ok(table.expected(key('r', 0, 'b'), at(101)) < 700)
  assert.ok(table.estimate(key('r', 0, 'a'), at(101)).deviation > 20)
})

// Guards against estimates that stay in force after the samples behind them are long gone.
test('old samples lose their weight', () => {
  const table = new CostTables.CostTable()
  for (let index = 0; index < 50; index += 1) table.learn(key('old'), 1_000, at(index))
  for (let index = 0; index < 100; index += 1) table.learn(key('other'), 100, at(600_000 + index))
  assert.ok(table.expected(key('old'), at(600_100)) < 400)
})

/** Slowness that the hosts of the targets report after requests of several entries. */
function learnedSlowness (targets: readonly { readonly slowness: number, readonly longShare: number }[], requests: number): number[] {
  const random = new Decisions.Random.Random(7)
  const costs = new ServiceCosts.ServiceCosts()
  const measured = targets.map(() => new Slowness.Slowness())
  for (let index = 0; index < requests; index += 1) {
    const number = index % targets.length
    const [target, slowness] = [targets[number], measured[number]]
    if (target === undefined || slowness === undefined) continue
    const route = random.fraction() < target.longShare ? 'long' : 'short'
    const elapsed = (route === 'long' ? 650 : 200) * target.slowness * scatter(random)
    slowness.add(elapsed, costs.expected(SERVICE, key(route), at(index)))
    costs.learn(SERVICE, key(route), elapsed, slowness.ratio, at(index))
  }
  return measured.map(({ ratio }) => ratio)
}

// Guards against a target that counts as slow because its requests are expensive.
test('expensive mix is not a slow target', () => {
  const [expensive, cheap] = learnedSlowness([{ slowness: 1, longShare: 0.9 }, { slowness: 1, longShare: 0.1 }, { slowness: 1, longShare: 0.5 }], 3_000)
  assertNear((expensive ?? 0) / (cheap ?? 1), 1, 0.45)
})

// Guards against a slow target that is taken for one with expensive requests.
test('slow target is found whatever its mix', () => {
  for (const longShare of [0.1, 0.9]) {
    const [slow, ...others] = learnedSlowness([{ slowness: 6, longShare }, ...Array.from({ length: 5 }, () => ({ slowness: 1, longShare: 0.5 }))], 3_000)
    const mean = others.reduce((sum, value) => sum + value, 0) / others.length
    assert.ok((slow ?? 0) / mean > 3, `${slow ?? 0} against ${mean}`)
    assert.ok(mean > 0.5 && mean < 1.5, `average target ${mean}`)
  }
})

// Guards against costs and slowness that drift apart because only their product is measured.
test('slowness of a whole service returns to 1', () => {
  const ratios = learnedSlowness(Array.from({ length: 6 }, () => ({ slowness: 8, longShare: 0.5 })), 6_000)
  for (const ratio of ratios) assert.ok(ratio > 0.5 && ratio < 1.7, `${ratio}`)
})

// Guards against slow detection of a target that becomes 8 times slower.
test('target that becomes slower shows within ten requests', () => {
  const slowness = new Slowness.Slowness()
  for (let index = 0; index < 50; index += 1) slowness.add(200, 200)
  for (let index = 0; index < 10; index += 1) slowness.add(1_600, 200)
  assert.ok(slowness.ratio > 4, `${slowness.ratio}`)
})

// Guards against a request that has run far beyond its cost and counts as nearly done.
test('request that runs for long is expected to run on', () => {
  assertNear(RemainingWork.remainingWork(200, 0), 200 * 1.18, 0.02)
  assert.ok(RemainingWork.remainingWork(200, 180) < 110)
  assert.ok(RemainingWork.remainingWork(200, 600) > 500)
  assert.ok(RemainingWork.remainingWork(200, 5_000) > 190)
})

// Guards against a wait that a single long request prolongs although other slots become free.
test('first end is that of the ordinary requests', () => {
  const running = new RunningWorks.RunningWork()
  assert.equal(running.untilFirstEnd(at(0)), 0)
  for (let index = 0; index < 7; index += 1) running.start({ startedAt: at(1_000), cost: 200 })
  const long = { startedAt: at(0), cost: 200 }
  running.start(long)
  assert.ok(running.untilFirstEnd(at(1_050)) < 40)
  assert.ok(running.left(at(1_050)) > 7 * 150 + 200)
  running.end(long)
  assert.equal(running.size, 7)
})
