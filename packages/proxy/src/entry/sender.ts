/** Makes one attempt at a chosen target, on this node or through the target's host. */
import * as Decisions from '@jasminedale/decisions'
import type * as Directories from '../directory/directory.js'
import type * as Registrations from '../directory/registration.js'
import * as Forwarding from '../host/forwarding.js'
import type * as HostReports from '../host/host-report.js'
import type * as Hosts from '../host/host.js'
import type * as Works from '../host/work.js'
import type * as ConnectionPools from '../transport/connection-pool.js'
import * as Exchanges from '../transport/exchange.js'
import type * as Requests from './request.js'
import type * as HostViews from './host-views.js'
import type * as TargetSelectors from './target-selector.js'

/** Time for a connection to another node; round trips take up to 16 ms, and a slowed VM several times that. */
const CONNECT_TIMEOUT = Decisions.Clock.milliseconds(250)
/**
 * Time after which a host that has neither confirmed a request nor queued it is given a competitor: round trips take
 * up to 16 ms, and a VM whose processor share is used up stands still for up to 50 ms.
 */
export const SILENT_HOST = Decisions.Clock.milliseconds(60)
/** Time for a host to confirm a request or to say that it waits in its queue. */
const CONFIRM_TIMEOUT = Decisions.Clock.milliseconds(300)
/** A response that has begun to arrive by the deadline may take this much longer between nodes. */
const ARRIVAL_MARGIN = Decisions.Clock.milliseconds(40)
const RESPONSE_LIMIT = 67_108_864
/** Pause after a host said that it does not serve the target. */
const ABSENT_PAUSE = Decisions.Clock.seconds(1)

export interface SenderParts {
  readonly clock: Decisions.Clock.Clock
  readonly host: Hosts.Host
  readonly place: TargetSelectors.NodeLocation
  readonly origin: Decisions.Ids.Service
  readonly views: HostViews.HostViews
  readonly directory: Directories.Directory
  readonly connections: ConnectionPools.ConnectionPool
  /** Called with the version that another node has in force. */
  readonly onVersionSeen: (version: Decisions.Ids.Version, address: Decisions.Ids.Endpoint) => void
}

/** An attempt that can be withdrawn. */
export interface Sending {
  readonly target: Decisions.Ids.TargetId
  readonly outcome: Promise<Works.Outcome>
  /** Whether the request was last known to wait at its host and not to run. */
  isQueued (): boolean
  withdraw (): void
}

/** What an attempt asks of the host. */
export interface SendTerms {
  /** Called once the host holds a slot; the request is sent if it returns true, and certainly does not run otherwise. */
  readonly confirm: () => boolean
  /** Another target is left if this one fails, so that the request may be the trial of a target that has failed. */
  readonly mayTry: boolean
  /** The request may queue there. */
  readonly mayWait: boolean
  /** The target is to be tried although it has just failed. */
  readonly insists: boolean
}

export class Sender {
  constructor (private readonly parts: SenderParts) {}

  send (request: Requests.EntryRequest, registration: Registrations.Registration, terms: SendTerms): Sending {
    const view = this.parts.views.of(registration.target)
    view.inFlight += 1
    const sending = registration.host === this.parts.place.host
      ? this.sendLocally(request, registration, terms)
      : this.forward(request, registration, terms)
    void sending.outcome.finally(() => { view.inFlight -= 1 })
    return sending
  }

  private sendLocally (request: Requests.EntryRequest, registration: Registrations.Registration, { confirm, mayTry, mayWait, insists }: SendTerms): Sending {
    const listeners: (() => void)[] = []
    const state = { queued: false }
    const { target } = registration
    const { host, clock, views, origin } = this.parts
    const outcome = host.run({
      request: request.id,
      target,
      origin,
      method: request.method,
      path: request.path,
      headers: request.headers,
      repeatable: request.route.repeatable,
      mayTry,
      priority: request.route.priority,
      deadline: request.deadline,
      latencyObjective: request.route.latencyObjective,
      usefulUntil: Decisions.Clock.add(request.arrivedAt, request.route.latencyObjective),
      mayWait,
      insists,
      queued: () => { state.queued = true },
      commit: () => {
        state.queued = false
        return Promise.resolve(confirm() ? request.body : undefined)
      },
      onWithdrawn: listener => { listeners.push(listener) }
    }).then(ended => {
      views.reported(target, host.report(), clock.now())
      this.absent(target, ended)
      return ended
    })
    return { target, outcome, isQueued: () => state.queued, withdraw: () => { for (const listener of listeners) listener() } }
  }

