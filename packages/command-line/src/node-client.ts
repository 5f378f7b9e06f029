/** Client of the HTTP endpoints of a node. */
import * as Undici from 'undici'
import * as ExitCodes from './exit-code.js'

const TIMEOUT_MS = 5_000
/** A drain is answered when the last request has ended, by default within one minute. */
const POST_TIMEOUT_MS = 120_000
const STATUS_OK = 200

export interface Options {
  readonly node: string
  readonly json?: boolean
}

/** Returns the JSON response. On failure, prints the failure, sets the exit code and returns undefined. */
export async function get (node: string, path: string): Promise<unknown> {
  return await sendRequest(node, path, { method: 'GET', signal: AbortSignal.timeout(TIMEOUT_MS) })
}

export async function post (node: string, path: string, body: unknown): Promise<unknown> {
  return await sendRequest(node, path, {
    method: 'POST', body: JSON.stringify(body), headers: { 'content-type': 'application/json' }, signal: AbortSignal.timeout(POST_TIMEOUT_MS)
  })
}

async function sendRequest (node: string, path: string, options: NonNullable<Parameters<typeof Undici.request>[1]>): Promise<unknown> {
  try {
    const { statusCode, body } = await Undici.request(`http://${node}${path}`, options)
    const text = await body.text()
    if (statusCode === STATUS_OK) return JSON.parse(text) as unknown
    fail(`node ${node} refused: ${text}`)
  } catch (error) {
    fail(`node ${node} does not answer: ${error instanceof Error ? error.message : String(error)}`)
  }
  return undefined
}

function fail (message: string): void {
  process.stderr.write(`${message}\n`)
  process.exitCode = ExitCodes.EXIT_CODE.unavailable
}
