/** Request bodies. Small bodies are buffered, so that they can be sent again; larger ones are streamed once. */
import type * as Http from 'node:http'
import * as Stream from 'node:stream'
import * as neverthrow from 'neverthrow'

/** Bodies up to this size are buffered whole. */
export const MAX_BUFFERED_BYTES = 65_536

export type BodyFailure =
  | { readonly kind: 'too-large', readonly limit: number }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'too-slow' }

const EMPTY_BUFFER = Buffer.alloc(0)

/** Aborts the request that sends the body on, when the body could not be received. */
export class BodyError extends Error {
  constructor (readonly failure: BodyFailure) {
    super(`request body ${failure.kind}`)
  }
}

export class Body {
  /** Reason for which a streamed body ended early. */
  failure: BodyFailure | undefined
  private isTaken = false

  constructor (
    /** The whole body, or its first bytes when `remainder` is defined. */
    readonly buffered: Buffer,
    private readonly remainder: Stream.Readable | undefined
  ) {
    remainder?.on('error', error => { if (error instanceof BodyError) this.failure = error.failure })
  }

  get isReplayable (): boolean {
    return this.remainder === undefined
  }

  /** Returns the content for one attempt; undefined when a streamed body has already been taken. */
  takeContent (): Buffer | Stream.Readable | undefined {
    if (this.remainder === undefined) return this.buffered
    if (this.isTaken) return undefined
    this.isTaken = true
    return this.remainder
  }

  /** Stops receiving a streamed body. */
  discard (): void {
    this.remainder?.destroy()
  }
}

export const EMPTY_BODY = new Body(EMPTY_BUFFER, undefined)

export function hasBody (request: Http.IncomingMessage): boolean {
  return request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0
}

/** Streams the body with back pressure. Fails with a `BodyError` beyond `limit` bytes or when the requester disconnects. */
function streamRemainder (request: Http.IncomingMessage, prefix: readonly Buffer[], limit: number): Stream.Readable {
  let received = 0
  const stream = new Stream.Transform({
    transform: (chunk: Buffer, _encoding, done) => {
      received += chunk.length
      if (received > limit) done(new BodyError({ kind: 'too-large', limit }))
      else done(null, chunk)
    }
  })
  stream.on('error', () => { request.unpipe(stream) })
  request.on('close', () => { if (!request.complete) stream.destroy(new BodyError({ kind: 'cancelled' })) })
  for (const chunk of prefix) stream.write(chunk)
  request.pipe(stream)
  return stream
}

/**
 * Reads until the body is complete or exceeds `MAX_BUFFERED_BYTES`.
 * @param limit size limit of the whole body in bytes
 * @param timeoutMs time limit for receiving the buffered part
 */
export function receive (request: Http.IncomingMessage, limit: number, timeoutMs: number): neverthrow.ResultAsync<Body, BodyFailure> {
  return new neverthrow.ResultAsync(new Promise(resolve => {
    const chunks: Buffer[] = []
    let size = 0
    const settle = (result: neverthrow.Result<Body, BodyFailure>): void => {
      clearTimeout(timer)
      request.off('data', onData).off('end', onEnd).off('close', onClose).off('error', onClose)
      request.pause()
      resolve(result)
    }
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk)
      size += chunk.length
      if (size > limit) settle(neverthrow.err({ kind: 'too-large', limit }))
      else if (size > MAX_BUFFERED_BYTES) settle(neverthrow.ok(new Body(Buffer.concat(chunks).subarray(0, MAX_BUFFERED_BYTES), streamRemainder(request, chunks, limit))))
    }
    const onEnd = (): void => { settle(neverthrow.ok(new Body(Buffer.concat(chunks), undefined))) }
    const onClose = (): void => { settle(neverthrow.err({ kind: 'cancelled' })) }
    const timer = setTimeout(() => { settle(neverthrow.err({ kind: 'too-slow' })) }, timeoutMs)
    request.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose)
  }))
}
