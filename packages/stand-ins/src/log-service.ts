/**
 * An append-only log service with retention and injectable outages, delays and lost replies. Appends that repeat a
 * token are not deduplicated.
 */
import * as Timers from 'node:timers/promises'
import * as Fastify from 'fastify'
import * as zod from 'zod'

const STATUS_UNAVAILABLE = 503
const DAY_MS = 86_400_000
const BODY_LIMIT_BYTES = 4_194_304

const appendSchema = zod.object({ body: zod.string(), token: zod.string() })
const readSchema = zod.object({ from: zod.coerce.number().int().nonnegative() })

export const logFaultsSchema = zod.object({
  /** Refuses every call with status 503. */
  outage: zod.boolean().default(false),
  /** Delay of each call, in ms. */
  delay: zod.number().nonnegative().default(0),
  /** Appends take effect, but the connection is closed without a reply. */
  loseReplies: zod.boolean().default(false)
})

export type LogFaults = zod.infer<typeof logFaultsSchema>

export interface LogServiceOptions {
  readonly host: string
  /** 0 selects a free port. */
  readonly port: number
  /** Retention period of records, in ms. */
  readonly retention?: number
}

interface LogRecord {
  readonly offset: number
  readonly appendedAt: number
  readonly body: string
}

interface Stream {
  records: LogRecord[]
  end: number
}

export class LogService {
  faults: LogFaults = logFaultsSchema.parse({})
  private readonly streams = new Map<string, Stream>()
  private readonly app = Fastify.fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true })
  private readonly retention: number

  constructor (private readonly options: LogServiceOptions) {
    this.retention = options.retention ?? DAY_MS
  }

  get url (): string {
    const address = this.app.server.address()
    return typeof address === 'object' && address !== null ? `http://${address.address}:${address.port}` : ''
  }

  async start (): Promise<void> {
    this.app.post('/stand-in/faults', request => {
      this.faults = logFaultsSchema.parse(request.body)
      return this.faults
    })
    this.app.post<{ Params: { name: string } }>('/streams/:name/append', async (request, reply) => this.append(request, reply))
    this.app.get<{ Params: { name: string } }>('/streams/:name', async (request, reply) => this.read(request, reply))
    await this.app.listen({ host: this.options.host, port: this.options.port })
  }

  async stop (): Promise<void> {
    await this.app.close()
  }

  /** Returns the retained records of a stream. */
  records (name: string): readonly LogRecord[] {
    return this.stream(name).records
  }

  private async append (request: Fastify.FastifyRequest<{ Params: { name: string } }>, reply: Fastify.FastifyReply): Promise<unknown> {
    await Timers.setTimeout(this.faults.delay)
    if (this.faults.outage) return reply.code(STATUS_UNAVAILABLE).send({ error: 'outage' })
    const { body } = appendSchema.parse(request.body)
    const stream = this.stream(request.params.name)
    const record = { offset: stream.end, appendedAt: Date.now(), body }
    stream.records.push(record)
    stream.end += 1
    if (!this.faults.loseReplies) return { offset: record.offset }
    reply.hijack()
    request.raw.socket.destroy()
    return reply
  }

  private async read (request: Fastify.FastifyRequest<{ Params: { name: string } }>, reply: Fastify.FastifyReply): Promise<unknown> {
    await Timers.setTimeout(this.faults.delay)
    if (this.faults.outage) return reply.code(STATUS_UNAVAILABLE).send({ error: 'outage' })
    const { from } = readSchema.parse(request.query)
    const { records, end } = this.stream(request.params.name)
    return {
      records: records.filter(record => record.offset >= from),
      start: records[0]?.offset ?? end,
      end,
      time: Date.now(),
      retention: this.retention
    }
  }

  /** Returns the stream, after dropping the records older than the retention period. */
  private stream (name: string): Stream {
    const stream = this.streams.get(name) ?? { records: [], end: 0 }
    this.streams.set(name, stream)
    const oldest = Date.now() - this.retention
    stream.records = stream.records.filter(record => record.appendedAt >= oldest)
    return stream
  }
}
