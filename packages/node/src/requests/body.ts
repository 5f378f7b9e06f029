/** Request bodies: small ones are held whole for replay, larger ones are streamed once. */
import type * as Http from 'node:http'
import * as Stream from 'node:stream'
import * as neverthrow from 'neverthrow'

/** Bodies up to this size can be sent again by another attempt. */
export const HELD_BYTES = 65_536

export type BodyFailure =
  | { readonly kind: 'too-large', readonly limit: number }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'too-slow' }

const EMPTY = Buffer.alloc(0)

/** Ends the upstream request when the body is not received as announced. */
export class BodyBroken extends Error {
  constructor (readonly failure: BodyFailure) {
    super(`request body ${failure.kind}`)
  }
}

export class Body {
  /** Why a streamed body ended early. */
  failure: BodyFailure | undefined
  private taken = false

  constructor (
    /** The whole body, or its first bytes when `rest` has more. */
    readonly held: Buffer,
    private readonly rest: Stream.Readable | undefined
  ) {
    rest?.on('error', error => { if (error instanceof BodyBroken) this.failure = error.failure })
  }

  get replayable (): boolean {
    return this.rest === undefined
  }

  /** Content for one attempt; undefined when a streamed body has already been taken. */
  open (): Buffer | Stream.Readable | undefined {
    if (this.rest === undefined) return this.held
    if (this.taken) return undefined
    this.taken = true
    return this.rest
  }

  /** Stops receiving a body that no attempt reads. */
  discard (): void {
    this.rest?.destroy()
  }
}

export const NO_BODY = new Body(EMPTY, undefined)

export function announced (request: Http.IncomingMessage): boolean {
  return request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0
}

/** Passes chunks on with back pressure until the limit. */
function streamRest (request: Http.IncomingMessage, prefix: readonly Buffer[], limit: number): Stream.Readable {
  let received = 0
  const rest = new Stream.Transform({
    transform: (chunk: Buffer, _encoding, done) => {
      received += chunk.length
      if (received > limit) done(new BodyBroken({ kind: 'too-large', limit }))
      else done(null, chunk)
    }
  })
  rest.on('error', () => { request.unpipe(rest) })
  request.on('close', () => { if (!request.complete) rest.destroy(new BodyBroken({ kind: 'cancelled' })) })
  for (const chunk of prefix) rest.write(chunk)
  request.pipe(rest)
  return rest
}

/**
 * Reads until the body is complete or exceeds what is held.
 * @param limit largest body in bytes
 * @param patience time for the held part, in ms
 */
export function receive (request: Http.IncomingMessage, limit: number, patience: number): neverthrow.ResultAsync<Body, BodyFailure> {
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
      else if (size > HELD_BYTES) settle(neverthrow.ok(new Body(Buffer.concat(chunks).subarray(0, HELD_BYTES), streamRest(request, chunks, limit))))
    }
    const onEnd = (): void => { settle(neverthrow.ok(new Body(Buffer.concat(chunks), undefined))) }
    const onClose = (): void => { settle(neverthrow.err({ kind: 'cancelled' })) }
    const timer = setTimeout(() => { settle(neverthrow.err({ kind: 'too-slow' })) }, patience)
    request.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose)
  }))
}
