/** Sends one attempt to its target, directly if it is the local one and otherwise through the target's host. */
import * as Decisions from '@jasminedale/decisions'
import * as CostTables from '../costs/cost-table.js'
import type * as ServiceCosts from '../costs/service-costs.js'
import type * as DependencyControls from '../dependencies/dependency-control.js'
import type * as Directories from '../directory/directory.js'
import type * as Registrations from '../directory/registration.js'
import * as Forwarding from '../host/forwarding.js'
import type * as HostReports from '../host/host-report.js'
import type * as Hosts from '../host/host.js'
import type * as HostedRequests from '../host/hosted-request.js'
import type * as Logs from '../observation/log.js'
import type * as Memories from '../resources/memory.js'
import type * as ConnectionPools from '../transport/connection-pool.js'
import type * as Dialects from '../transport/dialect.js'
import * as Exchanges from '../transport/exchange.js'
import * as Requests from './request.js'
import type * as HostViews from './host-views.js'
import type * as TargetSelectors from './target-selector.js'

/** Round trips between nodes take up to 16 ms, and several times that on a slow VM. */
const CONNECT_TIMEOUT = Decisions.Clock.milliseconds(250)
/**
 * Time after which the request is offered to another host as well, if the first has neither confirmed nor queued it.
 * Round trips take up to 16 ms, and a VM that has used up its processor quota is throttled for up to 50 ms.
 */
export const CONFIRMATION_HEDGE_DELAY = Decisions.Clock.milliseconds(60)
/** Time within which a host must confirm a request or report that it is queued. */
const CONFIRM_TIMEOUT = Decisions.Clock.milliseconds(300)
/** Time after the deadline for a response that the host has sent by then to reach this node. */
const RESPONSE_MARGIN = Decisions.Clock.milliseconds(40)
const RESPONSE_LIMIT_BYTES = 67_108_864
/** Time for which a target is avoided after its host reported that it does not serve it. */
const ABSENT_TARGET_PAUSE = Decisions.Clock.seconds(1)

export interface SenderDependencies {
  readonly clock: Decisions.Clock.Clock
  readonly host: Hosts.Host
  readonly location: TargetSelectors.NodeLocation
  /** Service of this VM, from which callers send their requests to this node. */
  readonly callerService: Decisions.Ids.Service
  readonly views: HostViews.HostViews
  /** Costs of requests, learned from the responses; undefined while requests are not placed by cost. */
  readonly costs: () => ServiceCosts.ServiceCosts | undefined
  readonly directory: Directories.Directory
  readonly dialect: Dialects.Dialect
  readonly log: Logs.Log
  readonly connections: ConnectionPools.ConnectionPool
  readonly dependencyControl: Pick<DependencyControls.DependencyControl, 'senderFraction' | 'consistsOfCalls' | 'recordCallRoute'>
  readonly memory: Memories.Memory
  /** Called with the configuration version in force on another node. */
  readonly onVersionSeen: (version: Decisions.Ids.Version, address: Decisions.Ids.Endpoint) => void
}

/** An attempt in progress. */
export interface Attempt {
  readonly target: Decisions.Ids.TargetId
  readonly outcome: Promise<HostedRequests.Outcome>
  /** Whether the request was last known to be in the queue of its host. */
  isQueued (): boolean
  /** Cancels the attempt. The outcome still tells whether the request may have run. */
  withdraw (): void
}

/** What the host may do with an attempt. */
export interface AttemptOptions {
  /** Called when the host holds a slot. The request is sent if this returns true, and otherwise does not run. */
  readonly confirm: () => boolean
  /** Whether the request can be retried elsewhere and so may probe a target whose circuit breaker is tripped. */
  readonly mayBeProbe: boolean
  /** Whether the host may queue the request. */
  readonly mayQueue: boolean
  /** Whether the host runs the request even though its circuit breaker is tripped. */
  readonly mayBypassBreaker: boolean
}

export class Sender {
  constructor (private readonly dependencies: SenderDependencies) {}

  send (request: Requests.EntryRequest, registration: Registrations.Registration, options: AttemptOptions): Attempt {
    const view = this.dependencies.views.of(registration.target)
    const expectation = this.expectationOf(request)
    const cost = expectation?.cost ?? 0
    view.inFlight += 1
    view.inFlightWork += cost
    view.workSinceReport += cost
    view.requestsSinceReport += 1
    const attempt = registration.host === this.dependencies.location.host
      ? this.sendLocally(request, registration, options, expectation)
      : this.forward(request, registration, options, expectation)
    void attempt.outcome.finally(() => {
      view.inFlight -= 1
      view.inFlightWork = view.inFlight === 0 ? 0 : Math.max(0, view.inFlightWork - cost)
    })
    return attempt
  }

