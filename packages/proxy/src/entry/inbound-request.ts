/** A caller's request as the HTTP library delivers it, with its response. */
import type * as Http from 'node:http'
import type * as Decisions from '@jasminedale/decisions'
import type * as Memories from '../resources/memory.js'
import * as CallerConnections from './caller-connection.js'

/** Statuses whose responses must not have a body or a length. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

export interface InboundRequestOptions {
  readonly request: Http.IncomingMessage
  readonly response: Http.ServerResponse
  readonly id: Decisions.Ids.RequestId
  readonly arrivedAt: Decisions.Clock.Milliseconds
  readonly holdsBack: boolean
  readonly memory: Pick<Memories.Memory, 'send'>
  /** Called before a response that closes the connection is written. */
  readonly onClosing: (reason: CallerConnections.CloseReason) => void
}

export class InboundRequest extends CallerConnections.PipelinedRequest {
  readonly request: Http.IncomingMessage
  readonly response: Http.ServerResponse
  readonly id: Decisions.Ids.RequestId
  readonly arrivedAt: Decisions.Clock.Milliseconds

  constructor (private readonly options: InboundRequestOptions) {
    super(options.holdsBack)
    this.request = options.request
    this.response = options.response
    this.id = options.id
    this.arrivedAt = options.arrivedAt
  }

  override get isComplete (): boolean {
    return this.request.complete
  }

  override write (reply: CallerConnections.Reply, closes: CallerConnections.CloseReason | undefined): void {
    const { request, response } = this
    if (response.destroyed) return
    const fields = [...reply.fields]
    // A body whose end is not known must not look complete, so it gets no length.
    if (!reply.isFramed) response.useChunkedEncodingByDefault = false
    else if (!BODYLESS_STATUSES.has(reply.status) && request.method !== 'HEAD') fields.push('Content-Length', String(reply.body.length))
    if (closes !== undefined) {
      this.options.onClosing(closes)
      fields.push('Connection', 'close')
    }
    response.sendDate = false
    response.writeHead(reply.status, fields)
    if (request.method === 'HEAD') response.end()
    else this.options.memory.send(response, reply.body)
  }
}
