/** Admission by the services that the local target calls: the state that the host, the entry and the sender of this node share. */
import type * as Decisions from '@jasminedale/decisions'
import * as LruCache from 'lru-cache'
import type * as Directories from '../directory/directory.js'
import type * as HostViews from '../entry/host-views.js'
import type * as Logs from '../observation/log.js'
import type * as Metrics from '../observation/metrics.js'
import type * as ConfigurationStates from '../state/configuration-state.js'
import * as AdmissionFractions from './admission-fraction.js'
import * as CallRates from './call-rates.js'
import * as FractionTables from './fraction-table.js'
import * as ParentAdmissions from './parent-admission.js'
import * as RouteCallers from './route-callers.js'
import type * as ServiceFractions from './service-fraction.js'

/** Time in ms for which an entry takes the requests of a route as calls after a host stated so; some calls of one target. */
const CALL_ROUTE_LIFETIME_MS = 10_000
const CALL_ROUTES_MAXIMUM = 512
/** Shortest time in ms between two log lines of one kind. */
const LOG_INTERVAL_MS = 1_000
/** Change of the fraction that is logged. */
const LOGGED_CHANGE = 0.2

export interface DependencyControlDependencies {
  readonly clock: Decisions.Clock.Clock
  readonly configuration: Pick<ConfigurationStates.ConfigurationState, 'current'>
  readonly directory: Pick<Directories.Directory, 'readyTargets' | 'readyCount'>
  readonly views: Pick<HostViews.HostViews, 'of'>
  readonly log: Logs.Log
  readonly metrics: Pick<Metrics.Metrics, 'recordDependencyRefusal' | 'setAdmissionFraction'>
}

/** What is known of a request at the host of its target. */
export interface ObservedRequest extends ParentAdmissions.ParentRequest {
  readonly isCall: boolean
  /** Missing from nodes that do not thin parents. */
  readonly senderFraction?: number
}

export class DependencyControl {
  private readonly dependencies: DependencyControlDependencies
  private readonly rates = new CallRates.CallRates()
  private readonly demand = new AdmissionFractions.AdmissionFraction()
  private readonly fractions = new FractionTables.FractionTable((service, now) => this.reportsOf(service, now))
  private readonly admission = new ParentAdmissions.ParentAdmission(this.rates)
  private readonly callers = new RouteCallers.RouteCallers()
  /** When hosts last stated that a route consists of calls. */
  private readonly callRoutes = new LruCache.LRUCache<string, Decisions.Clock.Milliseconds>({ max: CALL_ROUTES_MAXIMUM })
  /** Routes that this host has last recognized as calls. */
  private readonly loggedRoutes = new LruCache.LRUCache<string, Decisions.Ids.Service>({ max: CALL_ROUTES_MAXIMUM })
  private routeLoggedAt = -LOG_INTERVAL_MS
  private loggedFraction = 1
  private fractionLoggedAt = -LOG_INTERVAL_MS
  private refusalLoggedAt = -LOG_INTERVAL_MS
  private unloggedRefusals = 0

  constructor (dependencies: DependencyControlDependencies) {
    this.dependencies = dependencies
  }

  get isEnabled (): boolean {
    return this.dependencies.configuration.current?.features.admitsByDependencies === true
  }

  /** The refusal of a request that is not a call, or undefined if it may start. */
  check (request: ObservedRequest): ParentAdmissions.ParentRefusal | undefined {
    if (request.isCall || !this.isEnabled) return undefined
    const now = this.dependencies.clock.now()
    const refusal = this.admission.check(request, service => this.fractions.current(service, now), now)
    if (refusal !== undefined) this.reportRefusal(request, refusal, now)
    return refusal
  }

  /** Records that a request began to run on the local target. Returns what to call with its end. */
  recordStart ({ route, isCall }: ObservedRequest): (wasRun: boolean) => void {
    if (!this.isEnabled) return () => { /* Nothing is learned. */ }
    const startedAt = this.dependencies.clock.now()
    this.rates.recordStart(route, startedAt)
    return wasRun => {
      const now = this.dependencies.clock.now()
      this.rates.recordEnd(route, startedAt, now)
      if (wasRun) this.demand.recordRun(isCall, now - startedAt)
    }
  }

  /** Records a request of the local target to a service. */
  recordCall (service: Decisions.Ids.Service): void {
    if (this.isEnabled) this.rates.recordCall(service, this.dependencies.clock.now())
  }

  /** Records a request that the local target takes, or has no time for. */
  recordOffer ({ isCall, senderFraction = 1 }: ObservedRequest, wasRefused: boolean): void {
    this.demand.recordOffer({ isCall, senderFraction }, wasRefused, this.dependencies.clock.now())
  }

