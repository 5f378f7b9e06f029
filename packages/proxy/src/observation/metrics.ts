/** Metrics of a node, exported in the Prometheus text format. Durations are passed in ms and exported in seconds. */
import * as Prometheus from 'prom-client'

const MILLISECONDS_PER_SECOND = 1_000
/** Bucket bounds around the latency objectives of 0.2 to 1.5 s. */
const LATENCY_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4]

/** A configuration or settings in force. */
export interface InForce {
  readonly version?: number
  readonly checksum: string
  /** Milliseconds since it came into force on this node. */
  readonly age: number
}

export class Metrics {
  private readonly registry = new Prometheus.Registry()
  private readonly requests = new Prometheus.Histogram({
    name: 'jasminedale_request_seconds', help: 'Time from the arrival of a request to its answer.', labelNames: ['service', 'outcome'],
    buckets: LATENCY_BUCKETS_SECONDS, registers: [this.registry]
  })

  private readonly splits = new Prometheus.Counter({
    name: 'jasminedale_split_requests_total', help: 'Requests of routes with several destinations, by the service chosen.', labelNames: ['route', 'service'], registers: [this.registry]
  })

  private readonly attempts = new Prometheus.Counter({
    name: 'jasminedale_attempts_total', help: 'Attempts of this entry by what became of them.', labelNames: ['service', 'result'], registers: [this.registry]
  })

  private readonly targetRequests = new Prometheus.Histogram({
    name: 'jasminedale_target_seconds', help: 'Time of requests at the local target.', labelNames: ['result'], buckets: LATENCY_BUCKETS_SECONDS, registers: [this.registry]
  })

  private readonly hostRefusals = new Prometheus.Counter({
    name: 'jasminedale_host_refusals_total', help: 'Requests that this host refused without running them.', labelNames: ['reason'], registers: [this.registry]
  })

  private readonly dependencyRefusals = new Prometheus.Counter({
    name: 'jasminedale_dependency_refusals_total', help: 'Requests that this host refused because a service that their route calls is full.', labelNames: ['route', 'service'], registers: [this.registry]
  })

  private readonly admissionFraction = new Prometheus.Gauge({
    name: 'jasminedale_admission_fraction', help: 'Fraction of the calls for which the local target has room; 1 when it has room for all.', registers: [this.registry]
  })

  private readonly targetLimit = new Prometheus.Gauge({
    name: 'jasminedale_target_limit_per_second', help: 'Requests per second that the local target takes, as it states; infinite without a limit.', registers: [this.registry]
  })

  private readonly targetSlowness = new Prometheus.Gauge({
    name: 'jasminedale_target_slowness', help: 'How many times longer the local target takes than an average one for the same requests.', registers: [this.registry]
  })

  private readonly targetWork = new Prometheus.Gauge({
    name: 'jasminedale_target_work_seconds', help: 'Expected rest of what runs and cost of what waits at the local target, in seconds of an average target.', registers: [this.registry]
  })

  private readonly quotaRefusals = new Prometheus.Counter({
    name: 'jasminedale_quota_refusals_total', help: 'Requests over the quota of their client account, by whether the arbiter or this entry alone decided.', labelNames: ['rule'], registers: [this.registry]
  })

  private readonly quotaMessages = new Prometheus.Counter({
    name: 'jasminedale_quota_messages_total', help: 'Notifications about quotas that this node sent.', labelNames: ['method'], registers: [this.registry]
  })

  private readonly limitedAccounts = new Prometheus.Gauge({
    name: 'jasminedale_limited_accounts', help: 'Client accounts arbitrated by this node that exceed their limits.', registers: [this.registry]
  })

  private readonly storeCalls = new Prometheus.Counter({
    name: 'jasminedale_store_calls_total', help: 'Calls to the shared log.', labelNames: ['call', 'result'], registers: [this.registry]
  })

  private readonly configurationVersion = new Prometheus.Gauge({
    name: 'jasminedale_configuration_version', help: 'Configuration version in force.', registers: [this.registry]
  })

  private readonly inForce = new Prometheus.Gauge({
    name: 'jasminedale_in_force_info', help: 'Checksums of the configuration and the settings in force; the value is 1.',
    labelNames: ['configuration', 'settings'], registers: [this.registry]
  })

  private readonly inForceSeconds = new Prometheus.Gauge({
    name: 'jasminedale_in_force_seconds', help: 'Time since the configuration or the settings came into force on this node.', labelNames: ['part'], registers: [this.registry]
  })

  private readonly drops = new Prometheus.Counter({
    name: 'jasminedale_drops_total', help: 'Bodies and connections that this node gave up for its memory or its descriptors, or because they stalled.', labelNames: ['kind', 'reason'], registers: [this.registry]
  })

  private readonly heldBytes = new Prometheus.Gauge({
    name: 'jasminedale_held_bytes', help: 'Memory of bodies, heads and connections.', registers: [this.registry]
  })

  constructor () {
    this.admissionFraction.set(1)
  }

  recordRequest (service: string, outcome: string, elapsed: number): void {
    this.requests.observe({ service, outcome }, elapsed / MILLISECONDS_PER_SECOND)
  }

  recordSplit (route: string, service: string): void {
    this.splits.inc({ route, service })
  }

  recordAttempt (service: string, result: string): void {
    this.attempts.inc({ service, result })
  }

  recordTargetRequest (result: string, elapsed: number): void {
    this.targetRequests.observe({ result }, elapsed / MILLISECONDS_PER_SECOND)
  }

  recordHostRefusal (reason: string): void {
    this.hostRefusals.inc({ reason })
  }

  recordDependencyRefusal (route: string, service: string): void {
    this.dependencyRefusals.inc({ route, service })
  }

  setAdmissionFraction (fraction: number): void {
    this.admissionFraction.set(fraction)
  }

  /** Sets the limit that the local target states, in requests per second; undefined without a limit. */
  setTargetLimit (limit: number | undefined): void {
    this.targetLimit.set(limit ?? Infinity)
  }

  /** Sets the speed of the local target and the work in ms that it has left. */
  setTargetWork (slowness: number, left: number): void {
    this.targetSlowness.set(slowness)
    this.targetWork.set(left / MILLISECONDS_PER_SECOND)
  }

  recordQuotaRefusal (rule: string): void {
    this.quotaRefusals.inc({ rule })
  }

  recordQuotaMessage (method: string): void {
    this.quotaMessages.inc({ method })
  }

  setLimitedAccounts (count: number): void {
    this.limitedAccounts.set(count)
  }

  recordStoreCall (call: string, result: string): void {
    this.storeCalls.inc({ call, result })
  }

  /** Counts a body or connection that was given up. */
  recordDrop (kind: string, reason: string): void {
    this.drops.inc({ kind, reason })
  }

  setHeldBytes (bytes: number): void {
    this.heldBytes.set(bytes)
  }

  /** Sets what is in force. The times since then are in ms. */
  setInForce (configuration: InForce | undefined, settings: InForce): void {
    this.configurationVersion.set(configuration?.version ?? 0)
    this.inForce.reset()
    this.inForce.set({ configuration: configuration?.checksum ?? '', settings: settings.checksum }, 1)
    if (configuration !== undefined) this.inForceSeconds.set({ part: 'configuration' }, configuration.age / MILLISECONDS_PER_SECOND)
    this.inForceSeconds.set({ part: 'settings' }, settings.age / MILLISECONDS_PER_SECOND)
  }

  /** All metrics in the Prometheus text format. */
  async render (): Promise<string> {
    return await this.registry.metrics()
  }
}
