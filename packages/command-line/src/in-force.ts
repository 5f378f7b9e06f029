/** Waits until a configuration version is in force on all members that a node knows. */
import * as timers from 'node:timers/promises'
import * as Undici from 'undici'
import * as zod from 'zod'

const POLL_INTERVAL_MS = 200
const TIMEOUT_MS = 2_000

const statusSchema = zod.object({
  members: zod.array(zod.object({ node: zod.string(), state: zod.string(), configuration: zod.number() }))
})

export interface Progress {
  readonly members: number
  /** Members that have not reported the version; empty when it is in force on all of them. */
  readonly waitingFor: readonly string[]
}

/** Polls the status of the node until all members report the version or `timeoutMs` has passed. Returns undefined if the node never answered. */
export async function waitUntilInForce (node: string, version: number, timeoutMs: number): Promise<Progress | undefined> {
  const deadline = Date.now() + timeoutMs
  let progress = await readProgress(node, version)
  while ((progress === undefined || progress.waitingFor.length > 0) && Date.now() < deadline) {
    await timers.setTimeout(POLL_INTERVAL_MS)
    progress = await readProgress(node, version) ?? progress
  }
  return progress
}

async function readProgress (node: string, version: number): Promise<Progress | undefined> {
  try {
    const { body } = await Undici.request(`http://${node}/.jasminedale/status`, { signal: AbortSignal.timeout(TIMEOUT_MS) })
    const { members } = statusSchema.parse(await body.json())
    const running = members.filter(member => member.state === 'alive' || member.state === 'suspect')
    const waitingFor = running.filter(member => member.configuration < version).map(member => member.node)
    return { members: running.length, waitingFor }
  } catch {
    return undefined
  }
}
