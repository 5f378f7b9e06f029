/** Takes requests of callers, serves them and answers. */
import type * as Http from 'node:http'
import type * as Net from 'node:net'
import * as Decisions from '@jasminedale/decisions'
import * as Forwarding from '../host/forwarding.js'
import type * as Hosts from '../host/host.js'
import type * as Logs from '../observation/log.js'
import type * as Metrics from '../observation/metrics.js'
import type * as Routes from '../routes/route.js'
import * as RouteTables from '../routes/route-table.js'
import type * as Settings from '../settings.js'
import type * as ConfigurationStates from '../state/configuration-state.js'
import * as Bodies from '../transport/body.js'
import type * as Dialects from '../transport/dialect.js'
import * as Headers from '../transport/headers.js'
import type * as Answers from './answer.js'
import * as Dispatches from './dispatch.js'
import type * as Requests from './request.js'

/** Deadline of a request that names none. */
const DEADLINE_DEFAULT = Decisions.Clock.seconds(10)
/** Pause for callers of a node that has no current configuration. */
const STARTING_RETRY = 500
const STATUS_BAD_REQUEST = 400
const STATUS_NOT_FOUND = 404
const STATUS_TOO_LARGE = 413
const SERVER_ERROR = 500
const STATUS_BAD_GATEWAY = 502
const STATUS_UNAVAILABLE = 503
const STATUS_GATEWAY_TIMEOUT = 504
/** Statuses whose responses have no body and no length. */
const BODYLESS: ReadonlySet<number> = new Set([204, 304])

export interface GatewayParts extends Dispatches.DispatchParts {
  readonly dialect: Dialects.Dialect
  readonly log: Logs.Log
  readonly metrics: Metrics.Metrics
  readonly configuration: ConfigurationStates.ConfigurationState
  readonly random: Decisions.Random.Random
  readonly host: Pick<Hosts.Host, 'callFailed'>
  readonly settings: Pick<Settings.ProxySettings, 'service'>
}

interface Inbound {
  readonly request: Http.IncomingMessage
  readonly response: Http.ServerResponse
  readonly arrivedAt: Decisions.Clock.Milliseconds
  readonly id: Decisions.Ids.RequestId
}

/** How a request is answered without being dispatched. */
interface Rejection {
  readonly status: number
  readonly reason: string
  readonly retryAfter?: number
}

export class Gateway {
  private readonly reserved: ReadonlySet<string>
  private leaving = false
  private open = 0
  /** Unanswered requests of each connection. */
  private readonly pending = new WeakMap<Net.Socket, number>()

  constructor (private readonly parts: GatewayParts) {
    this.reserved = new Set([...parts.dialect.reservedFields, ...Forwarding.BETWEEN_NODES])
  }

  /** Requests that are not answered yet. */
  get inFlight (): number {
    return this.open
  }

  /** Asks callers to use new connections elsewhere: every answer ends its connection from now on. */
  startDraining (): void {
    this.leaving = true
  }

  async handle (request: Http.IncomingMessage, response: Http.ServerResponse): Promise<void> {
    const { dialect, clock } = this.parts
    const terms = dialect.readCallerMetadata(request.rawHeaders)
    const inbound = { request, response, arrivedAt: clock.now(), id: terms.request ?? Decisions.Ids.requestId('') }
    this.count(request.socket, 1)
    response.once('close', () => { this.count(request.socket, -1) })
    const path = request.url ?? ''
    const route = this.routeOf(request, path)
    if ('status' in route) {
      request.resume()
      this.reject(inbound, route)
      return
    }
    const limit = this.parts.configuration.current?.limits.bodyBytes ?? 0
    const body = await Bodies.read(request, limit)
    if (body.isErr()) {
      if (body.error.kind === 'too-large') this.reject(inbound, { status: STATUS_TOO_LARGE, reason: 'body-too-large' })
      else this.parts.log.info('caller left before its request was complete', { request: inbound.id, route: route.name })
      return
    }
    const service = RouteTables.chooseDestination(route, this.parts.random)
    if (service === undefined) {
      this.reject(inbound, { status: STATUS_UNAVAILABLE, reason: 'no-target', retryAfter: STARTING_RETRY })
      return
    }
    const remaining = Math.min(terms.remaining ?? DEADLINE_DEFAULT, route.timeout)
    await this.dispatch(inbound, {
      id: inbound.id,
      method: request.method ?? 'GET',
      path,
      headers: Headers.endToEndFields(request.rawHeaders, this.reserved),
      body: body.value,
      route,
      service,
      arrivedAt: inbound.arrivedAt,
      deadline: Decisions.Clock.add(inbound.arrivedAt, Decisions.Clock.milliseconds(remaining))
    })
  }

