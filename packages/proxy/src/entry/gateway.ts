/** HTTP handler for requests of callers: matches the route, dispatches the request and writes the answer. */
import * as Http from 'node:http'
import type * as Net from 'node:net'
import * as Decisions from '@jasminedale/decisions'
import * as Forwarding from '../host/forwarding.js'
import type * as Hosts from '../host/host.js'
import type * as Logs from '../observation/log.js'
import type * as Metrics from '../observation/metrics.js'
import type * as Quarantines from '../quarantine/quarantine.js'
import type * as DestinationChoosers from '../routes/destination-chooser.js'
import type * as Routes from '../routes/route.js'
import type * as Settings from '../settings.js'
import type * as ConfigurationStates from '../state/configuration-state.js'
import * as Bodies from '../transport/body.js'
import type * as Dialects from '../transport/dialect.js'
import * as Headers from '../transport/headers.js'
import type * as Answers from './answer.js'
import * as CallerConnections from './caller-connection.js'
import * as Dispatches from './dispatch.js'
import type * as Requests from './request.js'

/** Deadline of requests for which the caller gave none. */
const DEADLINE_DEFAULT = Decisions.Clock.seconds(10)
/** Time after which callers may retry when this node has no current configuration, or the route no destination. */
const STARTING_RETRY_AFTER_MS = 500
/** Time after the deadline within which the last answers are sent. */
const ANSWER_MARGIN_MS = 100
const STATUS_BAD_REQUEST = 400
const STATUS_NOT_FOUND = 404
/** Status by the code of the HTTP library's error. */
const MALFORMED_STATUSES: Readonly<Record<string, number>> = { HPE_HEADER_OVERFLOW: 431, ERR_HTTP_REQUEST_TIMEOUT: 408 }
const STATUS_TOO_LARGE = 413
const SERVER_ERROR = 500
const STATUS_BAD_GATEWAY = 502
const STATUS_UNAVAILABLE = 503
const STATUS_GATEWAY_TIMEOUT = 504
/** Statuses whose responses must not have a body or a length. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

export interface GatewayDependencies extends Dispatches.DispatchDependencies {
  readonly dialect: Dialects.Dialect
  readonly log: Logs.Log
  readonly metrics: Metrics.Metrics
  readonly configuration: ConfigurationStates.ConfigurationState
  readonly destinationChooser: DestinationChoosers.DestinationChooser
  readonly host: Pick<Hosts.Host, 'recordFailedCall'>
  readonly quarantine: Pick<Quarantines.Quarantine, 'recordBlock' | 'blockedFor'>
  readonly settings: Pick<Settings.ProxySettings, 'service'>
}

interface InboundRequest {
  readonly request: Http.IncomingMessage
  readonly response: Http.ServerResponse
  readonly arrivedAt: Decisions.Clock.Milliseconds
  readonly id: Decisions.Ids.RequestId
}

/** Answer to a request that is not dispatched. */
interface Rejection {
  readonly status: number
  readonly reason: string
  readonly retryAfter?: number
}

/** Phases of a planned stop. */
export interface Drain {
  /** From then on requests are refused that may last until the node ends. */
  readonly refusesLongRequestsAt: Decisions.Clock.Milliseconds
  readonly endsAt: Decisions.Clock.Milliseconds
}

export class Gateway {
  private readonly reservedFields: ReadonlySet<string>
  private drain: Drain | undefined
  private openRequests = 0
  private readonly connections = new CallerConnections.CallerConnections()

  constructor (private readonly dependencies: GatewayDependencies) {
    this.reservedFields = new Set([...dependencies.dialect.reservedFields, ...Forwarding.INTERNAL_HEADERS])
  }

  /** Number of requests without a response. */
  get inFlight (): number {
    return this.openRequests
  }

  /** Closes connections with their next response from now on, so that callers connect to another node. */
  startDraining (drain: Drain): void {
    this.drain = drain
  }

