/** The HTTP side of the port: requests of callers and nodes, and the node's own endpoints. */
import type * as Http from 'node:http'
import type * as Net from 'node:net'
import * as Decisions from '@jasminedale/decisions'
import * as Fastify from 'fastify'
import * as Endpoints from './endpoint.js'
import * as Own from './own-endpoints.js'
import type * as Loggers from './observation/logger.js'
import type * as Metrics from './observation/metrics.js'
import type * as Gateways from './requests/gateway.js'
import * as Problem from './requests/problem.js'

const HEADER_BYTES = 16_384
const HEADERS_TIMEOUT_MS = 10_000
/** Longest time for a whole request; the largest deadline of the built-in policy. */
const REQUEST_TIMEOUT_MS = 60_000
const TIMEOUT_CHECK_MS = 1_000
const IDLE_CONNECTION_MS = 75_000
/** A full synchronization of 78,000 targets takes about 12 MB. */
const CONTROL_BODY_BYTES = 33_554_432
const STATUS_TIMEOUT = 408
const STATUS_HEADERS_TOO_LARGE = 431

interface Parts extends Own.Parts {
  readonly gateway: Gateways.Gateway
  readonly logger: Loggers.Logger
  readonly metrics: Metrics.Metrics
}

export class Server {
  private readonly parts: Parts
  private readonly app: Fastify.FastifyInstance

  constructor (parts: Parts) {
    this.parts = parts
    this.app = Fastify.fastify({
      bodyLimit: CONTROL_BODY_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      forceCloseConnections: 'idle',
      exposeHeadRoutes: false,
      routerOptions: { maxParamLength: HEADER_BYTES },
      http: { maxHeaderSize: HEADER_BYTES, headersTimeout: HEADERS_TIMEOUT_MS, connectionsCheckingInterval: TIMEOUT_CHECK_MS },
      clientErrorHandler: (error, socket) => { this.refuseMalformed(error, socket) },
      frameworkErrors: (_error, request, reply) => { this.pass(request, reply) }
    })
    void this.app.register(instance => { Own.register(instance, parts) }, { prefix: Own.PREFIX })
    void this.app.register(instance => { this.registerProxy(instance) })
    this.app.server.on('checkExpectation', (request: Http.IncomingMessage, response: Http.ServerResponse) => {
      this.parts.gateway.refuseExpectation(request, response)
    })
  }

  /** Rejects with the listening error. */
  async open (): Promise<void> {
    await this.app.listen(Endpoints.split(this.parts.identity.address))
  }

  /** Lets responses in progress finish. */
  async close (): Promise<void> {
    await this.app.close()
  }

  /** Connections that are still open. */
  async connections (): Promise<number> {
    return await new Promise(resolve => {
      this.app.server.getConnections((error, count) => { resolve(error === null ? count : 0) })
    })
  }

  /** Bodies are left unread on the connection: the gateway streams them. */
  private registerProxy (instance: Fastify.FastifyInstance): void {
    instance.removeAllContentTypeParsers()
    instance.addContentTypeParser('*', (_request, _payload, done) => { done(null) })
    const handler = (request: Fastify.FastifyRequest, reply: Fastify.FastifyReply): void => { this.pass(request, reply) }
    instance.all('/*', handler)
    instance.setNotFoundHandler(handler)
  }

  private pass (request: Fastify.FastifyRequest, reply: Fastify.FastifyReply): void {
    reply.hijack()
    this.parts.gateway.handle(request.raw, reply.raw)
  }

  /** Answers what is not HTTP, with the status that names the limit. */
  private refuseMalformed (error: Fastify.ConnectionError, socket: Net.Socket): void {
    this.parts.metrics.count('request.malformed', { code: error.code })
    this.parts.logger.debug({ code: error.code, peer: socket.remoteAddress }, 'request could not be read')
    if (!socket.writable || error.code === 'ECONNRESET' || this.parts.gateway.isBusy(socket)) {
      socket.destroy()
      return
    }
    const problem = malformed(error.code)
    const headers: string[] = []
    for (let index = 0; index < problem.headers.length; index += 2) headers.push(`${problem.headers[index] ?? ''}: ${problem.headers[index + 1] ?? ''}\r\n`)
    socket.end(`HTTP/1.1 ${problem.status} Refused\r\n${headers.join('')}connection: close\r\n\r\n${problem.body}`)
  }
}

function malformed (code: string): Problem.Problem {
  switch (code) {
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return Problem.problemFor(Decisions.Refusals.notRun('deadline-exceeded', 'The request was not received in time.'), STATUS_TIMEOUT)
    case 'HPE_HEADER_OVERFLOW':
      return Problem.problemFor(Decisions.Refusals.notRun('request-malformed', `The header section exceeds ${HEADER_BYTES} bytes.`), STATUS_HEADERS_TOO_LARGE)
    default:
      return Problem.problemFor(Decisions.Refusals.notRun('request-malformed', 'The request is not valid HTTP/1.1.'))
  }
}
