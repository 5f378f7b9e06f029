/** One request to a backend server or another node, from its command to its end. */
import * as Decisions from '@jasminedale/decisions'
import * as Undici from 'undici'
import * as Headers from './headers.js'
import * as Problem from './problem.js'
import * as Wire from './wire.js'

/** Answers of other nodes that refuse are read up to this size. */
const REFUSAL_BYTES = 16_384
/** Ledger entries keep responses up to this size. */
const STORED_BYTES = 2_048
const FIRST_FINAL_STATUS = 200
const STATUS_NO_CONTENT = 204
const STATUS_NOT_MODIFIED = 304
const STATUS_UNAVAILABLE = 503

export interface Head {
  readonly status: number
  /** Fields to pass on. */
  readonly headers: string[]
  readonly serviceTime: Decisions.Clock.Milliseconds
  readonly shed: boolean
}

/** Where a relayed response goes. `write` returns false to ask for a pause until `resume`. */
export interface Sink {
  write (chunk: Buffer): boolean
  end (): void
  /** The response ended early. */
  abort (): void
}

export interface Listener {
  responded (attempt: Attempt, head: Head): void
  finished (attempt: Attempt, end: Decisions.Events.AttemptEnd, elapsed: Decisions.Clock.Milliseconds): void
}

export interface Plan {
  readonly id: Decisions.Ids.AttemptId
  readonly address: Decisions.Ids.Endpoint
  /** Absent when the peer is another node. */
  readonly target?: Decisions.Ids.TargetId
  readonly method: string
  readonly remaining: Decisions.Clock.Milliseconds
  readonly bodyLimit: number
  /** Report the body of a short response, for the ledger. */
  readonly keepBody: boolean
}

export class Attempt implements Undici.Dispatcher.DispatchHandler {
  head: Head | undefined
  private readonly startedAt = performance.now()
  private readonly timer: NodeJS.Timeout
  private controller: Undici.Dispatcher.DispatchController | undefined
  private sink: Sink | undefined
  private ended = false
  private bytes = 0
  private kept: Buffer[] | undefined
  private refusing = false

  constructor (readonly plan: Plan, private readonly listener: Listener) {
    this.timer = setTimeout(() => { this.expire() }, Math.max(0, plan.remaining))
    if (plan.keepBody) this.kept = []
  }

  /** Starts to pass the response to the requester. */
  relayTo (sink: Sink): void {
    this.sink = sink
    this.controller?.resume()
  }

  resume (): void {
    this.controller?.resume()
  }

  cancel (): void {
    this.fail({ kind: 'cancelled' })
  }

  onRequestStart (controller: Undici.Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.ended) controller.abort(new Error('attempt ended before it was sent'))
  }

  onResponseStart (controller: Undici.Dispatcher.DispatchController, status: number): void {
    if (status < FIRST_FINAL_STATUS || this.ended) return
    const headers = Headers.decode(controller.rawHeaders as Buffer[])
    const outcome = Headers.first(headers, Wire.OUTCOME)
    if (this.plan.target === undefined && (outcome === 'not-run' || outcome === 'unknown')) {
      this.refusing = true
      this.kept = []
      return
    }
    if (!this.isAcceptable(status, headers, outcome)) {
      this.fail({ kind: 'disconnected', responseStarted: true })
      return
    }
    this.head = this.readHead(status, headers)
    this.listener.responded(this, this.head)
    if (this.needsSink()) controller.pause()
  }

  onResponseData (controller: Undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.ended) return
    this.bytes += chunk.length
    if (this.bytes > (this.refusing ? REFUSAL_BYTES : this.plan.bodyLimit)) {
      this.fail({ kind: 'disconnected', responseStarted: true })
      return
    }
    this.keep(chunk)
    if (this.sink?.write(chunk) === false) controller.pause()
  }

  onResponseEnd (): void {
    if (this.ended) return
    if (this.refusing) {
      const refusal = Problem.parse(Buffer.concat(this.kept ?? []).toString())
      this.finish(refusal === undefined ? { kind: 'disconnected', responseStarted: true } : { kind: 'refused', refusal })
      return
    }
    const body = this.storedBody()
    this.finish({ kind: 'complete', status: this.head?.status ?? 0, bytes: this.bytes, ...(body === undefined ? {} : { body }) })
  }

  /** Without `onRequestStart` no connection was given to the request, so nothing was sent. */
  onResponseError (): void {
    if (this.controller === undefined) this.finish({ kind: 'unreachable' })
    else this.finish({ kind: 'disconnected', responseStarted: this.head !== undefined || this.refusing })
  }

  /** The request could not be given to the connection pool: nothing was sent. */
  reject (): void {
    this.finish({ kind: 'unreachable' })
  }

  /**
   * A response whose end cannot be recognized, or that is too long, is never passed on:
   * a body that ends with the connection looks the same complete and cut off.
   */
  private isAcceptable (status: number, headers: readonly string[], outcome: string | undefined): boolean {
    if (this.plan.target === undefined && outcome === undefined) return false
    if (this.plan.method === 'HEAD' || status === STATUS_NO_CONTENT || status === STATUS_NOT_MODIFIED) return true
    const length = Headers.first(headers, 'content-length')
    if (length !== undefined) return Number(length) <= this.plan.bodyLimit
    return Headers.first(headers, 'transfer-encoding')?.toLowerCase().includes('chunked') ?? false
  }

  private needsSink (): boolean {
    return this.sink === undefined && !this.ended
  }

  private readHead (status: number, headers: readonly string[]): Head {
    const measured = Decisions.Clock.milliseconds(performance.now() - this.startedAt)
    const reported = this.plan.target === undefined ? Wire.parseMilliseconds(Headers.first(headers, Wire.SERVICE_TIME)) : undefined
    const shed = status === STATUS_UNAVAILABLE && Headers.first(headers, 'retry-after') !== undefined
    return { status, headers: Headers.passedOn(headers), serviceTime: reported ?? measured, shed }
  }

  private keep (chunk: Buffer): void {
    if (this.kept === undefined) return
    if (!this.refusing && this.bytes > STORED_BYTES) this.kept = undefined
    else this.kept.push(chunk)
  }

  /** Encoded or binary content cannot be kept as text. */
  private storedBody (): string | undefined {
    if (this.kept === undefined || this.head === undefined) return undefined
    if (Headers.first(this.head.headers, 'content-encoding') !== undefined) return undefined
    const bytes = Buffer.concat(this.kept)
    const text = bytes.toString('utf8')
    return Buffer.byteLength(text) === bytes.length && !text.includes('\uFFFD') ? text : undefined
  }

  private expire (): void {
    const sent = this.controller !== undefined
    this.fail(sent ? { kind: 'timed-out', responseStarted: this.head !== undefined } : { kind: 'unreachable' })
  }

  private fail (end: Decisions.Events.AttemptEnd): void {
    if (this.ended) return
    this.finish(end)
    this.controller?.abort(new Error(`attempt ${end.kind}`))
  }

  private finish (end: Decisions.Events.AttemptEnd): void {
    if (this.ended) return
    this.ended = true
    clearTimeout(this.timer)
    if (end.kind === 'complete') this.sink?.end()
    else this.sink?.abort()
    this.listener.finished(this, end, Decisions.Clock.milliseconds(performance.now() - this.startedAt))
  }
}