  async handle (request: Http.IncomingMessage, response: Http.ServerResponse): Promise<void> {
    const { dialect, clock } = this.dependencies
    const callerMetadata = dialect.readCallerMetadata(request.rawHeaders)
    const inbound = { request, response, arrivedAt: clock.now(), id: callerMetadata.request ?? Decisions.Ids.requestId('') }
    this.countUntilEnd(request, response)
    const path = request.url ?? ''
    const route = this.routeOf(request, path)
    if ('status' in route) {
      request.resume()
      // The end of a request without a body is read after its head, and only then may the connection be kept.
      await Promise.resolve()
      this.reject(inbound, route)
      return
    }
    const limit = this.dependencies.configuration.current?.limits.bodyBytes ?? 0
    const body = await Bodies.read(request, limit)
    if (body.isErr()) {
      if (body.error.kind === 'too-large') this.reject(inbound, { status: STATUS_TOO_LARGE, reason: 'body-too-large' })
      else this.dependencies.log.info('caller left before its request was complete', { request: inbound.id, route: route.name })
      return
    }
    await this.admit(inbound, route, body.value, callerMetadata.remaining ?? DEADLINE_DEFAULT)
  }

  /** Counts the request as open until its response has been written or its connection is closed. */
  private countUntilEnd (request: Http.IncomingMessage, response: Http.ServerResponse): void {
    const connection = this.connections.of(request.socket)
    const state = { isOpen: true }
    const end = (): void => {
      if (!state.isOpen) return
      state.isOpen = false
      this.openRequests -= 1
      connection.removeRequest()
      ignoreClose()
    }
    const ignoreClose = connection.whenClosed(end)
    response.once('close', end)
    this.openRequests += 1
    connection.addRequest(request)
  }

  /** Dispatches a request that was read completely. `callerTimeout` is the time for which the caller waits. */
  private async admit (inbound: InboundRequest, route: Routes.Route, body: Buffer, callerTimeout: Decisions.Clock.Milliseconds): Promise<void> {
    const { request, arrivedAt, id } = inbound
    const [method, path] = [request.method ?? 'GET', request.url ?? '']
    const deadline = Decisions.Clock.add(arrivedAt, Decisions.Clock.milliseconds(Math.min(callerTimeout, route.timeout)))
    if (this.mayOutlast(deadline)) {
      this.reject(inbound, { status: STATUS_UNAVAILABLE, reason: 'node-leaving', retryAfter: STARTING_RETRY_AFTER_MS })
      return
    }
    const blockedFor = this.dependencies.quarantine.blockedFor({ method, path, body })
    if (blockedFor !== undefined) {
      this.reject(inbound, { status: STATUS_UNAVAILABLE, reason: 'request-blocked', retryAfter: blockedFor })
      return
    }
    const service = this.dependencies.destinationChooser.choose(route)
    if (service === undefined) {
      this.reject(inbound, { status: STATUS_UNAVAILABLE, reason: 'no-target', retryAfter: STARTING_RETRY_AFTER_MS })
      return
    }
    if (route.destinations.length > 1) this.dependencies.metrics.recordSplit(route.name, service)
    await this.dispatch(inbound, {
      id,
      method,
      path,
      headers: Headers.endToEndFields(request.rawHeaders, this.reservedFields),
      body,
      route,
      service,
      arrivedAt,
      deadline
    })
  }

  /** Whether this node may end before a request with that deadline has been answered. Earlier requests get the chance to end in time. */
  private mayOutlast (deadline: Decisions.Clock.Milliseconds): boolean {
    const { drain } = this
    return drain !== undefined && this.dependencies.clock.now() >= drain.refusesLongRequestsAt && deadline + ANSWER_MARGIN_MS > drain.endsAt
  }

  /**
   * Handles bytes of a caller that are no request, or a head that did not arrive in time. Requests in flight on the
   * connection are answered first: a rejection would reach the caller as the answer to the first of them.
   */
  rejectMalformed (error: NodeJS.ErrnoException, socket: Net.Socket): void {
    // The HTTP library also reports that the caller has reset the connection.
    if (!socket.writable) {
      socket.destroy()
      return
    }
    const connection = this.connections.of(socket)
    if (!connection.markBroken()) return
    const status = MALFORMED_STATUSES[error.code ?? ''] ?? STATUS_BAD_REQUEST
    this.dependencies.log.info('bytes of a caller are no request', { code: error.code, status, answerable: connection.answerable })
    if (connection.answerable > 0) return
    socket.write(`HTTP/1.1 ${status} ${Http.STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`)
    socket.destroy()
  }

