/** Reads whole message bodies into memory. */
import type * as Http from 'node:http'
import * as neverthrow from 'neverthrow'

export type BodyFailure =
  | { readonly kind: 'too-large', readonly limit: number }
  /** The sender broke off before the end. */
  | { readonly kind: 'incomplete' }

/** Collects a body up to `limit` bytes. A body that is too large is left unread. */
export async function read (message: Http.IncomingMessage, limit: number): Promise<neverthrow.Result<Buffer, BodyFailure>> {
  const chunks: Buffer[] = []
  let length = 0
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) {
      length += chunk.length
      if (length > limit) return neverthrow.err({ kind: 'too-large', limit })
      chunks.push(chunk)
    }
  } catch {
    // The stream reports a connection that ended early as an error; the result says the same.
    return neverthrow.err({ kind: 'incomplete' })
  }
  if (!message.complete) return neverthrow.err({ kind: 'incomplete' })
  return neverthrow.ok(chunks.length === 1 ? chunks[0] ?? EMPTY : Buffer.concat(chunks))
}

export const EMPTY: Buffer = Buffer.alloc(0)
