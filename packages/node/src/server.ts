/** HTTP server of the node: requests of callers and other nodes, and the node's own endpoints. */
import type * as Http from 'node:http'
import type * as Net from 'node:net'
import * as Decisions from '@jasminedale/decisions'
import * as Fastify from 'fastify'
import * as Endpoints from './endpoint.js'
import * as OwnEndpoints from './own-endpoints.js'
import type * as Loggers from './observation/logger.js'
import type * as Metrics from './observation/metrics.js'
import type * as Gateways from './requests/gateway.js'
import * as Problems from './requests/problem.js'

const MAX_HEADER_BYTES = 16_384
const HEADERS_TIMEOUT_MS = 10_000
/** Time limit for receiving a whole request: the largest deadline of the built-in policy. */
const REQUEST_TIMEOUT_MS = 60_000
const TIMEOUT_CHECK_INTERVAL_MS = 1_000
const IDLE_CONNECTION_MS = 75_000
/** A full synchronization of 78,000 targets takes about 12 MB. */
const MAX_CONTROL_BODY_BYTES = 33_554_432
const STATUS_REQUEST_TIMEOUT = 408
const STATUS_HEADERS_TOO_LARGE = 431

interface ServerParts extends OwnEndpoints.OwnEndpointsParts {
  readonly gateway: Gateways.Gateway
  readonly logger: Loggers.Logger
  readonly metrics: Metrics.Metrics
}

export class Server {
  private readonly parts: ServerParts
  private readonly app: Fastify.FastifyInstance

  constructor (parts: ServerParts) {
    this.parts = parts
    this.app = Fastify.fastify({
      bodyLimit: MAX_CONTROL_BODY_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      forceCloseConnections: 'idle',
      exposeHeadRoutes: false,
      routerOptions: { maxParamLength: MAX_HEADER_BYTES },
      http: { maxHeaderSize: MAX_HEADER_BYTES, headersTimeout: HEADERS_TIMEOUT_MS, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS },
      clientErrorHandler: (error, socket) => { this.refuseMalformed(error, socket) },
      frameworkErrors: (_error, request, reply) => { this.passToGateway(request, reply) }
    })
    void this.app.register(instance => { OwnEndpoints.register(instance, parts) }, { prefix: OwnEndpoints.PATH_PREFIX })
    void this.app.register(instance => { this.registerProxy(instance) })
    this.app.server.on('checkExpectation', (request: Http.IncomingMessage, response: Http.ServerResponse) => {
      this.parts.gateway.refuseExpectation(request, response)
    })
  }

  /** Starts to listen. Rejects with the error of the socket. */
  async open (): Promise<void> {
    await this.app.listen(Endpoints.parse(this.parts.identity.address))
  }

  /** Stops listening and resolves when the responses in progress have finished. */
  async close (): Promise<void> {
    await this.app.close()
  }

  /** Counts the connections that are still open. */
  async countConnections (): Promise<number> {
    return await new Promise(resolve => {
      this.app.server.getConnections((error, count) => { resolve(error === null ? count : 0) })
    })
  }

  /** Registers the routes of proxied requests. No content type parser reads the body, because the gateway streams it. */
  private registerProxy (instance: Fastify.FastifyInstance): void {
    instance.removeAllContentTypeParsers()
    instance.addContentTypeParser('*', (_request, _payload, done) => { done(null) })
    const handler = (request: Fastify.FastifyRequest, reply: Fastify.FastifyReply): void => { this.passToGateway(request, reply) }
    instance.all('/*', handler)
    instance.setNotFoundHandler(handler)
  }

  private passToGateway (request: Fastify.FastifyRequest, reply: Fastify.FastifyReply): void {
    reply.hijack()
    this.parts.gateway.handle(request.raw, reply.raw)
  }

  /** Answers input that is not valid HTTP or exceeds a limit with the status for that fault. */
  private refuseMalformed (error: Fastify.ConnectionError, socket: Net.Socket): void {
    this.parts.metrics.count('request.malformed', { code: error.code })
    this.parts.logger.debug({ code: error.code, peer: socket.remoteAddress }, 'request could not be read')
    if (!socket.writable || error.code === 'ECONNRESET' || this.parts.gateway.isBusy(socket)) {
      socket.destroy()
      return
    }
    const problem = malformedProblem(error.code)
    const headers: string[] = []
    for (let index = 0; index < problem.headers.length; index += 2) headers.push(`${problem.headers[index] ?? ''}: ${problem.headers[index + 1] ?? ''}\r\n`)
    socket.end(`HTTP/1.1 ${problem.status} Refused\r\n${headers.join('')}connection: close\r\n\r\n${problem.body}`)
  }
}

function malformedProblem (code: string): Problems.Problem {
  switch (code) {
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return Problems.createProblem(Decisions.Refusals.notRun('deadline-exceeded', 'The request was not received in time.'), STATUS_REQUEST_TIMEOUT)
    case 'HPE_HEADER_OVERFLOW':
      return Problems.createProblem(Decisions.Refusals.notRun('request-malformed', `The header section exceeds ${MAX_HEADER_BYTES} bytes.`), STATUS_HEADERS_TOO_LARGE)
    default:
      return Problems.createProblem(Decisions.Refusals.notRun('request-malformed', 'The request is not valid HTTP/1.1.'))
  }
}
