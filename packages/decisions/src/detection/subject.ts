/** What Detection keeps for one target of this VM. */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'
import type * as Targets from '../membership/targets.js'
import type * as HealthTests from './health-test.js'
import type * as Evidence from './evidence.js'
import type * as Flights from './flight.js'
import * as EntryBaselines from './entry-baselines.js'
import * as Silences from './silence.js'

/** Weight of the newest sample in the moving averages. */
const AVERAGE_WEIGHT = 0.1
/** A target that reports this fraction of its capacity is expected to be slower than the others. */
const BUSY_LOAD = 0.9
/** Reported load may be wrong, so it can only halve the evidence. */
const BUSY_WEIGHT = 0.5
/** With this many lost requests and no answer since, waiting counts more with each second, up to the limit. */
const LOST_MINIMUM = 2
const WAITING_WEIGHT_LIMIT = 4
const LOST_MILLISECONDS = 1_000
/** Probes are more frequent when suspicion is above this share of the threshold and no work arrives. */
const SUSPICION_FOR_PROBES = 0.1
const URGENT_PROBE_INTERVAL = Clock.seconds(1)

export class Subject {
  readonly references = new EntryBaselines.EntryBaselines()
  readonly flights = new Map<Ids.AttemptId, Flights.Flight>()
  silence = new Silences.Silence()
  lastWork: Clock.Milliseconds | undefined
  lastAnswer: Clock.Milliseconds | undefined
  lastRaised: Clock.Milliseconds | undefined
  lastProbe: Clock.Milliseconds | undefined
  /** When a connection was last lost with a request in flight, which a crash may explain. */
  lastLoss: Clock.Milliseconds | undefined
  private latency = 0
  private errorRate = 0
  private samples = 0

  constructor (readonly incarnation: Ids.Incarnation, readonly decider: HealthTests.HealthTest) {}

  /** Adds a sample of real work. */
  observe (sample: HealthTests.Sample): void {
    this.decider.observe(sample)
    if (sample.outcome === 'waiting') return
    this.lastWork = sample.at
    this.samples += 1
    this.errorRate += AVERAGE_WEIGHT * ((sample.outcome === 'failed' ? 1 : 0) - this.errorRate)
    if (sample.outcome === 'failed') return
    this.lastAnswer = sample.at
    this.latency = this.latency === 0 ? sample.elapsed : this.latency + AVERAGE_WEIGHT * (sample.elapsed - this.latency)
  }

  /** Describes an attempt on this target for the decider. */
  sample (flight: Flights.Flight, outcome: HealthTests.Sample['outcome'], elapsed: number, target: Targets.Target, at: Clock.Milliseconds): HealthTests.Sample {
    return {
      attempt: flight.attempt,
      outcome,
      elapsed: Clock.milliseconds(elapsed),
      at,
      baseline: this.references.median(),
      slownessWeight: target.load >= BUSY_LOAD ? BUSY_WEIGHT : 1,
      waitingWeight: this.waitingWeight(at)
    }
  }

  evidence (threshold: number): Evidence.TargetEvidence {
    return {
      score: this.decider.score(threshold),
      latency: Clock.milliseconds(this.latency),
      errorRate: this.errorRate,
      samples: this.samples,
      ...(this.lastWork === undefined ? {} : { lastWork: this.lastWork })
    }
  }

  /** Forgets the past when the target returns to service. */
  restart (): void {
    this.decider.reset()
    this.silence = new Silences.Silence()
  }

  probeIsDue (policy: Policies.Policy, now: Clock.Milliseconds): boolean {
    if (this.lastProbe === undefined) return true
    const suspicion = this.decider.score(policy.ejectionEvidence) / policy.ejectionEvidence
    const idle = this.lastWork === undefined || now - this.lastWork >= URGENT_PROBE_INTERVAL
    const urgent = idle && suspicion >= SUSPICION_FOR_PROBES
    return now - this.lastProbe >= (urgent ? Math.min(URGENT_PROBE_INTERVAL, policy.probeInterval) : policy.probeInterval)
  }

  private waitingWeight (now: Clock.Milliseconds): number {
    const lost = [...this.flights.values()].filter(flight => !flight.answered && now - flight.dispatchedAt >= LOST_MILLISECONDS)
    if (lost.length < LOST_MINIMUM) return 1
    const oldest = Math.min(...lost.map(flight => flight.dispatchedAt))
    if (this.lastAnswer !== undefined && this.lastAnswer >= oldest) return 1
    return Math.min(WAITING_WEIGHT_LIMIT, 1 + Math.floor((now - oldest) / LOST_MILLISECONDS))
  }
}
