/** Reads HTTP message bodies into memory. */
import type * as Http from 'node:http'
import type * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'

export type BodyFailure =
  | { readonly kind: 'too-large', readonly limit: number }
  /** The sender closed the connection before the end of the body. */
  | { readonly kind: 'incomplete' }

/** Reads a body of up to `limit` bytes. The rest of a larger body is not read, and the connection stays open. */
export async function read (message: Http.IncomingMessage, limit: number): Promise<neverthrow.Result<Buffer, BodyFailure>> {
  const chunks: Buffer[] = []
  let length = 0
  try {
    for await (const chunk of message.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      if (length + chunk.length > limit) return neverthrow.err({ kind: 'too-large', limit })
      length += chunk.length
      chunks.push(chunk)
    }
  } catch {
    // The stream reports a connection that closed early as an error.
    return neverthrow.err({ kind: 'incomplete' })
  }
  if (!message.complete) return neverthrow.err({ kind: 'incomplete' })
  return neverthrow.ok(chunks.length === 1 ? chunks[0] ?? EMPTY : Buffer.concat(chunks))
}

/**
 * Reads the rest of a body without keeping it. Resolves at its end, when the connection closes, or when the limit or the
 * timeout is reached; then no more is read.
 */
export async function discard (message: Http.IncomingMessage, limit: number, timeout: Decisions.Clock.Milliseconds): Promise<void> {
  if (message.readableEnded || message.destroyed) return
  await new Promise<void>(resolve => {
    let length = 0
    const finish = (): void => {
      clearTimeout(timer)
      message.off('data', count)
      message.pause()
      resolve()
    }
    const count = (chunk: Buffer): void => {
      length += chunk.length
      if (length > limit) finish()
    }
    const timer = setTimeout(finish, timeout)
    message.on('data', count)
    message.once('end', finish)
    message.once('close', finish)
    message.resume()
  })
}

export const EMPTY: Buffer = Buffer.alloc(0)
