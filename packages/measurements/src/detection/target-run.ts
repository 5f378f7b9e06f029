/** Simulates one target with the real Detection controller, from a healthy warm-up through a fault to its ejection. */
import * as Decisions from '@jasminedale/decisions'
import * as Schedulers from '../simulation/scheduler.js'
import * as Distributions from '../simulation/distribution.js'
import type * as Faults from './fault.js'
import * as Services from './service.js'

export interface TargetRunOptions {
  readonly seed: number
  readonly decider: () => Decisions.HealthTests.HealthTest
  readonly threshold: number
  readonly fault: Faults.Fault
  /** Requests per second to the target. */
  readonly rate: number
  readonly slots: number
  /** One-way latency in ms. A promise takes one round trip. */
  readonly latency: number
  /** Interval of ticks in ms: 100, or 200 to shorten long runs. */
  readonly tick: number
  /** Time after the onset of the fault at which the run ends as undetected, in ms. */
  readonly limit: number
}

export interface TargetRunResult {
  readonly detected: boolean
  /** Time from the onset of the fault to the last dispatch before the ejection, or the limit, in ms. */
  readonly lastDispatch: number
  /** Requests dispatched during the fault that were slowed, failed or lost. */
  readonly harmed: number
}

/** The first draws of adjacent small seeds are correlated, so they are discarded. */
const DISCARDED_DRAWS = 32
const WARM_UP_MS = 20_000
const PROBE_MS = 25
const DEADLINE_MS = 2_000
const FAILURE_MS = 5
const BASELINE_SAMPLES = 32
const TARGET = Decisions.Ids.targetId('target')
const SERVICE = Decisions.Ids.service('service')
const { milliseconds } = Decisions.Clock

export class TargetRun {
  private readonly scheduler = new Schedulers.Scheduler()
  private readonly distribution: Distributions.Distribution
  private readonly board: Decisions.Blackboards.Blackboard
  private readonly controller: Decisions.Detection.Detection
  private readonly arrival: Omit<Decisions.Events.RequestArrived, 'request' | 'from' | 'baseline'>
  private running = 0
  private requestCount = 0
  private lastDispatch = 0
  private harmed = 0
  private ejectedAt = Number.POSITIVE_INFINITY

  constructor (private readonly options: TargetRunOptions) {
    this.distribution = new Distributions.Distribution(options.seed)
    for (let draw = 0; draw < DISCARDED_DRAWS; draw++) this.distribution.fraction()
    this.controller = new Decisions.Detection.Detection(options.decider)
    this.board = boardWith(options)
    this.arrival = {
      kind: 'request-arrived', hop: 'host', service: SERVICE, method: 'GET', path: '/', earlierAttempts: 0,
      signature: Decisions.Ids.signature('s'), replayable: true
    }
  }

  run (): TargetRunResult {
    this.scheduler.after(0, () => { this.tick() })
    this.scheduler.after(this.interarrivalTime(), () => { this.handleArrival() })
    const end = WARM_UP_MS + this.options.limit
    for (let until = WARM_UP_MS; until < end && this.scheduler.now <= this.ejectedAt; until += this.options.tick) this.scheduler.runUntil(until)
    const detected = Number.isFinite(this.ejectedAt)
    const last = detected ? Math.max(0, this.lastDispatch - WARM_UP_MS) : this.options.limit
    return { detected, lastDispatch: last, harmed: this.harmed }
  }

  private interarrivalTime (): number {
    return this.distribution.exponential(1_000 / this.options.rate)
  }

  private react (event: Decisions.Events.Event): void {
    const now = milliseconds(this.scheduler.now)
    this.controller.react(event, {
      board: this.board, now, random: new Decisions.Random.Random(1),
      emit: command => { if (command.kind === 'probe') this.scheduler.after(PROBE_MS, () => { this.finishProbe() }) },
      raise: raised => {
        // Ejections requested during the warm-up are false positives, which this run does not measure.
        if (raised.kind !== 'ejection-wanted' || this.scheduler.now < WARM_UP_MS) return
        this.ejectedAt = Math.min(this.ejectedAt, this.scheduler.now + 2 * this.options.latency)
      },
      record: () => undefined,
      freshId: () => ''
    })
  }

  private tick (): void {
    this.react({ kind: 'tick' })
    this.scheduler.after(this.options.tick, () => { this.tick() })
  }

