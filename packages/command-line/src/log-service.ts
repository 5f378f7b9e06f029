/** Client of the log service for publishing configurations. */
import * as neverthrow from 'neverthrow'
import * as Undici from 'undici'
import * as zod from 'zod'

const TIMEOUT_MS = 3_000
const STATUS_OK = 200

const pageSchema = zod.object({ records: zod.array(zod.object({ offset: zod.number(), body: zod.string() })), end: zod.number() })

export interface LogFailure {
  readonly kind: 'log-unavailable'
  /** Whether the append may have taken effect in spite of the failure. */
  readonly mayBeWritten: boolean
  readonly detail: string
}

/** Returns the bodies of all retained records of stream `configuration`, in log order. */
export async function readAll (logService: string): Promise<neverthrow.Result<readonly string[], LogFailure>> {
  const bodies: string[] = []
  for (let from = 0; ;) {
    const read = await sendRequest('GET', `${logService}/streams/configuration?from=${from}`)
    if (read.isErr()) return neverthrow.err(read.error)
    const parsed = pageSchema.safeParse(read.value)
    if (!parsed.success) return neverthrow.err({ kind: 'log-unavailable', mayBeWritten: false, detail: zod.prettifyError(parsed.error) })
    bodies.push(...parsed.data.records.map(record => record.body))
    const last = parsed.data.records.at(-1)
    if (last === undefined || last.offset + 1 >= parsed.data.end) return neverthrow.ok(bodies)
    from = last.offset + 1
  }
}

/** Appends one record to stream `configuration`. */
export async function append (logService: string, token: string, body: string): Promise<neverthrow.Result<unknown, LogFailure>> {
  return await sendRequest('POST', `${logService}/streams/configuration/append`, JSON.stringify({ body, token }))
}

async function sendRequest (method: 'GET' | 'POST', url: string, body?: string): Promise<neverthrow.Result<unknown, LogFailure>> {
  const fail = (detail: string): neverthrow.Result<unknown, LogFailure> =>
    neverthrow.err({ kind: 'log-unavailable', mayBeWritten: method === 'POST', detail })
  try {
    const response = await Undici.request(url, {
      method,
      ...(body === undefined ? {} : { body, headers: { 'content-type': 'application/json' } }),
      signal: AbortSignal.timeout(TIMEOUT_MS)
    })
    const content = await response.body.json()
    return response.statusCode === STATUS_OK ? neverthrow.ok(content) : fail(`status ${response.statusCode}`)
  } catch (error) {
    return fail(error instanceof Error ? error.message : 'unknown error')
  }
}
