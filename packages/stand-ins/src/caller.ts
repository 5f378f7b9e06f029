/** A caller that resends as docs/callers.md allows and checks that each answer is complete and belongs to its request. */
import * as Timers from 'node:timers/promises'
import * as Undici from 'undici'
import * as zod from 'zod'

const RESPONSE_TIMEOUT_MS = 15_000
const RESEND_PAUSE_MS = 100
const STATUS_ERROR = 500

const answerSchema = zod.object({ request: zod.string(), path: zod.string(), method: zod.string(), bodyBytes: zod.number(), padding: zod.string() })
const problemSchema = zod.object({ type: zod.string(), detail: zod.string() })
const keySchema = zod.object({ key: zod.string() })

export interface Call {
  readonly service: string
  readonly method: 'GET' | 'PUT' | 'POST'
  readonly path: string
  readonly body?: string
  /** Idempotency key. A POST without one is resent only if it did not run. */
  readonly key?: string
  readonly headers?: Readonly<Record<string, string>>
}

export type CallResult =
  | { readonly kind: 'answered', readonly status: number, readonly milliseconds: number, readonly replayed: boolean }
  | { readonly kind: 'refused', readonly outcome: string, readonly type: string, readonly detail: string }
  /** The connection ended before the end of the response. */
  | { readonly kind: 'broken' }
  /** The response belongs to another request or is malformed. */
  | { readonly kind: 'wrong-answer', readonly detail: string }

export interface CallerOptions {
  /** `ADDRESS:PORT` of entry nodes, used in round-robin order. */
  readonly nodes: readonly string[]
  /** Maximum number of sends of a call. */
  readonly attempts?: number
}

export class Caller {
  readonly counts = new Map<string, number>()
  private readonly agent = new Undici.Agent({ connections: 64, headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS })
  private sentCount = 0
  private turn = 0

  constructor (private readonly options: CallerOptions) {}

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  /** Requests a key from a node, as docs/callers.md recommends. */
  async key (): Promise<string> {
    const response = await Undici.request(`http://${this.nextNode()}/.jasminedale/key`, { dispatcher: this.agent })
    return keySchema.parse(await response.body.json()).key
  }

  /** Sends a call. Resends it through another node when that is safe: it is idempotent, has a key or did not run. */
  async call (call: Call): Promise<CallResult> {
    this.sentCount += 1
    // A resend with the same key gets the response to the first send, so both must carry the same id.
    const id = call.key ?? `call-${this.sentCount}`
    let result = await this.send(call, id)
    for (let tries = 1; tries < (this.options.attempts ?? 1) && maySendAgain(call, result); tries += 1) {
      await Timers.setTimeout(RESEND_PAUSE_MS * tries)
      result = await this.send(call, id)
    }
    const name = result.kind === 'refused' ? `refused ${result.outcome} ${result.type.split(':').at(-1) ?? ''}` : result.kind
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1)
    return result
  }

  private nextNode (): string {
    this.turn += 1
    return this.options.nodes[this.turn % this.options.nodes.length] ?? ''
  }

  private async send (call: Call, id: string): Promise<CallResult> {
    const startedAt = performance.now()
    const headers = {
      'jasminedale-service': call.service, 'stand-in-request': id, ...call.headers, ...(call.key === undefined ? {} : { 'idempotency-key': call.key })
    }
    try {
      const response = await Undici.request(`http://${this.nextNode()}${call.path}`, {
        dispatcher: this.agent, method: call.method, headers, body: call.body ?? null
      })
      const text = await response.body.text()
      const milliseconds = performance.now() - startedAt
      const outcome = String(response.headers['jasminedale-outcome'])
      if (outcome !== 'complete') return readRefusal(text, outcome)
      const replayed = response.headers['jasminedale-replayed']
      if (response.statusCode >= STATUS_ERROR || replayed === 'outcome-only') return { kind: 'answered', status: response.statusCode, milliseconds, replayed: replayed !== undefined }
      return findWrongAnswer(call, id, text) ?? { kind: 'answered', status: response.statusCode, milliseconds, replayed: replayed !== undefined }
    } catch {
      return { kind: 'broken' }
    }
  }
}

function maySendAgain (call: Call, result: CallResult): boolean {
  const isRepeatable = call.method !== 'POST' || call.key !== undefined
  switch (result.kind) {
    case 'answered': return call.method !== 'POST' && result.status >= STATUS_ERROR
    case 'refused': return result.outcome === 'not-run' || isRepeatable
    case 'broken': return isRepeatable
    case 'wrong-answer': return false
  }
}

function readRefusal (text: string, outcome: string): CallResult {
  try {
    const { type, detail } = problemSchema.parse(JSON.parse(text))
    return { kind: 'refused', outcome, type, detail }
  } catch {
    return { kind: 'wrong-answer', detail: 'refusal is not a problem document' }
  }
}

/** Compares the response with the request, whose identifying fields the stand-in backend server echoes. */
function findWrongAnswer (call: Call, id: string, text: string): CallResult | undefined {
  let json: unknown
  try {
    json = JSON.parse(text)
  } catch {
    return { kind: 'wrong-answer', detail: 'response body is not complete JSON' }
  }
  const answer = answerSchema.safeParse(json)
  if (!answer.success) return { kind: 'wrong-answer', detail: 'response body does not match the schema' }
  const { request, path, method, bodyBytes } = answer.data
  const isOwnAnswer = request === id && path === call.path && method === call.method && bodyBytes === Buffer.byteLength(call.body ?? '')
  return isOwnAnswer ? undefined : { kind: 'wrong-answer', detail: `answer of ${request} for ${id}` }
}
