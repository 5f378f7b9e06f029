/** Starts nodes and stand-ins in this process, on free ports of the loopback interface. */
import * as Net from 'node:net'
import { after, before } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Node from '@jasminedale/node'
import * as StandIns from '@jasminedale/stand-ins'

export async function freePort (host = '127.0.0.1'): Promise<number> {
  const server = Net.createServer()
  await new Promise<void>(resolve => server.listen(0, host, resolve))
  const address = server.address()
  await new Promise(resolve => server.close(resolve))
  return typeof address === 'object' && address !== null ? address.port : 0
}

export interface NodeOptions {
  readonly name: string
  readonly seeds?: readonly string[]
  readonly logService?: string
  readonly region?: string
}

/** Log service of all nodes of this test process; without one a node waits 3 s before it serves. */
const log = new StandIns.LogServices.LogService({ host: '127.0.0.1', port: 0 })
before(() => log.start())
after(() => log.stop())

export async function startNode (options: NodeOptions): Promise<{ daemon: Node.Daemons.Daemon, address: string }> {
  const address = `127.0.0.1:${await freePort()}`
  const started = await Node.Daemons.Daemon.start({
    node: Decisions.Ids.nodeId(options.name),
    address: Decisions.Ids.endpoint(address),
    dataCenter: Decisions.Ids.dataCenter('burnaby-a'),
    region: Decisions.Ids.region(options.region ?? 'lower-mainland'),
    seeds: (options.seeds ?? []).map(Decisions.Ids.endpoint),
    logService: options.logService ?? log.url,
    logLevel: 'info'
  })
  const daemon = started._unsafeUnwrap()
  await eventually(() => daemon.engine.board.configuration.isInitialized)
  return { daemon, address }
}

export async function startBackend (node: string, options: Partial<StandIns.BackendServers.BackendServerOptions> = {}): Promise<StandIns.BackendServers.BackendServer> {
  const backend = new StandIns.BackendServers.BackendServer({
    target: 't1', service: 'accounts', host: '127.0.0.1', port: 0, node: `http://${node}`, slots: 50, serviceTime: 1, ...options
  })
  await backend.start()
  return backend
}

/** Polls until the condition holds; fails after `timeoutMs`. */
export async function eventually (condition: () => boolean | Promise<boolean>, timeoutMs = 8_000): Promise<void> {
  const until = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > until) throw new Error('the condition did not hold in time')
    await new Promise(resolve => setTimeout(resolve, 20))
  }
}
