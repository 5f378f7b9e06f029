/** One HTTP request to a backend server or another node, from its send to its end. */
import * as Http from 'node:http'
import * as Decisions from '@jasminedale/decisions'
import * as Bodies from './body.js'
import type * as ConnectionPools from './connection-pool.js'

export interface Response {
  readonly status: number
  readonly headers: string[]
  readonly body: Buffer
  /** Whether a length or chunks marked the end of the body, so that it is known to be complete. */
  readonly isFramed: boolean
}

export type ExchangeResult =
  | { readonly kind: 'answered', readonly response: Response }
  /** No byte of the request, or of its confirmation, can have been acted upon. */
  | { readonly kind: 'not-sent', readonly reason: string }
  /** The request was sent and its fate is unknown. */
  | { readonly kind: 'lost', readonly reason: string, readonly hasTimedOut: boolean }

export interface ExchangeOptions {
  readonly address: Decisions.Ids.Endpoint
  readonly method: string
  readonly path: string
  readonly headers: string[]
  readonly body: Buffer
  /** Time from now after which the exchange ends as lost. */
  readonly timeout: Decisions.Clock.Milliseconds
  /** Time within which a connection must be open. */
  readonly connectTimeout: Decisions.Clock.Milliseconds
  readonly maximumResponseBytes: number
  readonly connections: ConnectionPools.ConnectionPool
  /**
   * Holds the body, and the end of the request, back until the peer has confirmed with 100 Continue. Until then
   * the peer does not act on it, so that a request without confirmation has certainly not run. The field Expect
   * is not sent: with it the peer's HTTP library ends the connection after each refusal.
   */
  readonly awaitsConfirmation: boolean
  /** Asked when the peer confirms; false withdraws the request. */
  readonly mayCommit?: () => boolean
  /** Time within which the peer must confirm. */
  readonly confirmationTimeout: Decisions.Clock.Milliseconds
}

const HTTP_OK = 200

export class Exchange {
  readonly result: Promise<ExchangeResult>
  private readonly request: Http.ClientRequest
  private settle: (end: ExchangeResult) => void = () => { /* Set by the promise. */ }
  private over = false
  /** Whether the peer may act on what was sent. */
  private committed = false
  /** The peer has said that it holds the request in its queue. */
  private queued = false
  private connected = false
  private responding = false
  /** The connection ended with an error: a body without a stated length may be cut off. */
  private broken = false
  private timedOut = false
  private readonly timers: NodeJS.Timeout[] = []

  constructor (private readonly plan: ExchangeOptions) {
    this.result = new Promise(resolve => { this.settle = resolve })
    const separator = plan.address.lastIndexOf(':')
    this.request = Http.request({
      host: plan.address.slice(0, separator),
      port: Number(plan.address.slice(separator + 1)),
      method: plan.method,
      path: plan.path,
      headers: this.headers() as unknown as Http.OutgoingHttpHeaders,
      agent: plan.connections
    })
    this.listen()
    this.send()
  }

  /** Whether the peer was last known to hold the request in its queue. */
  get isQueued (): boolean {
    return this.queued
  }

  /** Whether the peer has neither confirmed the request nor queued it nor answered. */
  get isSilent (): boolean {
    return !this.committed && !this.queued && !this.responding
  }

  /** Withdraws the request. The connection is closed, which tells the peer; `end` tells whether it may have run. */
  cancel (reason: string): void {
    this.fail(reason)
  }

  private headers (): string[] {
    const { body, awaitsConfirmation: confirmed, address, headers, method } = this.plan
    const fields = [...headers]
    if (!fields.some((value, index) => index % 2 === 0 && value.toLowerCase() === 'host')) fields.push('Host', address)
    if (confirmed) fields.push('Transfer-Encoding', 'chunked')
    else if (body.length > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH') fields.push('Content-Length', String(body.length))
    return fields
  }

  private listen (): void {
    const { request, plan } = this
    this.after(plan.timeout, 'no response before the deadline', () => {
      this.timedOut = true
      return true
    })
    request.on('socket', socket => {
      const noteError = (): void => { this.broken = true }
      socket.once('error', noteError)
      // The connection outlives the request when it is used again.
      request.once('close', () => { socket.off('error', noteError) })
      if (!socket.connecting) {
        this.opened()
        return
      }
      const timer = this.after(plan.connectTimeout, 'connection was not established in time')
      socket.once('connect', () => {
        clearTimeout(timer)
        this.opened()
      })
    })
    request.on('continue', () => { this.commit() })
    request.on('information', () => { this.queued = true })
    request.on('response', message => { void this.receive(message) })
    request.on('error', error => { if (!this.responding) this.fail(error.message) })
    // With a response, reading its body tells whether it is complete.
    request.on('close', () => { if (!this.responding) this.fail('connection closed without a response') })
  }

  private send (): void {
    if (this.plan.awaitsConfirmation) this.request.flushHeaders()
    else this.request.end(this.plan.body)
  }

  private opened (): void {
    this.connected = true
    if (!this.plan.awaitsConfirmation) this.committed = true
    else this.after(this.plan.confirmationTimeout, 'peer did not confirm the request in time', () => !this.committed && !this.queued)
  }

  private commit (): void {
    if (this.over) return
    if (this.plan.mayCommit?.() === false) {
      this.fail('the request is not needed any more')
      return
    }
    this.committed = true
    this.queued = false
    this.request.end(this.plan.body)
  }

  private async receive (message: Http.IncomingMessage): Promise<void> {
    this.responding = true
    // A peer that answers without confirming refuses; the empty end of the body keeps the connection usable.
    if (this.plan.awaitsConfirmation && !this.committed) this.request.end()
    this.plan.connections.setIdleLimit(message.socket, message.headers['keep-alive'])
    const body = await Bodies.read(message, this.plan.maximumResponseBytes)
    if (body.isErr() || (this.broken && isUnframed(message))) {
      this.fail(body.isErr() ? `response is ${body.error.kind}` : 'connection was reset within a response without a length')
      return
    }
    this.finish({ kind: 'answered', response: { status: message.statusCode ?? HTTP_OK, headers: message.rawHeaders, body: body.value, isFramed: !isUnframed(message) } })
  }

  private after (duration: number, reason: string, applies: () => boolean = () => true): NodeJS.Timeout {
    const timer = setTimeout(() => { if (applies()) this.fail(reason) }, Math.max(0, duration))
    this.timers.push(timer)
    return timer
  }

  private fail (reason: string): void {
    if (this.over) return
    const sent = this.connected && this.committed
    this.finish(sent ? { kind: 'lost', reason, hasTimedOut: this.timedOut } : { kind: 'not-sent', reason })
    this.request.destroy()
  }

  private finish (end: ExchangeResult): void {
    if (this.over) return
    this.over = true
    for (const timer of this.timers) clearTimeout(timer)
    this.settle(end)
  }
}

/** Whether only the end of the connection marks the end of the body. */
function isUnframed (message: Http.IncomingMessage): boolean {
  return message.headers['content-length'] === undefined && message.headers['transfer-encoding'] === undefined
}
