/** Client of the log service: reads from and appends to streams over HTTP. */
import * as Decisions from '@jasminedale/decisions'
import * as Undici from 'undici'
import * as zod from 'zod'
import type * as EngineLoops from '../engine-loop.js'
import type * as Loggers from '../observation/logger.js'
import type * as Metrics from '../observation/metrics.js'

const TIMEOUT_MS = 2_000
const CONNECTIONS = 4
const STATUS_OK = 200
const STATUS_CLIENT_ERROR = 400
const STATUS_SERVER_ERROR = 500

const millisecondsSchema = zod.number().transform(Decisions.Clock.milliseconds)
const readSchema = zod.object({
  records: zod.array(zod.object({ offset: zod.number(), appendedAt: millisecondsSchema, body: zod.string() })),
  start: zod.number(),
  end: zod.number(),
  time: millisecondsSchema,
  retention: millisecondsSchema
})
const appendSchema = zod.object({ offset: zod.number() })

interface LogClientParts {
  readonly settings: { readonly logService: string }
  readonly clock: Decisions.Clock.Clock
  readonly loop: EngineLoops.EngineLoop
  readonly logger: Loggers.Logger
  readonly metrics: Metrics.Metrics
}

export class LogClient {
  /** Time of the last successful read or append of each stream, by the local clock. */
  readonly lastReachedAt = new Map<Decisions.Events.Stream, Decisions.Clock.Milliseconds>()
  /** Time of the first failure since the last success of each stream that is failing. */
  readonly failingSince = new Map<Decisions.Events.Stream, Decisions.Clock.Milliseconds>()
  private readonly parts: LogClientParts
  private readonly pool: Undici.Pool

  constructor (parts: LogClientParts) {
    this.parts = parts
    this.pool = new Undici.Pool(parts.settings.logService, { connections: CONNECTIONS, connect: { timeout: TIMEOUT_MS } })
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }

  async read ({ stream, from }: Decisions.Commands.ReadLog): Promise<void> {
    try {
      const { statusCode, body } = await this.pool.request({
        method: 'GET', path: `/streams/${stream}?from=${from}`, signal: AbortSignal.timeout(TIMEOUT_MS)
      })
      const json = await body.json()
      if (statusCode !== STATUS_OK) throw new Error(`status ${statusCode}`)
      const { records, start, end, time, retention } = readSchema.parse(json)
      this.recordSuccess(stream)
      this.parts.loop.submit({ kind: 'log-read', stream, records, start, end, logTime: time, retention })
    } catch (error) {
      this.recordFailure(stream, error)
      this.parts.loop.submit({ kind: 'log-unavailable', stream })
    }
  }

  /** Reports `failed` only after a refused connection or a 4xx status, which prove that nothing was written; otherwise `unknown`. */
  async append ({ stream, token, body: content }: Decisions.Commands.AppendLog): Promise<void> {
    try {
      const { statusCode, body } = await this.pool.request({
        method: 'POST', path: `/streams/${stream}/append`, headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ body: content, token }), signal: AbortSignal.timeout(TIMEOUT_MS)
      })
      const json = await body.json()
      if (statusCode >= STATUS_CLIENT_ERROR && statusCode < STATUS_SERVER_ERROR) {
        this.reportAppendFailure(stream, token, 'failed')
        return
      }
      if (statusCode !== STATUS_OK) throw new Error(`status ${statusCode}`)
      const { offset } = appendSchema.parse(json)
      this.recordSuccess(stream)
      this.parts.loop.submit({ kind: 'append-finished', stream, token, result: 'appended', offset })
    } catch (error) {
      this.recordFailure(stream, error)
      this.reportAppendFailure(stream, token, isConnectionRefused(error) ? 'failed' : 'unknown')
    }
  }

  private reportAppendFailure (stream: Decisions.Events.Stream, token: string, result: 'failed' | 'unknown'): void {
    this.parts.loop.submit({ kind: 'append-finished', stream, token, result })
  }

  private recordSuccess (stream: Decisions.Events.Stream): void {
    if (this.failingSince.delete(stream)) this.parts.logger.info({ stream }, 'log service answers again')
    this.lastReachedAt.set(stream, this.parts.clock.now())
  }

  private recordFailure (stream: Decisions.Events.Stream, error: unknown): void {
    this.parts.metrics.count('log.failed')
    if (this.failingSince.has(stream)) return
    this.failingSince.set(stream, this.parts.clock.now())
    this.parts.logger.warn({ stream, error: String(error) }, 'log service does not answer')
  }
}

function isConnectionRefused (error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
}
