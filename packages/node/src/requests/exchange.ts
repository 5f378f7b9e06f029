/** One request of a caller or another node, and its response. */
import type * as Http from 'node:http'
import type * as Decisions from '@jasminedale/decisions'
import type * as Attempts from './attempt.js'
import type * as Bodies from './body.js'
import * as Problems from './problem.js'
import * as HeaderFields from './header-fields.js'

const STATUS_NO_CONTENT = 204

export interface InboundRequest {
  readonly request: Http.IncomingMessage
  readonly response: Http.ServerResponse
}

export class Exchange {
  readonly attempts = new Map<Decisions.Ids.AttemptId, Attempts.Attempt>()
  /** The response has been started, or can no longer be delivered. */
  isAnswered = false
  /** The requester closed the connection before the end of the response. */
  isRequesterGone = false

  constructor (
    readonly arrival: Decisions.Events.RequestArrived,
    readonly body: Bodies.Body,
    readonly policy: Decisions.Policies.Policy,
    /** Time in ms, by `performance.now`, at which the exchange is ended because the engine has made no decision. */
    readonly expiresAt: number,
    private readonly inbound: InboundRequest
  ) {}

  get headers (): readonly string[] {
    return this.inbound.request.rawHeaders
  }

  get path (): string {
    return this.arrival.path
  }

  get isFinished (): boolean {
    return this.isAnswered && this.attempts.size === 0
  }

  /** Streams the response of an attempt to the requester. */
  relay (attempt: Attempts.Attempt): void {
    const head = attempt.head
    if (head === undefined) return
    if (this.isAnswered) {
      attempt.relayTo(DISCARDING_SINK)
      return
    }
    this.isAnswered = true
    const { response } = this.inbound
    response.writeHead(head.status, [
      ...head.headers, HeaderFields.OUTCOME, 'complete', HeaderFields.SERVICE_TIME, head.serviceTime.toFixed(2)
    ])
    // Sends the head even when the body is delayed.
    process.nextTick(() => { if (!response.writableEnded) response.flushHeaders() })
    attempt.relayTo(this.sinkFor(attempt))
  }

  refuse (refusal: Decisions.Refusals.Refusal): void {
    if (this.isAnswered) return
    this.isAnswered = true
    this.body.discard()
    sendProblem(this.inbound, Problems.createProblem(this.withBodyFailure(refusal)))
  }

  /** A streamed body beyond the limit fails the attempt; the refusal then names the limit instead. */
  private withBodyFailure (refusal: Decisions.Refusals.Refusal): Decisions.Refusals.Refusal {
    if (this.body.failure?.kind !== 'too-large') return refusal
    return { kind: 'body-too-large', outcome: refusal.outcome, detail: `The request body exceeds ${this.body.failure.limit} bytes.` }
  }

  replay (status: number, body: string | undefined): void {
    if (this.isAnswered) return
    this.isAnswered = true
    const isEmpty = body === undefined || body === ''
    const headers = [HeaderFields.OUTCOME, 'complete', 'jasminedale-replayed', body === undefined ? 'outcome-only' : 'stored']
    if (!isEmpty) headers.push('content-type', contentTypeOf(body))
    if (status !== STATUS_NO_CONTENT) headers.push('content-length', String(Buffer.byteLength(body ?? '')))
    this.inbound.response.writeHead(status, headers).end(body)
  }

  /** After the requester has disconnected, the response is still read, because it may have to be stored for replay. */
  private sinkFor (attempt: Attempts.Attempt): Attempts.Sink {
    const { response } = this.inbound
    response.on('drain', () => { attempt.resume() })
    response.on('close', () => { attempt.resume() })
    return {
      write: chunk => response.destroyed || response.write(chunk) || response.destroyed,
      end: () => { response.end() },
      abort: () => { response.socket?.resetAndDestroy() }
    }
  }
}

const DISCARDING_SINK: Attempts.Sink = {
  write: () => true,
  end: () => { /* The response is discarded. */ },
  abort: () => { /* The response is discarded. */ }
}

function contentTypeOf (body: string): string {
  try {
    JSON.parse(body)
    return 'application/json'
  } catch {
    return 'text/plain; charset=utf-8'
  }
}

/** Sends a refusal. Closes the connection if the body was not fully received, because its rest would be read as the next request. */
export function sendProblem ({ request, response }: InboundRequest, problem: Problems.Problem): void {
  const headers = request.complete ? problem.headers : [...problem.headers, 'connection', 'close']
  response.writeHead(problem.status, headers).end(request.method === 'HEAD' ? undefined : problem.body)
}
