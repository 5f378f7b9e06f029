/** One HTTP request to a backend server or another node, and its response. */
import * as Http from 'node:http'
import * as Decisions from '@jasminedale/decisions'
import * as Contents from '../resources/content.js'
import type * as Memories from '../resources/memory.js'
import * as Bodies from './body.js'
import type * as ConnectionPools from './connection-pool.js'

export interface Response {
  readonly status: number
  readonly headers: string[]
  readonly body: Contents.Content
  /** Whether Content-Length or chunked coding marked the end of the body, so that it is known to be complete. */
  readonly isFramed: boolean
}

export type ExchangeResult =
  /** A complete response arrived. `position` is that of the request on its connection; undefined without a correlation. */
  | { readonly kind: 'answered', readonly response: Response, readonly position: number | undefined }
  /** The peer cannot have run the request: the connection was not opened, or the request was not confirmed. */
  | { readonly kind: 'not-sent', readonly reason: string }
  /** The request was sent and no complete response to it arrived: whether it ran is unknown. */
  | { readonly kind: 'lost', readonly reason: string, readonly cause: LossCause, readonly position: number | undefined }

/** `mismatched`: the response belongs to another request, or is none. */
export type LossCause = 'timed-out' | 'connection-lost' | 'mismatched'

/** By which a response is matched with its request. */
export interface Correlation {
  /** No connection carries a request with this id twice, so that a late response to an earlier send is not taken for the response to this one. */
  readonly request: Decisions.Ids.RequestId
  /** The id of the request that a response with these header fields names. A response without one is accepted only if it is the first of its connection. */
  readonly readRequest: (headers: readonly string[]) => Decisions.Ids.RequestId | undefined
}

export interface ExchangeOptions {
  /** Undefined if responses name no requests; then any response is taken for the response to this request. */
  readonly correlation?: Correlation
  readonly address: Decisions.Ids.Endpoint
  readonly method: string
  readonly path: string
  readonly headers: string[]
  readonly body: Contents.Content
  /** Time from the construction until the exchange fails. */
  readonly timeout: Decisions.Clock.Milliseconds
  /** Time within which a connection must be open. */
  readonly connectTimeout: Decisions.Clock.Milliseconds
  readonly maximumResponseBytes: number
  /** Bounds the responses of several exchanges together. */
  readonly memory?: Pick<Memories.Memory, 'readResponse'> | undefined
  readonly connections: ConnectionPools.ConnectionPool
  /**
   * Whether the body, and the end of the request, are sent only after the peer has confirmed with 100 Continue. The peer
   * does not run the request before that, so a request without confirmation has certainly not run. The field Expect is
   * not sent: with it the peer's HTTP library closes the connection after each refusal.
   */
  readonly awaitsConfirmation: boolean
  /** Called when the peer confirms; false withdraws the request. */
  readonly mayCommit?: () => boolean
  /** Time from the opened connection within which the peer must confirm or queue the request. */
  readonly confirmationTimeout: Decisions.Clock.Milliseconds
}

const HTTP_OK = 200
/** Informational (1xx) responses to one request. A peer sends at most two; one that sends them without end would occupy the event loop. */
const INFORMATIONAL_RESPONSES_MAXIMUM = 8

export class Exchange {
  readonly result: Promise<ExchangeResult>
  private readonly request: Http.ClientRequest
  private resolveResult: (result: ExchangeResult) => void = () => { /* Set by the promise. */ }
  private isFinished = false
  /** Whether the peer may run the request. */
  private isCommitted = false
  /** Whether the peer reported with an informational (1xx) response that it has queued the request. */
  private queued = false
  private isConnected = false
  private hasResponse = false
  /** Whether the connection failed, in which case a body without a length may be truncated. */
  private hasConnectionError = false
  private lossCause: LossCause = 'connection-lost'
  private informationalResponses = 0
  private position: number | undefined
  private readonly timers: NodeJS.Timeout[] = []

  constructor (private readonly options: ExchangeOptions) {
    this.result = new Promise(resolve => { this.resolveResult = resolve })
    const separator = options.address.lastIndexOf(':')
    this.request = Http.request({
      host: options.address.slice(0, separator),
      port: Number(options.address.slice(separator + 1)),
      method: options.method,
      path: options.path,
      headers: this.headers() as unknown as Http.OutgoingHttpHeaders,
      agent: this.needsOwnConnection() ? false : options.connections
    })
    this.attachListeners()
    this.send()
  }

  private needsOwnConnection (): boolean {
    const { correlation, connections } = this.options
    return correlation !== undefined && connections.history.hasCarried(correlation.request)
  }

  /** Whether the peer has queued the request and not yet confirmed it. */
  get isQueued (): boolean {
    return this.queued
  }

  /** Whether the peer has neither confirmed, queued nor answered the request. */
  get isSilent (): boolean {
    return !this.isCommitted && !this.queued && !this.hasResponse
  }

  /** Withdraws the request and closes the connection, which the peer notices. `result` tells whether the request may have run. */
  cancel (reason: string): void {
    this.fail(reason)
  }

