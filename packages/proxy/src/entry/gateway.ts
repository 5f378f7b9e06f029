/** HTTP handler for requests of callers: matches the route, dispatches the request and writes the answer. */
import * as Http from 'node:http'
import type * as Net from 'node:net'
import * as Decisions from '@jasminedale/decisions'
import type * as Accounts from '../accounts/account.js'
import * as Authentications from '../accounts/authentication.js'
import * as Forwarding from '../host/forwarding.js'
import type * as DependencyControls from '../dependencies/dependency-control.js'
import type * as Hosts from '../host/host.js'
import type * as Logs from '../observation/log.js'
import type * as Metrics from '../observation/metrics.js'
import type * as Quarantines from '../quarantine/quarantine.js'
import type * as Quotas from '../quotas/quotas.js'
import type * as BodyReaders from '../resources/body-reader.js'
import type * as Contents from '../resources/content.js'
import type * as Memories from '../resources/memory.js'
import type * as DestinationChoosers from '../routes/destination-chooser.js'
import type * as Routes from '../routes/route.js'
import type * as Settings from '../settings.js'
import type * as ConfigurationStates from '../state/configuration-state.js'
import * as Bodies from '../transport/body.js'
import type * as Dialects from '../transport/dialect.js'
import * as Headers from '../transport/headers.js'
import type * as Answers from './answer.js'
import type * as CallerConnections from './caller-connection.js'
import * as Registries from './caller-connection-registry.js'
import * as Dispatches from './dispatch.js'
import * as InboundRequests from './inbound-request.js'
import type * as Requests from './request.js'

/** Deadline of requests for which the caller gave none. */
const DEADLINE_DEFAULT = Decisions.Clock.seconds(10)
/** Time after which callers may retry when this node has no current configuration, or the route no destination. */
const STARTING_RETRY_AFTER_MS = 500
/** Time after the deadline within which the last answers are sent. */
const ANSWER_MARGIN_MS = 100
const STATUS_BAD_REQUEST = 400
const STATUS_UNAUTHORIZED = 401
const STATUS_NOT_FOUND = 404
/** Code for a request to open a tunnel (CONNECT), behind which no request can be read. */
export const TUNNEL_REQUESTED = 'tunnel-requested'
/** Status by the code of the HTTP library's error. */
const MALFORMED_STATUSES: Readonly<Record<string, number>> = { HPE_HEADER_OVERFLOW: 431, ERR_HTTP_REQUEST_TIMEOUT: 408, [TUNNEL_REQUESTED]: 501 }
const STATUS_REQUEST_TIMEOUT = 408
const STATUS_TOO_LARGE = 413
const STATUS_TOO_MANY_REQUESTS = 429
const SERVER_ERROR = 500
const STATUS_BAD_GATEWAY = 502
const STATUS_UNAVAILABLE = 503
const STATUS_GATEWAY_TIMEOUT = 504
/** A rejected request is read to its end, so that its connection can be kept, if that takes no more than this. */
const REJECTED_BODY_LIMIT_BYTES = 262_144
const REJECTED_BODY_TIMEOUT = Decisions.Clock.seconds(1)

export interface GatewayDependencies extends Dispatches.DispatchDependencies {
  readonly dialect: Dialects.Dialect
  readonly log: Logs.Log
  readonly metrics: Metrics.Metrics
  readonly memory: Memories.Memory
  readonly configuration: ConfigurationStates.ConfigurationState
  readonly destinationChooser: DestinationChoosers.DestinationChooser
  readonly host: Pick<Hosts.Host, 'recordFailedCall'>
  readonly dependencyControl: Pick<DependencyControls.DependencyControl, 'recordCall' | 'isCallRoute'>
  readonly quarantine: Pick<Quarantines.Quarantine, 'recordBlock' | 'blockedFor'>
  readonly quotas: Pick<Quotas.Quotas, 'admit' | 'giveBack'>
  readonly settings: Pick<Settings.ProxySettings, 'service' | 'revocation'>
}

/** The route of a request and the client account that sent it. */
interface Recipient {
  readonly route: Routes.Route
  /** Undefined for an anonymous request, and without accounts. */
  readonly account: Accounts.Account | undefined
  /** Whether the configuration has accounts and the request carries no key. */
  readonly isAnonymous: boolean
}

