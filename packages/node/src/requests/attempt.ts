/** One request to a backend server or another node, from the engine's command to the end of the response. */
import * as Decisions from '@jasminedale/decisions'
import * as Undici from 'undici'
import * as Headers from './headers.js'
import * as Problems from './problem.js'
import * as HeaderFields from './header-fields.js'

/** Size limit of a refusal from another node. */
const MAX_REFUSAL_BYTES = 16_384
/** Larger response bodies are not stored for replay. */
const MAX_STORED_BODY_BYTES = 2_048
const FIRST_FINAL_STATUS = 200
const STATUS_NO_CONTENT = 204
const STATUS_NOT_MODIFIED = 304
const STATUS_UNAVAILABLE = 503

export interface ResponseHead {
  readonly status: number
  /** End-to-end header fields. */
  readonly headers: string[]
  readonly serviceTime: Decisions.Clock.Milliseconds
  /** Status 503 with field Retry-After, by which a backend server sheds load. */
  readonly isShed: boolean
}

/** Destination of a relayed response. `write` returns false to pause the response until `resume` is called. */
export interface Sink {
  write (chunk: Buffer): boolean
  end (): void
  /** Called instead of `end` when the response was cut off. */
  abort (): void
}

export interface AttemptListener {
  handleResponse (attempt: Attempt, head: ResponseHead): void
  handleEnd (attempt: Attempt, end: Decisions.Events.AttemptEnd, elapsed: Decisions.Clock.Milliseconds): void
}

export interface AttemptPlan {
  readonly id: Decisions.Ids.AttemptId
  readonly address: Decisions.Ids.Endpoint
  /** Absent when the peer is another node. */
  readonly target?: Decisions.Ids.TargetId
  readonly method: string
  readonly remaining: Decisions.Clock.Milliseconds
  readonly bodyLimit: number
  /** Whether to report the body of a short response, which is stored for replay. */
  readonly isBodyKept: boolean
}

export class Attempt implements Undici.Dispatcher.DispatchHandler {
  head: ResponseHead | undefined
  private readonly startedAt = performance.now()
  private readonly timer: NodeJS.Timeout
  private controller: Undici.Dispatcher.DispatchController | undefined
  private sink: Sink | undefined
  private hasEnded = false
  private receivedBytes = 0
  private keptChunks: Buffer[] | undefined
  private isRefusal = false

  constructor (readonly plan: AttemptPlan, private readonly listener: AttemptListener) {
    this.timer = setTimeout(() => { this.expire() }, Math.max(0, plan.remaining))
    if (plan.isBodyKept) this.keptChunks = []
  }