  private expectationOf (request: Requests.EntryRequest): HostedRequests.Expectation | undefined {
    const costs = this.dependencies.costs()
    if (costs === undefined) return undefined
    const key = costKeyOf(request)
    return { cost: costs.expected(request.service, key, this.dependencies.clock.now()), sizeClass: key.sizeClass }
  }

  /** Learns the cost of a request from the service time that its host measured. */
  private learnCost (request: Requests.EntryRequest, { work, running, queued }: HostReports.HostReport, served: number | undefined): void {
    const costs = this.dependencies.costs()
    if (work === undefined || costs === undefined) return
    costs.learnWork(request.service, work.left, running + queued)
    if (served !== undefined) costs.learn(request.service, costKeyOf(request), served, work.slowness, this.dependencies.clock.now())
  }

  private sendLocally (request: Requests.EntryRequest, registration: Registrations.Registration, { confirm, mayBeProbe, mayQueue, mayBypassBreaker }: AttemptOptions, expectation: HostedRequests.Expectation | undefined): Attempt {
    const listeners: (() => void)[] = []
    const state = { isQueued: false }
    const { target } = registration
    const { host, callerService } = this.dependencies
    const outcome = host.run({
      id: request.id,
      target,
      callerService,
      method: request.method,
      path: request.path,
      headers: request.headers,
      route: request.route.name,
      account: request.account,
      isCall: request.isCall,
      ...this.senderFraction(request),
      expectation,
      repeatable: request.route.repeatable,
      mayBeProbe,
      priority: request.priority,
      deadline: request.deadline,
      latencyObjective: request.route.latencyObjective,
      objectiveDeadline: Requests.objectiveDeadline(request),
      mayQueue,
      mayBypassBreaker,
      onQueued: () => { state.isQueued = true },
      commit: () => {
        state.isQueued = false
        return Promise.resolve(confirm() ? request.body : undefined)
      },
      onWithdrawn: listener => { listeners.push(listener) }
    }).then(hostOutcome => {
      this.recordLocalOutcome(request, target, hostOutcome)
      return hostOutcome
    })
    return { target, outcome, isQueued: () => state.isQueued, withdraw: () => { for (const listener of listeners) listener() } }
  }

  private recordLocalOutcome (request: Requests.EntryRequest, target: Decisions.Ids.TargetId, outcome: HostedRequests.Outcome): void {
    const { host, clock, views, dependencyControl } = this.dependencies
    const report = host.report()
    views.recordResponse(target, report, clock.now())
    if (outcome.kind === 'answered') this.learnCost(request, report, outcome.served)
    if (dependencyControl.consistsOfCalls(request.route.name)) dependencyControl.recordCallRoute(request.route.name)
    this.avoidUnavailableTarget(target, outcome)
  }

  private forward (request: Requests.EntryRequest, registration: Registrations.Registration, { confirm, mayBeProbe, mayQueue, mayBypassBreaker }: AttemptOptions, expectation: HostedRequests.Expectation | undefined): Attempt {
    const { clock, connections, callerService, views, memory } = this.dependencies
    const { target } = registration
    const remaining = Decisions.Clock.between(clock.now(), request.deadline)
    const fields = Forwarding.formatMetadata({
      target, remaining, latencyObjective: request.route.latencyObjective,
      objectiveRemaining: Decisions.Clock.milliseconds(Math.max(0, Requests.objectiveDeadline(request) - clock.now())), priority: request.priority,
      repeatable: request.route.repeatable, mayBeProbe, mayQueue, mayBypassBreaker, callerService,
      route: request.route.name, account: request.account, isCall: request.isCall, expectation, ...this.senderFraction(request)
    })
    const exchange = new Exchanges.Exchange({
      address: registration.host,
      method: request.method,
      path: request.path,
      headers: [...request.headers, ...fields],
      body: request.body,
      timeout: Decisions.Clock.add(remaining, RESPONSE_MARGIN),
      connectTimeout: Decisions.Clock.milliseconds(Math.min(CONNECT_TIMEOUT, remaining)),
      maximumResponseBytes: RESPONSE_LIMIT_BYTES,
      memory,
      connections,
      awaitsConfirmation: true,
      mayCommit: confirm,
      confirmationTimeout: Decisions.Clock.milliseconds(Math.min(CONFIRM_TIMEOUT, remaining))
    })
    const startedAt = clock.now()
    let isWithdrawn = false
    const outcome = exchange.result.then(result => isWithdrawn ? withdrawnOutcome(result) : this.outcomeOf(request, registration, result))
    return {
      target,
      outcome,
      isQueued: () => exchange.isQueued,
      withdraw: () => {
        isWithdrawn = true
        // A host that has not even confirmed is avoided, so that the next request does not wait for it.
        if (exchange.isSilent && clock.now() - startedAt >= CONFIRMATION_HEDGE_DELAY) views.recordUnreachable(target, clock.now())
        exchange.cancel('request was withdrawn')
      }
    }
  }

