/** Health data about one incarnation of a target on this VM. */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'
import type * as Targets from '../membership/targets.js'
import type * as HealthTests from './health-test.js'
import type * as Evidence from './evidence.js'
import type * as PendingAttempts from './pending-attempt.js'
import * as EntryBaselines from './entry-baselines.js'
import * as HangDiagnoses from './hang-diagnosis.js'

/** Weight of the newest sample in the moving averages. */
const AVERAGE_WEIGHT = 0.1
/** A target that reports a load of this fraction of its capacity is expected to be slower than the others. */
const BUSY_LOAD_FRACTION = 0.9
/** The reported load may be wrong, so it can only halve the evidence of slowness. */
const BUSY_SLOWNESS_WEIGHT = 0.5
/** From this many lost requests without an answer since, the weight of waiting requests grows by 1 each second, up to a maximum. */
const LOST_REQUESTS_MINIMUM = 2
const WAITING_WEIGHT_MAXIMUM = 4
/** A request without response for this long counts as lost. */
const LOST_REQUEST_MILLISECONDS = 1_000
/** An idle target is probed more often when its score exceeds this fraction of the threshold. */
const URGENT_PROBE_SCORE_FRACTION = 0.1
const URGENT_PROBE_INTERVAL = Clock.seconds(1)

export class TargetMonitor {
  readonly baselines = new EntryBaselines.EntryBaselines()
  readonly pendingAttempts = new Map<Ids.AttemptId, PendingAttempts.PendingAttempt>()
  hangDiagnosis = new HangDiagnoses.HangDiagnosis()
  lastWorkAt: Clock.Milliseconds | undefined
  lastAnswerAt: Clock.Milliseconds | undefined
  ejectionRequestedAt: Clock.Milliseconds | undefined
  lastProbeAt: Clock.Milliseconds | undefined
  /** Time when a connection was last lost with a request in flight, which a crash of the target may explain. */
  connectionLostAt: Clock.Milliseconds | undefined
  private latency = 0
  private errorRate = 0
  private samples = 0

  constructor (readonly incarnation: Ids.Incarnation, readonly healthTest: HealthTests.HealthTest) {}

  /** Adds a sample of real work. */
  observe (sample: HealthTests.Sample): void {
    this.healthTest.observe(sample)
    if (sample.outcome === 'waiting') return
    this.lastWorkAt = sample.at
    this.samples += 1
    this.errorRate += AVERAGE_WEIGHT * ((sample.outcome === 'failed' ? 1 : 0) - this.errorRate)
    if (sample.outcome === 'failed') return
    this.lastAnswerAt = sample.at
    this.latency = this.latency === 0 ? sample.elapsed : this.latency + AVERAGE_WEIGHT * (sample.elapsed - this.latency)
  }

  /** Creates a sample of an attempt for the health test. */
  createSample (pending: PendingAttempts.PendingAttempt, outcome: HealthTests.Sample['outcome'], elapsed: number, target: Targets.Target, at: Clock.Milliseconds): HealthTests.Sample {
    return {
      attempt: pending.attempt,
      outcome,
      elapsed: Clock.milliseconds(elapsed),
      at,
      baseline: this.baselines.median(),
      slownessWeight: target.load >= BUSY_LOAD_FRACTION ? BUSY_SLOWNESS_WEIGHT : 1,
      waitingWeight: this.waitingWeight(at)
    }
  }

  evidence (threshold: number): Evidence.TargetEvidence {
    return {
      score: this.healthTest.score(threshold),
      latency: Clock.milliseconds(this.latency),
      errorRate: this.errorRate,
      samples: this.samples,
      ...(this.lastWorkAt === undefined ? {} : { lastWork: this.lastWorkAt })
    }
  }

  /** Clears the evidence, so that it starts anew when the target returns to service. */
  reset (): void {
    this.healthTest.reset()
    this.hangDiagnosis = new HangDiagnoses.HangDiagnosis()
  }

  isProbeDue (policy: Policies.Policy, now: Clock.Milliseconds): boolean {
    if (this.lastProbeAt === undefined) return true
    const scoreFraction = this.healthTest.score(policy.ejectionEvidence) / policy.ejectionEvidence
    const isIdle = this.lastWorkAt === undefined || now - this.lastWorkAt >= URGENT_PROBE_INTERVAL
    const isUrgent = isIdle && scoreFraction >= URGENT_PROBE_SCORE_FRACTION
    return now - this.lastProbeAt >= (isUrgent ? Math.min(URGENT_PROBE_INTERVAL, policy.probeInterval) : policy.probeInterval)
  }

  private waitingWeight (now: Clock.Milliseconds): number {
    const lost = [...this.pendingAttempts.values()].filter(pending => !pending.hasResponded && now - pending.dispatchedAt >= LOST_REQUEST_MILLISECONDS)
    if (lost.length < LOST_REQUESTS_MINIMUM) return 1
    const oldest = Math.min(...lost.map(pending => pending.dispatchedAt))
    if (this.lastAnswerAt !== undefined && this.lastAnswerAt >= oldest) return 1
    return Math.min(WAITING_WEIGHT_MAXIMUM, 1 + Math.floor((now - oldest) / LOST_REQUEST_MILLISECONDS))
  }
}