  /** Starts to relay the response to the requester. */
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
    if (this.hasEnded) controller.abort(new Error('attempt ended before it was sent'))
  }

  onResponseStart (controller: Undici.Dispatcher.DispatchController, status: number): void {
    if (status < FIRST_FINAL_STATUS || this.hasEnded) return
    const headers = Headers.decode(controller.rawHeaders as Buffer[])
    const outcome = Headers.firstValue(headers, HeaderFields.OUTCOME)
    if (this.plan.target === undefined && (outcome === 'not-run' || outcome === 'unknown')) {
      this.isRefusal = true
      this.keptChunks = []
      return
    }
    if (!this.isAcceptable(status, headers, outcome)) {
      this.fail({ kind: 'disconnected', responseStarted: true })
      return
    }
    this.head = this.readHead(status, headers)
    this.listener.handleResponse(this, this.head)
    if (this.isWaitingForSink()) controller.pause()
  }

  onResponseData (controller: Undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.hasEnded) return
    this.receivedBytes += chunk.length
    if (this.receivedBytes > (this.isRefusal ? MAX_REFUSAL_BYTES : this.plan.bodyLimit)) {
      this.fail({ kind: 'disconnected', responseStarted: true })
      return
    }
    this.keepChunk(chunk)
    if (this.sink?.write(chunk) === false) controller.pause()
  }

  onResponseEnd (): void {
    if (this.hasEnded) return
    if (this.isRefusal) {
      const refusal = Problems.parseRefusal(Buffer.concat(this.keptChunks ?? []).toString())
      this.finish(refusal === undefined ? { kind: 'disconnected', responseStarted: true } : { kind: 'refused', refusal })
      return
    }
    const body = this.bodyToStore()
    this.finish({ kind: 'complete', status: this.head?.status ?? 0, bytes: this.receivedBytes, ...(body === undefined ? {} : { body }) })
  }

  /** Before `onRequestStart` the request has no connection, so nothing was sent. */
  onResponseError (): void {
    if (this.controller === undefined) this.finish({ kind: 'unreachable' })
    else this.finish({ kind: 'disconnected', responseStarted: this.head !== undefined || this.isRefusal })
  }

  /** Ends an attempt whose request could not be passed to the connection pool, so nothing was sent. */
  reject (): void {
    this.finish({ kind: 'unreachable' })
  }

  /**
   * Whether the response may be relayed. It needs a recognizable end, since a body that ends with the connection
   * looks the same whether it is complete or cut off, and its length must be within the limit.
   */
  private isAcceptable (status: number, headers: readonly string[], outcome: string | undefined): boolean {
    if (this.plan.target === undefined && outcome === undefined) return false
    if (this.plan.method === 'HEAD' || status === STATUS_NO_CONTENT || status === STATUS_NOT_MODIFIED) return true
    const length = Headers.firstValue(headers, 'content-length')
    if (length !== undefined) return Number(length) <= this.plan.bodyLimit
    return Headers.firstValue(headers, 'transfer-encoding')?.toLowerCase().includes('chunked') ?? false
  }

  private isWaitingForSink (): boolean {
    return this.sink === undefined && !this.hasEnded
  }

  private readHead (status: number, headers: readonly string[]): ResponseHead {
    const measured = Decisions.Clock.milliseconds(performance.now() - this.startedAt)
    const reported = this.plan.target === undefined ? HeaderFields.parseMilliseconds(Headers.firstValue(headers, HeaderFields.SERVICE_TIME)) : undefined
    const isShed = status === STATUS_UNAVAILABLE && Headers.firstValue(headers, 'retry-after') !== undefined
    return { status, headers: Headers.endToEndFields(headers), serviceTime: reported ?? measured, isShed }
  }

  private keepChunk (chunk: Buffer): void {
    if (this.keptChunks === undefined) return
    if (!this.isRefusal && this.receivedBytes > MAX_STORED_BODY_BYTES) this.keptChunks = undefined
    else this.keptChunks.push(chunk)
  }

  /** Body to store for replay. Bodies are stored as text, so encoded or binary content is not stored. */
  private bodyToStore (): string | undefined {
    if (this.keptChunks === undefined || this.head === undefined) return undefined
    if (Headers.firstValue(this.head.headers, 'content-encoding') !== undefined) return undefined
    const bytes = Buffer.concat(this.keptChunks)
    const text = bytes.toString('utf8')
    return Buffer.byteLength(text) === bytes.length && !text.includes('\uFFFD') ? text : undefined
  }

  private expire (): void {
    const hasStarted = this.controller !== undefined
    this.fail(hasStarted ? { kind: 'timed-out', responseStarted: this.head !== undefined } : { kind: 'unreachable' })
  }

  private fail (end: Decisions.Events.AttemptEnd): void {
    if (this.hasEnded) return
    this.finish(end)
    this.controller?.abort(new Error(`attempt ${end.kind}`))
  }

  private finish (end: Decisions.Events.AttemptEnd): void {
    if (this.hasEnded) return
    this.hasEnded = true
    clearTimeout(this.timer)
    if (end.kind === 'complete') this.sink?.end()
    else this.sink?.abort()
    this.listener.handleEnd(this, end, Decisions.Clock.milliseconds(performance.now() - this.startedAt))
  }
}