  private forward (request: Requests.EntryRequest, registration: Registrations.Registration, { confirm, mayTry, mayWait, insists }: SendTerms): Sending {
    const { clock, connections, origin, views } = this.parts
    const { target } = registration
    const remaining = Decisions.Clock.between(clock.now(), request.deadline)
    const fields = Forwarding.formatTerms({
      target, remaining, latencyObjective: request.route.latencyObjective,
      useful: Decisions.Clock.milliseconds(Math.max(0, request.arrivedAt + request.route.latencyObjective - clock.now())), priority: request.route.priority,
      repeatable: request.route.repeatable, mayTry, mayWait, insists, origin
    })
    const exchange = new Exchanges.Exchange({
      address: registration.host,
      method: request.method,
      path: request.path,
      headers: [...request.headers, ...fields],
      body: request.body,
      timeout: Decisions.Clock.add(remaining, ARRIVAL_MARGIN),
      connectTimeout: Decisions.Clock.milliseconds(Math.min(CONNECT_TIMEOUT, remaining)),
      maximumResponseBytes: RESPONSE_LIMIT,
      connections,
      awaitsConfirmation: true,
      mayCommit: confirm,
      confirmationTimeout: Decisions.Clock.milliseconds(Math.min(CONFIRM_TIMEOUT, remaining))
    })
    const startedAt = clock.now()
    let withdrawn = false
    const outcome = exchange.result.then(end => withdrawn ? withdrawal(end) : this.read(registration, end))
    return {
      target,
      outcome,
      isQueued: () => exchange.isQueued,
      withdraw: () => {
        withdrawn = true
        // Another host was faster than this one; the next request does not wait for it again.
        if (exchange.isSilent && clock.now() - startedAt >= SILENT_HOST) views.unreachable(target, clock.now())
        exchange.cancel('requester withdrew')
      }
    }
  }

  private read (registration: Registrations.Registration, end: Exchanges.ExchangeResult): Works.Outcome {
    const { target, host } = registration
    const { clock, views, onVersionSeen: versionSeen } = this.parts
    const now = clock.now()
    switch (end.kind) {
      case 'not-sent': return { kind: 'refused', reason: 'host-unreachable', retryAfter: views.unreachable(target, now) }
      case 'lost':
        views.unreachable(target, now)
        return { kind: 'failed', reason: 'host-lost', detail: end.reason }
      case 'answered': {
        const { outcome, report } = Forwarding.parseOutcome(end.response)
        if (report !== undefined) {
          views.reported(target, report, now)
          this.learn(registration, report, now)
          versionSeen(report.version, host)
        }
        this.absent(target, outcome)
        return outcome
      }
    }
  }

  /** Takes over what a host in another data center says of its neighbours; those of the own one report themselves. */
  private learn ({ target, service, dataCenter }: Registrations.Registration, { closedNearby }: HostReports.HostReport, now: Decisions.Clock.Milliseconds): void {
    const { views, directory, place } = this.parts
    if (closedNearby === undefined || dataCenter === place.dataCenter) return
    const closed = new Set(closedNearby)
    for (const other of directory.readyTargets(service)) {
      if (other.dataCenter === dataCenter && other.target !== target) views.toldOf(other.target, closed.has(other.target), now)
    }
  }

  /** The directory follows within a second; until then the target is not asked again. */
  private absent (target: Decisions.Ids.TargetId, outcome: Works.Outcome): void {
    if (outcome.kind !== 'refused') return
    switch (outcome.reason) {
      case 'node-leaving':
      case 'target-unknown':
      case 'target-leaving':
      case 'target-changed':
      case 'target-unreachable':
        this.parts.views.avoid(target, ABSENT_PAUSE, this.parts.clock.now())
        break
      default: break
    }
  }
}

/** What a withdrawn attempt proves: without confirmation the host has not run it. */
function withdrawal (end: Exchanges.ExchangeResult): Works.Outcome {
  return end.kind === 'not-sent' ? { kind: 'refused', reason: 'too-late', retryAfter: 0 } : { kind: 'withdrawn' }
}