  private routeOf (request: Http.IncomingMessage, path: string): Routes.Route | Rejection {
    const { configuration } = this.parts
    const table = configuration.table
    if (table === undefined) return { status: STATUS_UNAVAILABLE, reason: 'node-starting', retryAfter: STARTING_RETRY }
    if (!path.startsWith('/')) return { status: STATUS_BAD_REQUEST, reason: 'request-malformed' }
    const route = table.match(request.headers.host ?? '', path)
    if (route !== undefined) return route
    // A node that may have missed a configuration cannot know that the route does not exist.
    if (!configuration.isCurrent(this.parts.clock.now())) return { status: STATUS_UNAVAILABLE, reason: 'node-starting', retryAfter: STARTING_RETRY }
    return { status: STATUS_NOT_FOUND, reason: 'route-unknown' }
  }

  private count (socket: Net.Socket, change: number): void {
    this.open += change
    this.pending.set(socket, (this.pending.get(socket) ?? 0) + change)
  }

  private async dispatch (inbound: Inbound, entry: Requests.EntryRequest): Promise<void> {
    const dispatch = new Dispatches.Dispatch(entry, this.parts)
    inbound.response.once('close', () => { if (!inbound.response.writableFinished) dispatch.abandon() })
    const answer = await dispatch.answer
    // The backend server of this VM makes its calls here too, and answers with an error when one fails.
    if (entry.service !== this.parts.settings.service && !isServed(answer)) this.parts.host.callFailed()
    const elapsed = Math.round(this.parts.clock.now() - entry.arrivedAt)
    this.parts.metrics.recordRequest(entry.service, answer.kind, elapsed)
    const { configuration } = this.parts
    this.parts.log.info(`request ended: ${answer.kind}`, {
      request: entry.id, route: entry.route.name, service: entry.service, ...describe(answer), elapsed,
      limit: Math.round(entry.deadline - entry.arrivedAt),
      attempts: dispatch.steps.map(step => `${step.target}:${step.result}`),
      version: configuration.current?.version, versionAge: Math.round(configuration.contactAge(this.parts.clock.now()))
    })
    this.answer(inbound, answer)
  }

  private answer (inbound: Inbound, answer: Answers.Answer): void {
    const { dialect } = this.parts
    switch (answer.kind) {
      case 'response':
        this.write(inbound, answer.response.status, Headers.endToEndFields(answer.response.headers, Forwarding.BETWEEN_NODES), answer.response.body, answer.response.isFramed)
        break
      case 'not-run':
        this.write(inbound, STATUS_UNAVAILABLE, [
          ...dialect.answerFields(inbound.id), ...dialect.retryFields(Decisions.Clock.milliseconds(answer.retryAfter))
        ], Bodies.EMPTY)
        break
      case 'unknown':
        this.write(inbound, answer.reason === 'timed-out' ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY, dialect.answerFields(inbound.id), Bodies.EMPTY)
        break
      case 'abandoned':
        break
    }
  }

  private reject (inbound: Inbound, rejection: Rejection): void {
    const { dialect, log, configuration, clock } = this.parts
    log.info('request rejected', {
      request: inbound.id, status: rejection.status, reason: rejection.reason, host: inbound.request.headers.host, path: inbound.request.url,
      version: configuration.current?.version, versionAge: Math.round(configuration.contactAge(clock.now()))
    })
    const retry = rejection.retryAfter === undefined ? [] : dialect.retryFields(Decisions.Clock.milliseconds(rejection.retryAfter))
    this.write(inbound, rejection.status, [...dialect.answerFields(inbound.id), ...retry], Bodies.EMPTY)
  }

  private write ({ request, response }: Inbound, status: number, headers: readonly string[], body: Buffer, framed = true): void {
    if (response.destroyed) return
    const fields = [...headers]
    // A body that may have been cut off unnoticed must not look complete: it ends with the connection here too.
    if (!framed) response.useChunkedEncodingByDefault = false
    else if (!BODYLESS.has(status)) fields.push('Content-Length', String(body.length))
    // Requests behind this one on the connection would be lost with it.
    const last = (this.pending.get(request.socket) ?? 0) <= 1
    if (!request.complete || (this.leaving && last)) fields.push('Connection', 'close')
    response.sendDate = false
    response.writeHead(status, fields)
    response.end(request.method === 'HEAD' ? undefined : body)
  }
}

function isServed (answer: Answers.Answer): boolean {
  return answer.kind === 'response' && answer.response.status < SERVER_ERROR
}

function describe (answer: Answers.Answer): Readonly<Record<string, string | number>> {
  switch (answer.kind) {
    case 'response': return { status: answer.response.status }
    case 'not-run': return { reason: answer.reason, retryAfter: Math.round(answer.retryAfter) }
    case 'unknown': return { reason: answer.reason }
    case 'abandoned': return {}
  }
}
