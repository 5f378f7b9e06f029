/** A backend server for tests, measurements and the demo. It announces itself to a node and can inject faults. */
import type * as Http from 'node:http'
import type * as Net from 'node:net'
import * as Timers from 'node:timers/promises'
import * as Fastify from 'fastify'
import * as Undici from 'undici'
import * as Executions from './executions.js'
import * as Faults from './faults.js'

const ANNOUNCE_INTERVAL_MS = 1_000
const STATUS_OK = 200
const STATUS_ERROR = 500
const STATUS_UNAVAILABLE = 503
const BODY_LIMIT_BYTES = 16_777_216
const TRUNCATED_BODY = 'x'.repeat(4_096)

export interface BackendServerOptions {
  readonly target: string
  readonly service: string
  readonly host: string
  /** 0 selects a free port. */
  readonly port: number
  /** Base URL of the node on the same VM. Without it the server does not announce itself. */
  readonly node?: string
  readonly slots: number
  /** Service time without faults, in ms. */
  readonly serviceTime: number
  /** Bytes of padding in each response. */
  readonly padding?: number
  /** Called for the fault `crashOnMark`; by default terminates the process. */
  readonly crash?: () => void
}

export class BackendServer {
  readonly executions = new Executions.Executions()
  faults: Faults.Faults = Faults.NO_FAULTS
  private readonly app = Fastify.fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true, keepAliveTimeout: 75_000 })
  private readonly incarnation = Date.now()
  private readonly sockets = new Set<Net.Socket>()
  private readonly silencedSockets = new WeakSet<Net.Socket>()
  private announceTimer: NodeJS.Timeout | undefined
  private runningCount = 0
  private servedCount = 0

  constructor (private readonly options: BackendServerOptions) {}

  get address (): string {
    const address = this.app.server.address()
    return typeof address === 'object' && address !== null ? `${address.address}:${address.port}` : ''
  }

  async start (): Promise<void> {
    this.app.removeAllContentTypeParsers()
    this.app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => { done(null, body) })
    this.app.server.on('connection', (socket: Net.Socket) => {
      this.sockets.add(socket)
      socket.on('close', () => this.sockets.delete(socket))
    })
    this.app.get('/health', (_request, reply) => reply.code(this.isHealthy() ? STATUS_OK : STATUS_UNAVAILABLE).send())
    this.app.get('/load', () => ({ load: this.load() }))
    this.app.get('/stand-in/executions', () => this.executions.report())
    this.app.post('/stand-in/faults', request => this.inject(request.body))
    this.app.all('/*', async (request, reply) => this.serve(request, reply))
    await this.app.listen({ host: this.options.host, port: this.options.port })
    if (this.options.node === undefined) return
    await this.announce()
    this.announceTimer = setInterval(() => { void this.announce() }, ANNOUNCE_INTERVAL_MS)
  }

  /** Tells the node that this server leaves, then finishes the requests in progress and stops. */
  async drain (): Promise<void> {
    if (this.options.node !== undefined) await this.postToNode('leave', { target: this.options.target })
    await this.stop()
  }

  async stop (): Promise<void> {
    clearInterval(this.announceTimer)
    await this.app.close()
  }

  private inject (body: unknown): Faults.Faults {
    this.faults = Faults.faultsSchema.parse(JSON.parse(String(body)))
    if (this.faults.silenceOpenConnections) for (const socket of this.sockets) this.silencedSockets.add(socket)
    return this.faults
  }

  private isHealthy (): boolean {
    switch (this.faults.health) {
      case 'always-good': return true
      case 'always-bad': return false
      case 'truthful': return this.faults.errorRate < 0.5 && this.faults.hangRate < 0.5
    }
  }

  private load (): number {
    return this.faults.reportedLoad ?? this.runningCount / this.options.slots
  }

  private async announce (): Promise<void> {
    const { target, service, slots } = this.options
    await this.postToNode('announce', { target, service, slots, address: this.address, incarnation: this.incarnation, load: this.load() })
  }

  /** Posts to the node and ignores failures. */
  private async postToNode (path: string, body: unknown): Promise<void> {
    try {
      const response = await Undici.request(`${this.options.node ?? ''}/.jasminedale/${path}`, {
        method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body)
      })
      await response.body.dump()
    } catch {
      // Announcements are repeated periodically, so a lost one is replaced by the next.
    }
  }

  private async serve (request: Fastify.FastifyRequest, reply: Fastify.FastifyReply): Promise<unknown> {
    const { faults } = this
    if (faults.crashOnMark && request.headers['stand-in-crash'] !== undefined) (this.options.crash ?? (() => process.exit(1)))()
    if (this.silencedSockets.has(request.socket) || Math.random() < faults.hangRate) return leaveUnanswered(reply)
    if (Math.random() < faults.shedRate) return reply.code(STATUS_UNAVAILABLE).header('retry-after', '1').send('shed')
    this.executions.begin(request.headers)
    this.runningCount += 1
    const cancellation = new AbortController()
    reply.raw.once('close', () => { cancellation.abort() })
    try {
      await Timers.setTimeout(this.serviceTime(request.headers), undefined, { signal: cancellation.signal })
    } catch {
      this.executions.cancel(request.headers)
      return await Promise.resolve(leaveUnanswered(reply))
    } finally {
      this.runningCount -= 1
    }
    this.servedCount += 1
    this.executions.finish(request.headers)
    if (Math.random() < faults.truncateRate) return truncate(reply, request.raw)
    if (Math.random() < faults.errorRate) return reply.code(STATUS_ERROR).send('injected error')
    return reply.send(this.responseBody(request))
  }

  /** A request can ask for its own service time with header `stand-in-time` (ms). */
  private serviceTime (headers: Http.IncomingHttpHeaders): number {
    const { slowFactor, coldStartFactor, coldStartMilliseconds } = this.faults
    const age = Date.now() - this.incarnation
    const coldStartSlowdown = age < coldStartMilliseconds ? 1 + (coldStartFactor - 1) * (1 - age / coldStartMilliseconds) : 1
    return Number(headers['stand-in-time'] ?? this.options.serviceTime) * slowFactor * coldStartSlowdown
  }

  /** Echoes what identifies the request, so that a caller can check that the answer belongs to it. */
  private responseBody (request: Fastify.FastifyRequest): unknown {
    const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0)
    return {
      target: this.options.target,
      method: request.method,
      path: request.url,
      request: request.headers['stand-in-request'] ?? null,
      bodyBytes: body.length,
      number: this.servedCount,
      padding: 'x'.repeat(Number(request.headers['stand-in-padding'] ?? this.options.padding ?? 0))
    }
  }
}

function leaveUnanswered (reply: Fastify.FastifyReply): Fastify.FastifyReply {
  reply.hijack()
  return reply
}

/** Sends half of the declared content length or, with the header `stand-in-chunked`, an unfinished chunked body. */
function truncate (reply: Fastify.FastifyReply, request: Http.IncomingMessage): Fastify.FastifyReply {
  reply.hijack()
  const isChunked = request.headers['stand-in-chunked'] !== undefined
  const framing = isChunked ? 'transfer-encoding: chunked\r\nconnection: close\r\n\r\n1000\r\n' : `content-length: ${TRUNCATED_BODY.length * 2}\r\n\r\n`
  const end = isChunked ? '\r\n' : ''
  request.socket.end(`HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n${framing}${TRUNCATED_BODY}${end}`)
  return reply
}