/** Answer to a request that is not dispatched. */
interface Rejection {
  readonly status: number
  readonly reason: string
  readonly retryAfter?: number
}

/** Answers to requests whose bodies were not read to their end. They have not been passed on. */
const BODY_REJECTIONS: Readonly<Partial<Record<BodyReaders.BodyFailure['kind'], Rejection>>> = {
  'too-large': { status: STATUS_TOO_LARGE, reason: 'body-too-large' },
  stalled: { status: STATUS_REQUEST_TIMEOUT, reason: 'body-stalled' },
  'no-memory': { status: STATUS_UNAVAILABLE, reason: 'no-memory', retryAfter: STARTING_RETRY_AFTER_MS }
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
  private readonly connections = new Registries.CallerConnectionRegistry(() => this.drain !== undefined)

  constructor (private readonly dependencies: GatewayDependencies) {
    this.reservedFields = new Set([...dependencies.dialect.reservedFields, ...Forwarding.INTERNAL_HEADERS])
  }

  /** Number of requests without a response. */
  get inFlight (): number {
    return this.openRequests
  }

  /** Number of connections that end as soon as their callers have read the last response, or after a second. */
  get closingConnections (): number {
    return this.connections.closingCount
  }

  /** Closes connections with their next response from now on, so that callers connect to another node. */
  startDraining (drain: Drain): void {
    this.drain = drain
  }

  /** Handles a request whose head has been read. Errors fail this request only. */
  async handle (request: Http.IncomingMessage, response: Http.ServerResponse): Promise<void> {
    const { dialect, clock, log, memory } = this.dependencies
    const callerMetadata = dialect.readCallerMetadata(request.rawHeaders)
    const id = callerMetadata.request ?? Decisions.Ids.requestId('')
    const recipient = this.recipientOf(request, callerMetadata)
    const connection = this.connections.of(request.socket)
    const inbound = new InboundRequests.InboundRequest({
      request, response, id, arrivedAt: clock.now(), memory, holdsBack: !('status' in recipient) && !recipient.route.repeatable,
      onClosing: reason => { log.info('response closes the connection of its caller', { request: id, reason, answerable: connection.answerable }) }
    })
    if (!connection.add(inbound)) {
      log.info('request was not read, since an earlier response closes its connection', { request: id })
      request.resume()
      return
    }
    this.countUntilEnd(inbound, connection)
    try {
      if ('status' in recipient) await this.reject(inbound, recipient)
      else await this.receive(inbound, recipient, callerMetadata.remaining ?? DEADLINE_DEFAULT)
    } catch (error) {
      log.warn('request handler failed', { request: id, error: error instanceof Error ? error.stack ?? error.message : String(error) })
      // Whether the request ran is unknown.
      if (inbound.isWritten) response.destroy()
      else this.answer(inbound, { kind: 'unknown', reason: 'internal-error' })
    }
  }

  /** Counts the request as open until its response has been written or its connection is closed. */
  private countUntilEnd (inbound: InboundRequests.InboundRequest, connection: CallerConnections.CallerConnection): void {
    const state = { isOpen: true }
    const end = (): void => {
      if (!state.isOpen) return
      state.isOpen = false
      this.openRequests -= 1
      connection.remove(inbound)
      ignoreClose()
    }
    const ignoreClose = connection.whenClosed(end)
    inbound.response.once('close', end)
    this.openRequests += 1
  }

  /** Reads the body of a request, and admits it. `callerTimeout` is the time for which the caller waits. */
  private async receive (inbound: InboundRequests.InboundRequest, recipient: Recipient, callerTimeout: Decisions.Clock.Milliseconds): Promise<void> {
    const { route } = recipient
    const limit = this.dependencies.configuration.current?.limits.bodyBytes ?? 0
    const body = await this.dependencies.memory.readRequest(inbound.request, inbound.response, limit)
    if (body.isErr()) {
      const rejection = BODY_REJECTIONS[body.error.kind]
      if (rejection !== undefined) await this.reject(inbound, rejection)
      else this.dependencies.log.info('caller left before its request was complete', { request: inbound.id, route: route.name })
      return
    }
    const connection = this.connections.of(inbound.request.socket)
    if (connection.isHeldBack(inbound)) this.dependencies.log.info('request waits for the response to a non-idempotent one', { request: inbound.id, route: route.name })
    if (await connection.mayPassOn(inbound)) await this.admit(inbound, recipient, body.value, callerTimeout)
    else this.dependencies.log.info('request was not passed on, since an earlier response closes its connection', { request: inbound.id, route: route.name })
  }

  /** Dispatches a request that was read completely. `callerTimeout` is the time for which the caller waits. */
  private async admit (inbound: InboundRequests.InboundRequest, { route, account, isAnonymous }: Recipient, body: Contents.Content, callerTimeout: Decisions.Clock.Milliseconds): Promise<void> {
    const { request, arrivedAt, id } = inbound
    const [method, path] = [request.method ?? 'GET', request.url ?? '']
    const deadline = Decisions.Clock.add(arrivedAt, Decisions.Clock.milliseconds(Math.min(callerTimeout, route.timeout)))
    const refusal = this.refusalOf({ method, path, body }, deadline)
    if (refusal !== undefined) {
      await this.reject(inbound, refusal)
      return
    }
    const service = this.dependencies.destinationChooser.choose(route)
    if (service === undefined) {
      await this.reject(inbound, { status: STATUS_UNAVAILABLE, reason: 'no-target', retryAfter: STARTING_RETRY_AFTER_MS })
      return
    }
    const retryAfter = this.dependencies.quotas.admit(account)
    if (retryAfter !== undefined) {
      await this.reject(inbound, { status: STATUS_TOO_MANY_REQUESTS, reason: 'quota-exceeded', retryAfter })
      return
    }
    if (route.destinations.length > 1) this.dependencies.metrics.recordSplit(route.name, service)
    const connection = this.connections.of(request.socket)
    // Callers send a key whenever the configuration has accounts; backend servers send none.
    const isCall = isAnonymous || this.dependencies.dependencyControl.isCallRoute(route.name)
    await this.dispatch(inbound, {
      id,
      method,
      path,
      headers: Headers.endToEndFields(request.rawHeaders, this.reservedFields),
      body,
      route,
      service,
      account: account?.name,
      priority: account?.priority ?? route.priority,
      isCall,
      // A parent fails with a call that is refused, after work that is lost then.
      waitsUntilDeadline: isCall && this.dependencies.configuration.current?.features.sharesFairly === true,
      arrivedAt,
      deadline,
      tryEndConnection: () => connection.tryEndWith(inbound)
    })
  }

  /** Why a request that can be routed is not dispatched all the same. */
  private refusalOf (content: Pick<Requests.EntryRequest, 'method' | 'path' | 'body'>, deadline: Decisions.Clock.Milliseconds): Rejection | undefined {
    const { quarantine, clock } = this.dependencies
    if (this.mayOutlast(deadline)) return { status: STATUS_UNAVAILABLE, reason: 'node-leaving', retryAfter: STARTING_RETRY_AFTER_MS }
    if (clock.now() >= deadline) return { status: STATUS_UNAVAILABLE, reason: 'too-late', retryAfter: STARTING_RETRY_AFTER_MS }
    const blockedFor = quarantine.blockedFor(content)
    return blockedFor === undefined ? undefined : { status: STATUS_UNAVAILABLE, reason: 'request-blocked', retryAfter: blockedFor }
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
  rejectMalformed (code: string | undefined, socket: Net.Socket): void {
    // The HTTP library also reports that the caller has reset the connection, and bytes that follow the last request of a connection.
    const connection = this.connections.of(socket)
    if (!socket.writable || !connection.isReadable) return
    const { answerable } = connection
    const mayReject = connection.breakOff()
    const status = MALFORMED_STATUSES[code ?? ''] ?? STATUS_BAD_REQUEST
    this.dependencies.log.info('bytes of a caller are no request', { code, status, answerable })
    if (!mayReject) return
    socket.write(`HTTP/1.1 ${status} ${Http.STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`)
    socket.destroySoon()
  }

  private recipientOf (request: Http.IncomingMessage, { key }: Dialects.CallerMetadata): Recipient | Rejection {
    const route = this.routeOf(request, request.url ?? '')
    if ('status' in route) return route
    const { configuration, clock, settings: { revocation } } = this.dependencies
    const { accounts } = configuration
    const now = clock.now()
    const authentication = Authentications.authenticate(route, key, { accounts, isCurrent: configuration.isCurrent(now), contactAge: configuration.contactAge(now), revocation })
    switch (authentication.kind) {
      case 'accepted': return { route, account: authentication.account, isAnonymous: accounts !== undefined && key === undefined }
      case 'key-unknown': return { status: STATUS_UNAUTHORIZED, reason: authentication.kind }
      case 'key-unconfirmed': return { status: STATUS_UNAVAILABLE, reason: authentication.kind, retryAfter: STARTING_RETRY_AFTER_MS }
    }
  }

  private routeOf (request: Http.IncomingMessage, path: string): Routes.Route | Rejection {
    const { configuration } = this.dependencies
    const table = configuration.table
    if (table === undefined) return { status: STATUS_UNAVAILABLE, reason: 'node-starting', retryAfter: STARTING_RETRY_AFTER_MS }
    if (request.headers.host === undefined || !path.startsWith('/')) return { status: STATUS_BAD_REQUEST, reason: 'request-malformed' }
    const route = table.match(request.headers.host ?? '', path)
    if (route !== undefined) return route
    // A node with an outdated configuration cannot tell that the route does not exist.
    if (!configuration.isCurrent(this.dependencies.clock.now())) return { status: STATUS_UNAVAILABLE, reason: 'node-starting', retryAfter: STARTING_RETRY_AFTER_MS }
    return { status: STATUS_NOT_FOUND, reason: 'route-unknown' }
  }

  private async dispatch (inbound: InboundRequests.InboundRequest, entry: Requests.EntryRequest): Promise<void> {
    if (entry.isCall) this.dependencies.dependencyControl.recordCall(entry.service)
    const dispatch = new Dispatches.Dispatch(entry, this.dependencies)
    const ignoreClose = this.connections.of(inbound.request.socket).whenClosed(() => { dispatch.abandon() })
    const answer = await dispatch.answer
    ignoreClose()
    if (answer.kind === 'not-run') this.dependencies.quotas.giveBack(entry.account)
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

  private answer (inbound: InboundRequests.InboundRequest, answer: Answers.Answer): void {
    const { dialect } = this.dependencies
    switch (answer.kind) {
      case 'response': {
        const { status, headers, body, isFramed } = answer.response
        this.send(inbound, { status, fields: Headers.endToEndFields(headers, Forwarding.INTERNAL_HEADERS), body, isFramed })
        break
      }
      case 'not-run':
        this.sendStatus(inbound, STATUS_UNAVAILABLE, dialect.retryFields(Decisions.Clock.milliseconds(answer.retryAfter)))
        break
      case 'unknown':
        this.sendStatus(inbound, answer.reason === 'timed-out' ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY)
        break
      case 'abandoned':
        break
    }
  }

  /** Answers a request that is not dispatched. */
  private async reject (inbound: InboundRequests.InboundRequest, rejection: Rejection): Promise<void> {
    const { dialect, log, configuration, clock } = this.dependencies
    await Bodies.discard(inbound.request, REJECTED_BODY_LIMIT_BYTES, REJECTED_BODY_TIMEOUT)
    log.info('request rejected', {
      request: inbound.id, status: rejection.status, reason: rejection.reason, host: inbound.request.headers.host, path: inbound.request.url, isRead: inbound.isComplete,
      version: configuration.current?.version, versionAge: Math.round(configuration.contactAge(clock.now()))
    })
    const retry = rejection.retryAfter === undefined ? [] : dialect.retryFields(Decisions.Clock.milliseconds(rejection.retryAfter))
    this.sendStatus(inbound, rejection.status, retry)
  }

  private sendStatus (inbound: InboundRequests.InboundRequest, status: number, fields: readonly string[] = []): void {
    this.send(inbound, { status, fields: [...this.dependencies.dialect.answerFields(inbound.id), ...fields], body: Bodies.EMPTY, isFramed: true })
  }

  private send (inbound: InboundRequests.InboundRequest, reply: CallerConnections.Reply): void {
    this.connections.of(inbound.request.socket).answer(inbound, reply)
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
