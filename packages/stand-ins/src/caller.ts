/** A caller that sends again as docs/callers.md allows and checks that every answer is its own and whole. */
import * as Timers from 'node:timers/promises'
import * as Undici from 'undici'
import * as zod from 'zod'

const TIMEOUT_MS = 15_000
const PAUSE_MS = 100
const STATUS_ERROR = 500

const answerSchema = zod.object({ request: zod.string(), path: zod.string(), method: zod.string(), bodyBytes: zod.number(), padding: zod.string() })
const problemSchema = zod.object({ type: zod.string(), detail: zod.string() })
const keySchema = zod.object({ key: zod.string() })

export interface Call {
  readonly service: string
  readonly method: 'GET' | 'PUT' | 'POST'
  readonly path: string
  readonly body?: string
  /** Idempotency key; without one a POST is never sent again. */
  readonly key?: string
  readonly headers?: Readonly<Record<string, string>>
}

export type CallResult =
  | { readonly kind: 'answered', readonly status: number, readonly milliseconds: number, readonly replayed: boolean }
  | { readonly kind: 'refused', readonly outcome: string, readonly type: string, readonly detail: string }
  /** The connection ended before the end of the response. */
  | { readonly kind: 'broken' }
  /** The response is not the one of this request. */
  | { readonly kind: 'wrong-answer', readonly detail: string }

export interface CallerOptions {
  /** `ADDRESS:PORT` of entry nodes, tried in turn. */
  readonly nodes: readonly string[]
  /** Times that a call is sent. */
  readonly attempts?: number
}

export class Caller {
  readonly counts = new Map<string, number>()
  private readonly agent = new Undici.Agent({ connections: 64, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS })
  private sent = 0
  private turn = 0

  constructor (private readonly options: CallerOptions) {}

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  /** A key from a node, as docs/callers.md recommends. */
  async key (): Promise<string> {
    const response = await Undici.request(`http://${this.nextNode()}/.jasminedale/key`, { dispatcher: this.agent })
    return keySchema.parse(await response.body.json()).key
  }

  /** Sends a call, again through another node when that is safe: it is idempotent, has a key, or did not run. */
  async call (call: Call): Promise<CallResult> {
    this.sent += 1
    // A resend of a key gets the answer to its first request, so the key identifies both.
    const id = call.key ?? `call-${this.sent}`
    let result = await this.send(call, id)
    for (let tries = 1; tries < (this.options.attempts ?? 1) && maySendAgain(call, result); tries += 1) {
      await Timers.setTimeout(PAUSE_MS * tries)
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
      return check(call, id, text) ?? { kind: 'answered', status: response.statusCode, milliseconds, replayed: replayed !== undefined }
    } catch {
      return { kind: 'broken' }
    }
  }
}

function maySendAgain (call: Call, result: CallResult): boolean {
  const repeatable = call.method !== 'POST' || call.key !== undefined
  switch (result.kind) {
    case 'answered': return call.method !== 'POST' && result.status >= STATUS_ERROR
    case 'refused': return result.outcome === 'not-run' || repeatable
    case 'broken': return repeatable
    case 'wrong-answer': return false
  }
}

function readRefusal (text: string, outcome: string): CallResult {
  try {
    const { type, detail } = problemSchema.parse(JSON.parse(text))
    return { kind: 'refused', outcome, type, detail }
  } catch {
    return { kind: 'wrong-answer', detail: 'the refusal is not a problem document' }
  }
}

/** The stand-in backend server repeats what identifies the request. */
function check (call: Call, id: string, text: string): CallResult | undefined {
  let json: unknown
  try {
    json = JSON.parse(text)
  } catch {
    return { kind: 'wrong-answer', detail: 'the body is not whole' }
  }
  const answer = answerSchema.safeParse(json)
  if (!answer.success) return { kind: 'wrong-answer', detail: 'the body has another form' }
  const { request, path, method, bodyBytes } = answer.data
  const own = request === id && path === call.path && method === call.method && bodyBytes === Buffer.byteLength(call.body ?? '')
  return own ? undefined : { kind: 'wrong-answer', detail: `answer of ${request} for ${id}` }
}
