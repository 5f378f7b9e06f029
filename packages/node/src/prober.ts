/** Health checks of backend servers, each over a new connection. */
import * as Decisions from '@jasminedale/decisions'
import * as Undici from 'undici'
import type * as EngineLoops from './engine-loop.js'

const TIMEOUT_MS = 1_000
const STATUS_OK = 200

interface ProberParts {
  readonly loop: EngineLoops.EngineLoop
}

export class Prober {
  private readonly parts: ProberParts

  constructor (parts: ProberParts) {
    this.parts = parts
  }

  async probe (command: Decisions.Commands.Probe): Promise<void> {
    const startedAt = performance.now()
    const healthy = await isHealthy(command.address)
    const elapsed = Decisions.Clock.milliseconds(performance.now() - startedAt)
    this.parts.loop.submit({ kind: 'probe-finished', target: command.target, healthy, elapsed })
  }
}

async function isHealthy (address: Decisions.Ids.Endpoint): Promise<boolean> {
  const client = new Undici.Client(`http://${address}`, { connect: { timeout: TIMEOUT_MS } })
  try {
    const { statusCode, body } = await client.request({ method: 'GET', path: '/health', signal: AbortSignal.timeout(TIMEOUT_MS) })
    await body.dump()
    return statusCode === STATUS_OK
  } catch {
    return false
  } finally {
    await client.destroy()
  }
}
