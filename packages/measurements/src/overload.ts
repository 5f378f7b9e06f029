/** Measures goodput and latency of a simulated fleet under loads above its capacity. */
import * as Decisions from '@jasminedale/decisions'
import * as Fleets from './simulation/fleet.js'
import * as Loads from './simulation/load.js'

export interface OverloadOptions {
  readonly seed: number
  /** Offered loads as multiples of the capacity. */
  readonly factors: readonly number[]
  /** Length of each run in ms. */
  readonly duration: number
  /** Deadline of every request in ms. */
  readonly deadline: number
}

/** Results for one offered load. `goodput` is a fraction of the capacity of the fleet. */
export interface OverloadRow {
  readonly factor: number
  /** Successful answers within their deadline that arrived in the measured period. */
  readonly goodput: number
  /** Fraction of the critical requests with a successful answer. */
  readonly criticalServed: number
  readonly normalServed: number
  readonly sheddableServed: number
  /** Fraction of the executions started at servers that gave no successful answer within the deadline. */
  readonly wasted: number
  /** 99th percentile of the time to a successful answer, in ms. */
  readonly latency99: number
  /** 99th percentile of the time to a refusal, in ms. */
  readonly refusal99: number
}

/** Cinderfold's service accounts in one region: 12 targets with 4 slots. */
const FLEET = {
  regions: { 'lower-mainland': ['burnaby-a', 'surrey-b'] },
  nodesPerDataCenter: 2,
  targetsPerNode: 3,
  server: { slots: 4, serviceTime: 40, deviation: 0.4 }
} as const

/** Share of each priority in the load. */
const PRIORITY_SHARES = { critical: 0.2, normal: 0.5, sheddable: 0.3 } as const
const PRIORITIES = ['critical', 'normal', 'sheddable'] as const
/** Lets concurrency limits and estimates converge before the measurement. */
const WARM_UP_MS = 5_000

/** Returns one row per factor. */
export function overload (options: OverloadOptions): readonly OverloadRow[] {
  return options.factors.map(factor => row(factor, options))
}

function row (factor: number, options: OverloadOptions): OverloadRow {
  const exceptions = PRIORITIES.map(priority => ({ name: priority, reason: 'measurement', scope: { pathPrefix: `/${priority}` }, overrides: { priority } }))
  const fleet = new Fleets.Fleet({ ...FLEET, seed: options.seed, exceptions })
  const from = Fleets.START_MS + WARM_UP_MS
  const until = from + options.duration
  const load = (priority: keyof typeof PRIORITY_SHARES, start: number, stop: number): Loads.Load =>
    new Loads.Load(fleet, { rate: factor * fleet.capacity() * PRIORITY_SHARES[priority], from: start, until: stop, path: `/${priority}`, deadline: options.deadline })
  const earlier = PRIORITIES.map(priority => load(priority, Fleets.START_MS, from))
  fleet.scheduler.runUntil(from)
  const startsBefore = fleet.starts()
  const [critical, normal, sheddable] = [load('critical', from, until), load('normal', from, until), load('sheddable', from, until)]
  fleet.scheduler.runUntil(until)
  const starts = fleet.starts() - startsBefore
  fleet.scheduler.runUntil(until + options.deadline)
  const loads = [critical, normal, sheddable]
  const good = loads.flatMap(entry => entry.successfulAnswers())
  const inWindow = [...earlier, ...loads].flatMap(entry => entry.successfulAnswers()).filter(answer => answer.at >= from && answer.at < until)
  const refused = loads.flatMap(entry => entry.answers).filter(answer => answer.refusal !== undefined)
  return {
    factor,
    goodput: inWindow.length / (fleet.capacity() * options.duration / 1_000),
    criticalServed: successFraction(critical),
    normalServed: successFraction(normal),
    sheddableServed: successFraction(sheddable),
    wasted: Math.max(0, 1 - inWindow.length / starts),
    latency99: percentile99(good),
    refusal99: percentile99(refused)
  }
}

function successFraction (load: Loads.Load): number {
  return load.successfulAnswers().length / Math.max(1, load.sent)
}

function percentile99 (answers: readonly Loads.Answer[]): number {
  const times = answers.map(answer => answer.at - answer.sentAt).sort((left, right) => left - right)
  return Decisions.Clock.milliseconds(times[Math.floor(times.length * 0.99)] ?? 0)
}
