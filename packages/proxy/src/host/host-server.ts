/** Takes requests that other nodes forward to the local target. */
import type * as Http from 'node:http'
import * as Decisions from '@jasminedale/decisions'
import type * as Directories from '../directory/directory.js'
import * as HostViews from '../entry/host-views.js'
import type * as Settings from '../settings.js'
import type * as Dialects from '../transport/dialect.js'
import * as Bodies from '../transport/body.js'
import * as Forwarding from './forwarding.js'
import type * as Hosts from './host.js'
import type * as Works from './work.js'

/** Largest body of a forwarded request in bytes; entries apply the operators' limit before. */
const BODY_LIMIT = 67_108_864
const STATUS_FORBIDDEN = 403

export interface HostServerParts {
  readonly clock: Decisions.Clock.Clock
  readonly dialect: Dialects.Dialect
  readonly host: Hosts.Host
  readonly directory: Directories.Directory
  readonly views: HostViews.HostViews
  readonly settings: Pick<Settings.ProxySettings, 'place' | 'service'>
}

export class HostServer {
  private open = 0

  constructor (private readonly parts: HostServerParts) {}

  /** Forwarded requests that are not answered yet. */
  get inFlight (): number {
    return this.open
  }

  /** Handles a request. The sender waits for 100 Continue before it sends the rest. */
  async handle (request: Http.IncomingMessage, response: Http.ServerResponse): Promise<void> {
    const terms = Forwarding.parseTerms(request.rawHeaders)
    response.sendDate = false
    if (terms === undefined) {
      response.writeHead(STATUS_FORBIDDEN, { connection: 'close' }).end()
      return
    }
    this.open += 1
    response.once('close', () => { this.open -= 1 })
    const { host } = this.parts
    const outcome = host.run(this.workOf(request, response, terms, async () => {
      response.writeContinue()
      const body = await Bodies.read(request, BODY_LIMIT)
      return body.isOk() ? body.value : undefined
    }))
    const { status, headers, body } = Forwarding.formatOutcome(await outcome, { ...host.report(), closedNearby: this.closedNearby() })
    if (response.destroyed) return
    request.resume()
    response.writeHead(status, [...headers, 'Content-Length', String(body.length)])
    response.end(request.method === 'HEAD' ? undefined : body)
  }

  /** What this node knows of the gates of its data center, as far as the requester may use those targets. */
  private closedNearby (): Decisions.Ids.TargetId[] {
    const { directory, views, clock, settings: { place, service } } = this.parts
    const near = directory.readyTargets(service).filter(registration => registration.dataCenter === place.dataCenter && registration.host !== place.host)
    return near.map(({ target }) => target).filter(target => HostViews.takesOnlyTrials(views.of(target), clock.now()))
  }

  private workOf (request: Http.IncomingMessage, response: Http.ServerResponse, terms: Forwarding.Terms, commit: Works.Work['commit']): Works.Work {
    const { clock, dialect } = this.parts
    return {
      request: dialect.readCallerMetadata(request.rawHeaders).request ?? Decisions.Ids.requestId(''),
      target: terms.target,
      origin: terms.origin,
      method: request.method ?? 'GET',
      path: request.url ?? '',
      headers: request.rawHeaders,
      repeatable: terms.repeatable,
      mayTry: terms.mayTry,
      priority: terms.priority,
      deadline: Decisions.Clock.add(clock.now(), terms.remaining),
      latencyObjective: terms.latencyObjective,
      usefulUntil: Decisions.Clock.add(clock.now(), terms.useful),
      mayWait: terms.mayWait,
      insists: terms.insists,
      // The sender must not take the wait for a failure.
      queued: () => { response.writeProcessing() },
      commit,
      onWithdrawn: listener => { response.once('close', () => { if (!response.writableFinished) listener() }) }
    }
  }
}
