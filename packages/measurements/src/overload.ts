/** Measures what a fleet finishes in time when callers ask for more than it can do. */
import * as Decisions from '@jasminedale/decisions'
import * as Fleets from './simulation/fleet.js'
import * as Loads from './simulation/load.js'

export interface OverloadOptions {
  readonly seed: number
  /** Requested load as multiples of the capacity. */
  readonly factors: readonly number[]
  /** Length of each run in ms. */
  readonly duration: number
  /** Deadline of every request in ms. */
  readonly deadline: number
}

/** One requested load. Fractions are of the fleet's capacity unless stated otherwise. */
export interface OverloadRow {
  readonly factor: number
  /** Good answers within the deadline that arrived in the measured time. */
  readonly goodput: number
  /** Fraction of the critical requests with a good answer. */
  readonly criticalServed: number
  readonly normalServed: number
  readonly sheddableServed: number
  /** Fraction of all starts at the servers that gave no good answer in time. */
  readonly wasted: number
  /** 99th percentile of the time to a good answer, in ms. */
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

/** Shares of the priorities in the load. */
const MIX = { critical: 0.2, normal: 0.5, sheddable: 0.3 } as const
const PRIORITIES = ['critical', 'normal', 'sheddable'] as const
/** The limits and estimates settle before the measurement starts. */
const WARM_UP_MS = 5_000

/** One row per factor. */
export function overload (options: OverloadOptions): readonly OverloadRow[] {
  return options.factors.map(factor => row(factor, options))
}

function row (factor: number, options: OverloadOptions): OverloadRow {
  const exceptions = PRIORITIES.map(priority => ({ name: priority, reason: 'measurement', scope: { pathPrefix: `/${priority}` }, overrides: { priority } }))
  const fleet = new Fleets.Fleet({ ...FLEET, seed: options.seed, exceptions })
  const from = Fleets.START_MS + WARM_UP_MS
  const until = from + options.duration
  const load = (priority: keyof typeof MIX, start: number, stop: number): Loads.Load =>
    new Loads.Load(fleet, { rate: factor * fleet.capacity() * MIX[priority], from: start, until: stop, path: `/${priority}`, deadline: options.deadline })
  const earlier = PRIORITIES.map(priority => load(priority, Fleets.START_MS, from))
  fleet.agenda.runUntil(from)
  const startsBefore = fleet.starts()
  const [critical, normal, sheddable] = [load('critical', from, until), load('normal', from, until), load('sheddable', from, until)]
  fleet.agenda.runUntil(until)
  const starts = fleet.starts() - startsBefore
  fleet.agenda.runUntil(until + options.deadline)
  const loads = [critical, normal, sheddable]
  const good = loads.flatMap(entry => entry.good())
  const inWindow = [...earlier, ...loads].flatMap(entry => entry.good()).filter(answer => answer.at >= from && answer.at < until)
  const refused = loads.flatMap(entry => entry.answers).filter(answer => answer.refusal !== undefined)
  return {
    factor,
    goodput: inWindow.length / (fleet.capacity() * options.duration / 1_000),
    criticalServed: served(critical),
    normalServed: served(normal),
    sheddableServed: served(sheddable),
    wasted: Math.max(0, 1 - inWindow.length / starts),
    latency99: percentile99(good),
    refusal99: percentile99(refused)
  }
}

function served (load: Loads.Load): number {
  return load.good().length / Math.max(1, load.sent)
}

function percentile99 (answers: readonly Loads.Answer[]): number {
  const times = answers.map(answer => answer.at - answer.sentAt).sort((left, right) => left - right)
  return Decisions.Clock.milliseconds(times[Math.floor(times.length * 0.99)] ?? 0)
}