  private finishProbe (): void {
    const healthy = !(this.options.fault.probesFail && this.scheduler.now >= WARM_UP_MS)
    this.react({ kind: 'probe-finished', target: TARGET, healthy, elapsed: milliseconds(PROBE_MS) })
  }

  private handleArrival (): void {
    this.scheduler.after(this.interarrivalTime(), () => { this.handleArrival() })
    // Requests beyond the slots are queued or sent to other targets and do not reach this one.
    if (this.running >= this.options.slots || this.scheduler.now >= this.ejectedAt) return
    this.running += 1
    this.lastDispatch = this.scheduler.now
    const request = Decisions.Ids.requestId(`r${this.requestCount}`)
    const attempt = Decisions.Ids.attemptId(`a${this.requestCount++}`)
    const from = Decisions.Ids.nodeId(`n${this.distribution.below(4)}`)
    const arrival = { ...this.arrival, request, from, baseline: this.baseline() }
    this.board.requests.byId.set(request, { ...EMPTY_REQUEST, arrival, policy: this.board.configuration.current.defaults })
    this.react({ kind: 'attempt-dispatched', request, attempt, target: TARGET })
    this.board.requests.byId.delete(request)
    this.serve(request, attempt)
  }

  private serve (request: Decisions.Ids.RequestId, attempt: Decisions.Ids.AttemptId): void {
    const since = this.scheduler.now - WARM_UP_MS
    const { kind, slowness } = since < 0 ? { kind: 'answered' as const, slowness: 1 } : this.options.fault.outcome(since, this.distribution)
    if (kind !== 'answered' || slowness > 1) this.harmed += 1
    const elapsed = milliseconds(kind === 'unreachable' ? FAILURE_MS : Services.serviceTime(this.distribution) * slowness)
    const finish = (end: Decisions.Events.AttemptEnd, after: number): void => {
      this.running -= 1
      this.react({ kind: 'attempt-finished', request, attempt, end, elapsed: milliseconds(after) })
    }
    if (kind === 'lost') {
      this.scheduler.after(DEADLINE_MS, () => { finish({ kind: 'timed-out', responseStarted: false }, DEADLINE_MS) })
      return
    }
    this.scheduler.after(elapsed, () => {
      if (kind === 'unreachable') {
        finish({ kind: 'unreachable' }, elapsed)
        return
      }
      const status = kind === 'failed' ? 500 : 200
      this.react({ kind: 'attempt-responded', request, attempt, status, shed: false, serviceTime: elapsed })
      finish({ kind: 'complete', status, bytes: 1 }, elapsed)
    })
  }

  /** Returns the baseline of an entry whose sample window is full. */
  private baseline (): Decisions.Events.Baseline {
    const logs = Array.from({ length: BASELINE_SAMPLES }, () => Math.log(Services.serviceTime(this.distribution)))
    const mean = logs.reduce((sum, log) => sum + log, 0) / logs.length
    const variance = logs.reduce((sum, log) => sum + (log - mean) ** 2, 0) / logs.length
    return { meanLogLatency: mean, deviation: Math.sqrt(variance), errorRate: Services.HEALTHY_ERROR_RATE, samples: BASELINE_SAMPLES }
  }
}

const EMPTY_REQUEST = {
  idempotent: true, arrivedAt: milliseconds(0), deadline: milliseconds(0), firstAttempt: Decisions.Ids.attemptId(''),
  attempts: [], closed: new Set<Decisions.Ids.AttemptId>(), decisions: [], mayHaveRun: false, connectionsLost: 0,
  relayed: false, relayedStatus: 0, expired: false
}

function boardWith (options: TargetRunOptions): Decisions.Blackboards.Blackboard {
  const node = Decisions.Ids.nodeId('host')
  const [dataCenter, region] = [Decisions.Ids.dataCenter('d'), Decisions.Ids.region('r')]
  const incarnation = Decisions.Ids.incarnation(1)
  const address = Decisions.Ids.endpoint('127.0.0.1:1')
  const board = new Decisions.Blackboards.Blackboard({ node, address, dataCenter, region, incarnation, seeds: [] })
  const { current } = board.configuration
  board.configuration.current = { ...current, defaults: { ...current.defaults, ejectionEvidence: options.threshold } }
  board.targets.put({
    target: TARGET, service: SERVICE, host: node, dataCenter, region, address, slots: options.slots, incarnation,
    state: 'serving', announcedAt: milliseconds(-60_000), load: 0
  })
  return board
}