  /** Records that a request waits for a slot. Returns what to call when it no longer does. */
  recordWaiting ({ isCall }: ObservedRequest): () => void {
    if (isCall) this.demand.recordWaiting(1)
    return () => { if (isCall) this.demand.recordWaiting(-1) }
  }

  /** Discards what was learned of an earlier process of the local target. */
  resetTarget (): void {
    this.demand.resetCosts()
  }

  /** Fraction of the calls for which the local target has room; undefined when it is not reported. */
  fraction (capacity: AdmissionFractions.Capacity): number | undefined {
    if (!this.isEnabled) return undefined
    const now = this.dependencies.clock.now()
    const fraction = this.demand.current(capacity, now)
    this.reportFraction(Math.min(1, fraction), now)
    return fraction
  }

  /** Fraction of the parents of present calls to a service that this node admits. */
  senderFraction (service: Decisions.Ids.Service): number {
    return this.isEnabled && this.rates.isCalled(service) ? this.fractions.lagged(service, this.dependencies.clock.now()) : 1
  }

  /** Records at the host from which service's VM a request of a route comes. Only without client accounts, whose keys tell calls from other requests. */
  recordCaller ({ route, callerService }: { readonly route: string, readonly callerService: Decisions.Ids.Service }): void {
    if (this.recognizesCalls) this.callers.record(route, callerService, this.dependencies.clock.now())
  }

  /** Whether all requests of a route at this host are calls of the targets of one service. */
  consistsOfCalls (route: string): boolean {
    if (!this.recognizesCalls) return false
    const { directory, clock } = this.dependencies
    const now = clock.now()
    const caller = this.callers.callerOf(route, service => ({ ofService: directory.readyTargets(service).length, total: directory.readyCount }), now)
    this.reportRoute(route, caller, now)
    return caller !== undefined
  }

  /** Records at the entry that a host states that a route consists of calls. */
  recordCallRoute (route: string): void {
    this.callRoutes.set(route, this.dependencies.clock.now())
  }

  /** Whether requests of the route at this entry are calls, as hosts have stated lately. */
  isCallRoute (route: string): boolean {
    const statedAt = this.callRoutes.get(route)
    return statedAt !== undefined && this.recognizesCalls && this.dependencies.clock.now() - statedAt <= CALL_ROUTE_LIFETIME_MS
  }

  private get recognizesCalls (): boolean {
    return this.isEnabled && this.dependencies.configuration.current?.accounts === undefined
  }

  private* reportsOf (service: Decisions.Ids.Service, now: Decisions.Clock.Milliseconds): Iterable<ServiceFractions.FractionReport> {
    const { directory, views } = this.dependencies
    const targets = directory.readyTargets(service)
    // A target that answers with errors looks idle, and the calls that it does not get add to the demand of the others.
    const healthy = targets.filter(({ target }) => views.of(target).report?.timeUntilProbe === undefined)
    for (const { target, slots } of healthy.length > 0 ? healthy : targets) {
      const { report, reportedAt } = views.of(target)
      if (report !== undefined) yield { slots, fraction: report.admissionFraction ?? 1, age: now - reportedAt }
    }
  }

  private reportRefusal ({ route }: ObservedRequest, { service, fraction, age, retryAfter }: ParentAdmissions.ParentRefusal, now: Decisions.Clock.Milliseconds): void {
    this.dependencies.metrics.recordDependencyRefusal(route, service)
    this.unloggedRefusals += 1
    if (now - this.refusalLoggedAt < LOG_INTERVAL_MS) return
    this.dependencies.log.info('request refused, since a service that its route calls is full', {
      route, service, fraction: round(fraction), age: Math.round(age), retryAfter, refusals: this.unloggedRefusals
    })
    this.refusalLoggedAt = now
    this.unloggedRefusals = 0
  }

  private reportRoute (route: string, service: Decisions.Ids.Service | undefined, now: Decisions.Clock.Milliseconds): void {
    if (this.loggedRoutes.get(route) === service || now - this.routeLoggedAt < LOG_INTERVAL_MS) return
    this.routeLoggedAt = now
    if (service === undefined) this.loggedRoutes.delete(route)
    else this.loggedRoutes.set(route, service)
    this.dependencies.log.info(service === undefined ? 'route no longer recognized as calls' : 'route recognized as calls', { route, service })
  }

  private reportFraction (fraction: number, now: Decisions.Clock.Milliseconds): void {
    this.dependencies.metrics.setAdmissionFraction(fraction)
    const change = Math.abs(fraction - this.loggedFraction)
    if (change < LOGGED_CHANGE || now - this.fractionLoggedAt < LOG_INTERVAL_MS) return
    this.dependencies.log.info('admission fraction of the local target changed', { fraction: round(fraction), before: round(this.loggedFraction) })
    this.loggedFraction = fraction
    this.fractionLoggedAt = now
  }
}

function round (fraction: number): number {
  return Math.round(fraction * 100) / 100
}
