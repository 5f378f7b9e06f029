/** Waits until a configuration version is in force on every member that a node knows. */
import * as timers from 'node:timers/promises'
import * as Undici from 'undici'
import * as zod from 'zod'

const POLL_MS = 200
const TIMEOUT_MS = 2_000

const status = zod.object({
  members: zod.array(zod.object({ node: zod.string(), state: zod.string(), configuration: zod.number() }))
})

export interface Progress {
  readonly members: number
  /** Members that are not known to run the version; empty when it is in force everywhere. */
  readonly waitingFor: readonly string[]
}

/** Polls the node until no member is left or the time is over. Undefined: the node never answered. */
export async function waitUntilInForce (node: string, version: number, patience: number): Promise<Progress | undefined> {
  const deadline = Date.now() + patience
  let progress = await look(node, version)
  while ((progress === undefined || progress.waitingFor.length > 0) && Date.now() < deadline) {
    await timers.setTimeout(POLL_MS)
    progress = await look(node, version) ?? progress
  }
  return progress
}

async function look (node: string, version: number): Promise<Progress | undefined> {
  try {
    const { body } = await Undici.request(`http://${node}/.jasminedale/status`, { signal: AbortSignal.timeout(TIMEOUT_MS) })
    const { members } = status.parse(await body.json())
    const running = members.filter(member => member.state === 'alive' || member.state === 'suspect')
    const waitingFor = running.filter(member => member.configuration < version).map(member => member.node)
    return { members: running.length, waitingFor }
  } catch {
    return undefined
  }
}