  private routeOf (request: Http.IncomingMessage, path: string): Routes.Route | Rejection {
    const { configuration } = this.dependencies
    const table = configuration.table
    if (table === undefined) return { status: STATUS_UNAVAILABLE, reason: 'node-starting', retryAfter: STARTING_RETRY_AFTER_MS }
    if (!path.startsWith('/')) return { status: STATUS_BAD_REQUEST, reason: 'request-malformed' }
    const route = table.match(request.headers.host ?? '', path)
    if (route !== undefined) return route
    // A node with an outdated configuration cannot tell that the route does not exist.
    if (!configuration.isCurrent(this.dependencies.clock.now())) return { status: STATUS_UNAVAILABLE, reason: 'node-starting', retryAfter: STARTING_RETRY_AFTER_MS }
    return { status: STATUS_NOT_FOUND, reason: 'route-unknown' }
  }

  private async dispatch (inbound: InboundRequest, entry: Requests.EntryRequest): Promise<void> {
    const dispatch = new Dispatches.Dispatch(entry, this.dependencies)
    const ignoreClose = this.connections.of(inbound.request.socket).whenClosed(() => { dispatch.abandon() })
    const answer = await dispatch.answer
    ignoreClose()
    // Callers include the backend server on this VM. If a call of its own fails, it may respond with an error that is not its fault.
    if (entry.service !== this.dependencies.settings.service && !isServed(answer)) this.dependencies.host.recordFailedCall()
    const elapsed = Math.round(this.dependencies.clock.now() - entry.arrivedAt)
    this.dependencies.metrics.recordRequest(entry.service, answer.kind, elapsed)
    const { configuration } = this.dependencies
    this.dependencies.log.info(`request ended: ${answer.kind}`, {
      request: entry.id, route: entry.route.name, service: entry.service, ...describe(answer), elapsed,
      limit: Math.round(entry.deadline - entry.arrivedAt),
      attempts: dispatch.attemptRecords.map(record => `${record.target}:${record.result}`),
      version: configuration.current?.version, versionAge: Math.round(configuration.contactAge(this.dependencies.clock.now()))
    })
    this.answer(inbound, answer)
  }

  private answer (inbound: InboundRequest, answer: Answers.Answer): void {
    const { dialect } = this.dependencies
    switch (answer.kind) {
      case 'response':
        this.write(inbound, answer.response.status, Headers.endToEndFields(answer.response.headers, Forwarding.INTERNAL_HEADERS), answer.response.body, answer.response.isFramed)
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

  private reject (inbound: InboundRequest, rejection: Rejection): void {
    const { dialect, log, configuration, clock } = this.dependencies
    log.info('request rejected', {
      request: inbound.id, status: rejection.status, reason: rejection.reason, host: inbound.request.headers.host, path: inbound.request.url,
      version: configuration.current?.version, versionAge: Math.round(configuration.contactAge(clock.now()))
    })
    const retry = rejection.retryAfter === undefined ? [] : dialect.retryFields(Decisions.Clock.milliseconds(rejection.retryAfter))
    this.write(inbound, rejection.status, [...dialect.answerFields(inbound.id), ...retry], Bodies.EMPTY)
  }

  private write ({ request, response }: InboundRequest, status: number, headers: readonly string[], body: Buffer, isFramed = true): void {
    if (response.destroyed) return
    const fields = [...headers]
    // The target sent no length, so the body may be truncated. It is sent without a length too, so that it does not look complete.
    if (!isFramed) response.useChunkedEncodingByDefault = false
    else if (!BODYLESS_STATUSES.has(status)) fields.push('Content-Length', String(body.length))
    // Closing the connection would lose pipelined requests behind this one.
    const connection = this.connections.of(request.socket)
    if (!request.complete || connection.mustClose || (this.drain !== undefined && connection.hasOneAnswerLeft)) fields.push('Connection', 'close')
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