  /** What a call states about the parents that this node admits. */
  private senderFraction ({ isCall, service }: Requests.EntryRequest): { readonly senderFraction?: number } {
    const senderFraction = isCall ? this.dependencies.dependencyControl.senderFraction(service) : 1
    return senderFraction < 1 ? { senderFraction } : {}
  }

  private outcomeOf (request: Requests.EntryRequest, registration: Registrations.Registration, result: Exchanges.ExchangeResult): HostedRequests.Outcome {
    const { target, host } = registration
    const { clock, views, log, onVersionSeen, dependencyControl } = this.dependencies
    const now = clock.now()
    if (result.kind !== 'answered') log.info('host gave no response', { request: request.id, target, host, mayHaveRun: result.kind === 'lost', detail: result.reason })
    switch (result.kind) {
      case 'not-sent': return { kind: 'refused', reason: 'host-unreachable', retryAfter: views.recordUnreachable(target, now) }
      case 'lost':
        views.recordUnreachable(target, now)
        return { kind: 'failed', reason: 'host-lost', detail: result.reason }
      case 'answered': {
        const { outcome, report } = Forwarding.parseOutcome(result.response)
        if (report !== undefined) {
          views.recordResponse(target, report, now)
          this.learnCost(request, report, report.work?.served)
          this.recordNeighbours(registration, report, now)
          onVersionSeen(report.version, host)
          if (report.isCallRoute === true) dependencyControl.recordCallRoute(request.route.name)
        }
        this.avoidUnavailableTarget(target, outcome)
        if (outcome.kind === 'answered') this.recordLeaving(registration, outcome.response)
        return outcome
      }
    }
  }

  /** Records which neighbours of a host in another data center have tripped circuit breakers. Hosts in this data center send their own reports. */
  private recordNeighbours ({ target, service, dataCenter }: Registrations.Registration, { trippedNearby }: HostReports.HostReport, now: Decisions.Clock.Milliseconds): void {
    const { views, directory, location } = this.dependencies
    if (trippedNearby === undefined || dataCenter === location.dataCenter) return
    const tripped = new Set(trippedNearby)
    for (const other of directory.readyTargets(service)) {
      if (other.dataCenter === dataCenter && other.target !== target) views.recordBreakerState(other.target, tripped.has(other.target), now)
    }
  }

  /** Keeps requests away from a target that is leaving even if its host is restarted and does not know that. */
  private recordLeaving (registration: Registrations.Registration, response: Exchanges.Response): void {
    const { dialect, directory, log } = this.dependencies
    const { target, incarnation } = registration
    if (!dialect.readTargetMetadata(response).isLeaving || !directory.merge({ ...registration, state: 'leaving' })) return
    log.info('target states in its responses that it is leaving', { target, incarnation })
  }

  /** Avoids a target that takes no request now: until its limit allows one, or the directory has been updated, which takes up to a second. */
  private avoidUnavailableTarget (target: Decisions.Ids.TargetId, outcome: HostedRequests.Outcome): void {
    if (outcome.kind !== 'refused') return
    switch (outcome.reason) {
      case 'target-limited':
        this.dependencies.views.avoid(target, Decisions.Clock.milliseconds(outcome.retryAfter), this.dependencies.clock.now())
        break
      case 'node-leaving':
      case 'target-unknown':
      case 'target-leaving':
      case 'target-changed':
      case 'target-unreachable':
        this.dependencies.views.avoid(target, ABSENT_TARGET_PAUSE, this.dependencies.clock.now())
        break
      default: break
    }
  }
}

export function costKeyOf ({ route, account, body }: Requests.EntryRequest): CostTables.CostKey {
  return { route: route.name, account, sizeClass: CostTables.sizeClassOf(body.length) }
}

/** Outcome of a withdrawn attempt. One that was not sent has certainly not run. */
function withdrawnOutcome (result: Exchanges.ExchangeResult): HostedRequests.Outcome {
  return result.kind === 'not-sent' ? { kind: 'refused', reason: 'too-late', retryAfter: 0 } : { kind: 'withdrawn' }
}