  private headers (): string[] {
    const { body, awaitsConfirmation, address, headers, method } = this.options
    const fields = [...headers]
    if (!fields.some((value, index) => index % 2 === 0 && value.toLowerCase() === 'host')) fields.push('Host', address)
    if (awaitsConfirmation) fields.push('Transfer-Encoding', 'chunked')
    else if (body.length > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH') fields.push('Content-Length', String(body.length))
    return fields
  }

  private attachListeners (): void {
    const { request, options } = this
    this.startTimer(options.timeout, 'no response before the deadline', () => {
      this.lossCause = 'timed-out'
      return true
    })
    request.on('socket', socket => {
      if (options.correlation !== undefined) this.position = options.connections.history.record(socket, options.correlation.request)
      const markConnectionError = (): void => { this.hasConnectionError = true }
      // A reset that arrives together with data is reported as an ordinary end; only the peer's address is gone then. Asked before the
      // library ends its direction too.
      const detectReset = (): void => { if (socket.remoteAddress === undefined) markConnectionError() }
      socket.once('error', markConnectionError)
      socket.prependOnceListener('end', detectReset)
      // A pooled connection outlives the request.
      request.once('close', () => {
        socket.off('error', markConnectionError)
        socket.off('end', detectReset)
      })
      if (!socket.connecting) {
        this.handleConnected()
        return
      }
      const timer = this.startTimer(options.connectTimeout, 'connection was not established in time')
      socket.once('connect', () => {
        clearTimeout(timer)
        this.handleConnected()
      })
    })
    request.on('continue', () => { if (this.countInformational()) this.commit() })
    request.on('information', () => { this.queued = this.countInformational() })
    request.on('response', message => { void this.receive(message) })
    request.on('error', error => { if (!this.hasResponse) this.fail(error.message) })
    // Once a response has begun, reading its body shows whether it is complete.
    request.on('close', () => { if (!this.hasResponse) this.fail('connection closed without a response') })
  }

  private send (): void {
    if (this.options.awaitsConfirmation) this.request.flushHeaders()
    else Contents.end(this.request, this.options.body)
  }

  private handleConnected (): void {
    this.isConnected = true
    if (!this.options.awaitsConfirmation) this.isCommitted = true
    else this.startTimer(this.options.confirmationTimeout, 'peer did not confirm the request in time', () => !this.isCommitted && !this.queued)
  }

  /** Counts an informational response. Returns whether the exchange goes on. */
  private countInformational (): boolean {
    this.informationalResponses += 1
    if (this.informationalResponses > INFORMATIONAL_RESPONSES_MAXIMUM) this.fail('peer sent too many informational responses')
    return !this.isFinished
  }

  private commit (): void {
    if (this.isFinished || this.isCommitted) return
    if (this.options.mayCommit?.() === false) {
      this.fail('request was withdrawn when the peer confirmed it')
      return
    }
    this.isCommitted = true
    this.queued = false
    Contents.end(this.request, this.options.body)
  }

  private async receive (message: Http.IncomingMessage): Promise<void> {
    this.hasResponse = true
    const mismatch = this.describeMismatch(message)
    if (mismatch !== undefined) {
      // This closes the connection: the response to this request is still to come, and must not reach the next one.
      this.lossCause = 'mismatched'
      this.fail(mismatch)
      return
    }
    // A response without confirmation is a refusal. Ending the request with an empty body keeps the connection usable.
    if (this.options.awaitsConfirmation && !this.isCommitted) this.request.end()
    this.options.connections.setIdleLimit(message.socket, message.headers['keep-alive'])
    const { memory, maximumResponseBytes } = this.options
    const body = await (memory?.readResponse(message, maximumResponseBytes) ?? Bodies.read(message, maximumResponseBytes))
    if (body.isErr() || (this.hasConnectionError && isUnframed(message, this.options.method))) {
      this.fail(body.isErr() ? `response body is ${body.error.kind}` : 'connection failed during a response without a length')
      return
    }
    this.finish({ kind: 'answered', response: { status: message.statusCode ?? HTTP_OK, headers: message.rawHeaders, body: body.value, isFramed: !isUnframed(message, this.options.method) }, position: this.position })
  }

  /** Why the response is none to this request; undefined if it is one. */
  private describeMismatch ({ rawHeaders, statusCode = 0 }: Http.IncomingMessage): string | undefined {
    const { correlation } = this.options
    if (statusCode < HTTP_OK) return `status ${statusCode} is none of a final response`
    if (correlation === undefined) return undefined
    const named = correlation.readRequest(rawHeaders)
    if (named === correlation.request) return undefined
    if (named !== undefined) return `response belongs to request ${named}`
    return this.position === 1 ? undefined : 'response names no request and may belong to an earlier one'
  }

  private startTimer (duration: number, reason: string, mayFire: () => boolean = () => true): NodeJS.Timeout {
    const timer = setTimeout(() => { if (mayFire()) this.fail(reason) }, Math.max(0, duration))
    this.timers.push(timer)
    return timer
  }

  private fail (reason: string): void {
    if (this.isFinished) return
    const mayHaveRun = this.isConnected && this.isCommitted
    this.finish(mayHaveRun ? { kind: 'lost', reason, cause: this.lossCause, position: this.position } : { kind: 'not-sent', reason })
    this.request.destroy()
  }

  private finish (result: ExchangeResult): void {
    if (this.isFinished) return
    this.isFinished = true
    for (const timer of this.timers) clearTimeout(timer)
    this.resolveResult(result)
  }
}

/** Statuses whose responses have no body. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

/** Whether the end of the body is marked only by the end of the connection. */
function isUnframed (message: Http.IncomingMessage, method: string): boolean {
  if (method === 'HEAD' || BODYLESS_STATUSES.has(message.statusCode ?? HTTP_OK)) return false
  return message.headers['content-length'] === undefined && message.headers['transfer-encoding'] === undefined
}
