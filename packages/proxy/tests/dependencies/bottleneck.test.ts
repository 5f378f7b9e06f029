import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import type * as Decisions from '@jasminedale/decisions'
import * as Bottlenecks from '../support/bottleneck.js'

const BURST_BEGINS = 10_000
const BURST_ENDS = 22_000
const USUAL = 0.6

/** Calls ask for `burst` times the slots of the called service during the burst. */
function burstOf (burst: number, calledHosts: number, directRate: number): Pick<Bottlenecks.LoadSettings, 'parentRate' | 'directRate' | 'calledHosts'> {
  const parentsForAllSlots = calledHosts * 8 / (0.7 * 2 * 0.2)
  return { calledHosts, directRate: () => directRate, parentRate: now => parentsForAllSlots * (now >= BURST_BEGINS && now < BURST_ENDS ? burst : USUAL) }
}

function describe (counts: Bottlenecks.Counts): string {
  return JSON.stringify(counts)
}

// Guards against parents that fail after work: without thinning a third of those started in this burst lose a call.
for (const [name, parentHosts, calledHosts] of [['49 hosts call a service of 6', 49, 6], ['31 hosts call a service of 9', 31, 9]] as const) {
  for (const burst of [1.2, 1.7]) {
    test(`started parents finish and the called service stays busy, burst to ${burst}, ${name}`, () => {
      const load = new Bottlenecks.BottleneckLoad({ parentHosts, isThinned: true, ...burstOf(burst, calledHosts, 1.9 * calledHosts) })
      assert.equal(load.runUntil(BURST_BEGINS).failed, 0)
      const onset = load.runUntil(BURST_BEGINS + 2_000)
      const counts = load.runUntil(BURST_ENDS)
      assert.ok(onset.failed + counts.failed <= 0.01 * (onset.started + counts.started), `failed: ${describe(counts)}`)
      assert.ok(counts.utilization > 0.92, `utilization: ${describe(counts)}`)
      assert.ok(counts.started < counts.offered, describe(counts))
      assert.ok(counts.directFinished > 0.6 * counts.direct, `direct: ${describe(counts)}`)
      load.runUntil(BURST_ENDS + 4_000)
      assert.ok(load.fraction > 0.98, `fraction after the burst: ${load.fraction}`)
      const after = load.runUntil(BURST_ENDS + 10_000)
      assert.equal(after.started, after.offered)
    })
  }
}

// Guards against a replay that shows nothing: the same load without thinning must fail parents.
test('without thinning parents fail in the burst', () => {
  const load = new Bottlenecks.BottleneckLoad({ parentHosts: 49, isThinned: false, ...burstOf(1.7, 6, 11.4) })
  load.runUntil(BURST_BEGINS + 2_000)
  const counts = load.runUntil(BURST_ENDS)
  assert.ok(counts.failed > 0.2 * counts.started, describe(counts))
})

// Guards against direct requests that calls displace: they are to get a fifth of the slots when they ask for more.
test('direct requests are not starved', () => {
  const load = new Bottlenecks.BottleneckLoad({ parentHosts: 49, isThinned: true, ...burstOf(1.7, 6, 30) })
  load.runUntil(BURST_BEGINS + 2_000)
  const counts = load.runUntil(BURST_ENDS)
  const slotSeconds = 48 * (BURST_ENDS - BURST_BEGINS - 2_000) / 1_000
  assert.ok(counts.directFinished * 0.63 > 0.2 * slotSeconds, describe(counts))
  assert.ok(counts.failed <= 0.01 * counts.started, describe(counts))
})

// Guards against an account with several times the rate of the others that takes their admissions (R7).
test('account with ten times the rate is thinned first', () => {
  const account = (random: Decisions.Random.Random): string => random.fraction() < 1 / 3 ? 'large' : `small${Math.floor(20 * random.fraction())}`
  const load = new Bottlenecks.BottleneckLoad({ parentHosts: 49, isThinned: true, ...burstOf(1.7, 6, 11.4), account })
  load.runUntil(BURST_BEGINS + 2_000)
  load.accounts.clear()
  load.runUntil(BURST_ENDS)
  const admitted = new Map([...load.accounts].map(([name, { offered, started }]) => [name, started / offered]))
  const small = [...admitted].filter(([name]) => name !== 'large').map(([, share]) => share)
  const mean = small.reduce((sum, share) => sum + share, 0) / small.length
  assert.ok(mean > 2.5 * (admitted.get('large') ?? 1), `small ${mean}, large ${admitted.get('large')}`)
})

// Guards against parents that stay refused when the reports stop, and against failures for more than a moment when they return.
test('reports stop for four seconds of a burst', () => {
  const isCut = (now: number): boolean => now >= 14_000 && now < 18_000
  const load = new Bottlenecks.BottleneckLoad({ parentHosts: 49, isThinned: true, ...burstOf(1.7, 6, 11.4), reportsArrive: now => !isCut(now) })
  load.runUntil(14_000)
  load.runUntil(17_500)
  const fractionWithoutReports = load.fraction
  assert.equal(fractionWithoutReports, 1)
  load.runUntil(20_000)
  const counts = load.runUntil(BURST_ENDS)
  assert.ok(load.fraction < 0.75, `fraction ${load.fraction}`)
  assert.ok(counts.failed < 0.1 * counts.started, describe(counts))
})

// Guards against a restarted host, which has learned nothing, that lets the other hosts drown or stops all admissions.
test('host of the called service restarts in a burst', () => {
  const load = new Bottlenecks.BottleneckLoad({ parentHosts: 49, isThinned: true, ...burstOf(1.7, 6, 11.4) })
  load.runUntil(16_000)
  load.called[0]?.restart()
  const counts = load.runUntil(BURST_ENDS)
  assert.ok(counts.failed <= 0.02 * counts.started, describe(counts))
  assert.ok(counts.utilization > 0.9, describe(counts))
})

// Guards against failed parents and idle slots when one host of the called service becomes six times slower and 3 in 100 of its requests take seven times as long (R8).
test('host of the called service becomes slow in a burst', () => {
  const load = new Bottlenecks.BottleneckLoad({ parentHosts: 49, isThinned: true, longShare: 0.03, ...burstOf(1.7, 6, 11.4) })
  load.runUntil(BURST_BEGINS + 2_000)
  for (const host of load.called.slice(0, 1)) host.slowness = 6
  const counts = load.runUntil(BURST_ENDS)
  assert.ok(counts.failed <= 0.02 * counts.started, describe(counts))
  assert.ok(counts.utilization > 0.85, describe(counts))
  assert.ok(counts.directFinished > 0.3 * counts.direct, describe(counts))
  load.runUntil(BURST_ENDS + 8_000)
  assert.ok(load.fraction > 0.9, `fraction after the burst: ${load.fraction}`)
})
