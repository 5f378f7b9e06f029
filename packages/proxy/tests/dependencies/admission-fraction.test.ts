import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as AdmissionFractions from '../../src/dependencies/admission-fraction.js'

const CAPACITY = { slots: 8, rate: undefined }
const CALL_MS = 200

interface Arrivals { readonly perSecond: number, readonly isCall?: boolean, readonly cost?: number, readonly senderFraction?: number }

class HostLoad {
  readonly demand = new AdmissionFractions.AdmissionFraction()
  readonly fractions: number[] = []
  private readonly random: Decisions.Random.Random
  private time = 0

  constructor (seed = 11) {
    this.random = new Decisions.Random.Random(seed)
    for (let run = 0; run < 100; run += 1) this.demand.recordRun(true, CALL_MS)
  }

  get now (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(this.time)
  }

  /** Poisson arrivals, with the fraction recorded every 100 ms. */
  run (duration: number, arrivals: readonly Arrivals[], capacity: AdmissionFractions.Capacity = CAPACITY): number {
    this.fractions.length = 0
    for (const end = this.time + duration; this.time < end; this.time += 1) {
      for (const { perSecond, isCall = true, cost = CALL_MS, senderFraction = 1 } of arrivals) {
        if (this.random.fraction() * 1_000 >= perSecond) continue
        this.demand.recordRun(isCall, cost)
        this.demand.recordOffer({ isCall, senderFraction }, false, this.now)
      }
      if (this.time % 100 === 0) this.fractions.push(this.demand.current(capacity, this.now))
    }
    return this.demand.current(capacity, this.now)
  }

  get mean (): number {
    return this.fractions.reduce((sum, fraction) => sum + fraction, 0) / this.fractions.length
  }

  get deviation (): number {
    const { mean } = this
    return Math.sqrt(this.fractions.reduce((sum, fraction) => sum + (fraction - mean) ** 2, 0) / this.fractions.length)
  }
}

// Guards against refusals of parents while the called service has room.
test('fraction is at least 1 while calls fit', () => {
  const load = new HostLoad()
  assert.equal(load.demand.current(CAPACITY, load.now), AdmissionFractions.FRACTION_MAXIMUM)
  load.run(20_000, [{ perSecond: 24 }])
  assert.ok(load.mean > 1.2, `mean ${load.mean}`)
})

// Guards against admitting calls beyond the slots: at 1.7 times the room 4 in 10 parents failed after work.
test('fraction makes the calls of a burst fit within half a second, and returns after it', () => {
  const onsets = Array.from({ length: 20 }, (_, seed) => {
    const load = new HostLoad(seed)
    load.run(10_000, [{ perSecond: 24 }])
    return load.run(500, [{ perSecond: 68 }])
  })
  const onset = onsets.reduce((sum, fraction) => sum + fraction, 0) / onsets.length
  assert.ok(onset < 0.85, `after 0.5 s: ${onset}`)
  const load = new HostLoad()
  load.run(2_000, [{ perSecond: 68 }])
  load.run(10_000, [{ perSecond: 68 }])
  assert.ok(Math.abs(load.mean - 0.95 / 1.7) < 0.06, `mean ${load.mean}`)
  assert.ok(load.run(2_000, [{ perSecond: 24 }]) > 1)
})

// Guards against a fraction that rises because parents are thinned, and so swings: thinned calls state by how much they were.
test('calls of thinned parents stand for the demand without thinning', () => {
  const load = new HostLoad()
  load.run(2_000, [{ perSecond: 34, senderFraction: 0.5 }])
  load.run(10_000, [{ perSecond: 34, senderFraction: 0.5 }])
  assert.ok(Math.abs(load.mean - 0.95 / 1.7) < 0.06, `mean ${load.mean}`)
})

// Guards against a fraction that follows the accidents of four calls a second.
test('fraction is smooth at a few arrivals a second', () => {
  const load = new HostLoad()
  const slow = { perSecond: 6, cost: 2_000 }
  load.run(30_000, [slow])
  load.run(30_000, [slow])
  assert.ok(load.deviation < 0.3 * load.mean, `deviation ${load.deviation} of ${load.mean}`)
})

// Guards against calls that take all slots while direct requests wait, and against slots kept for direct requests that do not come.
test('direct requests keep a fifth of the slots when they ask for it', () => {
  const fractionWith = (perSecond: number): number => {
    const load = new HostLoad()
    const arrivals = [{ perSecond: 68 }, { perSecond, isCall: false, cost: 630 }]
    load.run(8_000, arrivals)
    load.run(20_000, arrivals)
    return load.mean
  }
  const [none, few, many] = [fractionWith(0), fractionWith(1), fractionWith(20)] as const
  assert.ok(Math.abs(many - 0.8 * 0.95 / 1.7) < 0.06, `many ${many}`)
  assert.ok(none > few && few > many, `${none} ${few} ${many}`)
})

// Guards against a queue of calls that grows until they miss their deadlines.
test('queue of calls lowers the fraction', () => {
  const load = new HostLoad()
  const before = load.run(10_000, [{ perSecond: 40 }])
  for (let waiting = 0; waiting < 30; waiting += 1) load.demand.recordWaiting(1)
  assert.ok(load.demand.current(CAPACITY, load.now) < 0.6 * before)
  for (let waiting = 0; waiting < 30; waiting += 1) load.demand.recordWaiting(-1)
  assert.equal(load.demand.current(CAPACITY, load.now), before)
})

// Guards against admitting calls for all slots of a target that states a lower limit.
test('limit that the target states bounds the room', () => {
  const load = new HostLoad()
  load.run(10_000, [{ perSecond: 20 }], { slots: 8, rate: 10 })
  assert.ok(Math.abs(load.mean - 0.5) < 0.1, `mean ${load.mean}`)
})

// Guards against counting a call once for each host that refuses it.
test('refused call counts less than one that waits', () => {
  const fractionOf = (wasRefused: boolean): number => {
    const { demand } = new HostLoad()
    for (let time = 0; time < 5_000; time += 10) demand.recordOffer({ isCall: true, senderFraction: 1 }, wasRefused, Decisions.Clock.milliseconds(time))
    return demand.current(CAPACITY, Decisions.Clock.milliseconds(5_000))
  }
  assert.ok(Math.abs(fractionOf(true) / fractionOf(false) - 4) < 0.2, `${fractionOf(false)} ${fractionOf(true)}`)
})
