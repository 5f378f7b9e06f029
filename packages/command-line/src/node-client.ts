/** Asks a node's own endpoints. */
import * as Undici from 'undici'
import * as ExitCodes from './exit-code.js'

const TIMEOUT_MS = 5_000
/** A drain answers when the last request is over, at most a minute later by the built-in limit. */
const POST_TIMEOUT_MS = 120_000
const STATUS_OK = 200

export interface Options {
  readonly node: string
  readonly json?: boolean
}

/** The JSON answer; undefined after the failure has been printed and the exit code set. */
export async function get (node: string, path: string): Promise<unknown> {
  return await ask(node, path, { method: 'GET', signal: AbortSignal.timeout(TIMEOUT_MS) })
}

export async function post (node: string, path: string, body: unknown): Promise<unknown> {
  return await ask(node, path, {
    method: 'POST', body: JSON.stringify(body), headers: { 'content-type': 'application/json' }, signal: AbortSignal.timeout(POST_TIMEOUT_MS)
  })
}

async function ask (node: string, path: string, options: NonNullable<Parameters<typeof Undici.request>[1]>): Promise<unknown> {
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
