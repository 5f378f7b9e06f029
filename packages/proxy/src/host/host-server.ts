/** HTTP handler for requests that other nodes forward to the local target. */
import type * as Http from 'node:http'
import * as Decisions from '@jasminedale/decisions'
import type * as DependencyControls from '../dependencies/dependency-control.js'
import type * as Directories from '../directory/directory.js'
import * as HostViews from '../entry/host-views.js'
import type * as Memories from '../resources/memory.js'
import type * as Settings from '../settings.js'
import type * as Dialects from '../transport/dialect.js'
import * as Forwarding from './forwarding.js'
import type * as Hosts from './host.js'
import type * as HostedRequests from './hosted-request.js'

/** Only bounds memory: entry nodes enforce the configured limit before they forward a request. */
const BODY_LIMIT_BYTES = 67_108_864
const STATUS_FORBIDDEN = 403

export interface HostServerDependencies {
  readonly clock: Decisions.Clock.Clock
  readonly dialect: Dialects.Dialect
  readonly host: Hosts.Host
  readonly dependencyControl: Pick<DependencyControls.DependencyControl, 'consistsOfCalls'>
  readonly directory: Directories.Directory
  readonly views: HostViews.HostViews
  readonly memory: Memories.Memory
  readonly settings: Pick<Settings.ProxySettings, 'location' | 'service'>
}

export class HostServer {
  private openRequests = 0

  constructor (private readonly dependencies: HostServerDependencies) {}

  /** Number of forwarded requests without a response. */
  get inFlight (): number {
    return this.openRequests
  }

  /** The entry node sends the body only after 100 Continue, which tells it that a slot is held. */
  async handle (request: Http.IncomingMessage, response: Http.ServerResponse): Promise<void> {
    const metadata = Forwarding.parseMetadata(request.rawHeaders)
    response.sendDate = false
    if (metadata === undefined) {
      response.writeHead(STATUS_FORBIDDEN, { connection: 'close' }).end()
      return
    }
    this.openRequests += 1
    response.once('close', () => { this.openRequests -= 1 })
    const { host, memory, dependencyControl } = this.dependencies
    const outcome = host.run(this.toHostedRequest(request, response, metadata, async () => {
      response.writeContinue()
      const body = await memory.readRequest(request, response, BODY_LIMIT_BYTES)
      return body.isOk() ? body.value : undefined
    }))
    const { status, headers, body } = Forwarding.formatOutcome(await outcome, {
      ...host.report(), trippedNearby: this.trippedNearby(), ...(dependencyControl.consistsOfCalls(metadata.route) ? { isCallRoute: true } : {})
    })
    if (response.destroyed) return
    request.resume()
    response.writeHead(status, [...headers, 'Content-Length', String(body.length)])
    if (request.method === 'HEAD') response.end()
    else memory.send(response, body)
  }

  /** Targets of this service in this data center whose circuit breakers are tripped, as far as this node knows. */
  private trippedNearby (): Decisions.Ids.TargetId[] {
    const { directory, views, clock, settings: { location, service } } = this.dependencies
    const neighbours = directory.readyTargets(service).filter(registration => registration.dataCenter === location.dataCenter && registration.host !== location.host)
    return neighbours.map(({ target }) => target).filter(target => HostViews.isTripped(views.of(target), clock.now()))
  }

  private toHostedRequest (request: Http.IncomingMessage, response: Http.ServerResponse, metadata: Forwarding.RequestMetadata, commit: HostedRequests.HostedRequest['commit']): HostedRequests.HostedRequest {
    const { clock, dialect } = this.dependencies
    return {
      id: dialect.readCallerMetadata(request.rawHeaders).request ?? Decisions.Ids.requestId(''),
      target: metadata.target,
      callerService: metadata.callerService,
      method: request.method ?? 'GET',
      path: request.url ?? '',
      headers: request.rawHeaders,
      route: metadata.route,
      account: metadata.account,
      isCall: metadata.isCall,
      ...(metadata.senderFraction === undefined ? {} : { senderFraction: metadata.senderFraction }),
      expectation: metadata.expectation,
      repeatable: metadata.repeatable,
      mayBeProbe: metadata.mayBeProbe,
      priority: metadata.priority,
      deadline: Decisions.Clock.add(clock.now(), metadata.remaining),
      latencyObjective: metadata.latencyObjective,
      objectiveDeadline: Decisions.Clock.add(clock.now(), metadata.objectiveRemaining),
      mayQueue: metadata.mayQueue,
      mayBypassBreaker: metadata.mayBypassBreaker,
      // 102 Processing tells the entry node that the request is queued, so that it does not time out the confirmation.
      onQueued: () => { response.writeProcessing() },
      commit,
      onWithdrawn: listener => { response.once('close', () => { if (!response.writableFinished) listener() }) }
    }
  }
}
