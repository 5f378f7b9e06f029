import * as assert from 'node:assert/strict'
import * as Dgram from 'node:dgram'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Directories from '../../src/directory/directory.js'
import * as HostViews from '../../src/entry/host-views.js'
import type * as HostReports from '../../src/host/host-report.js'
import * as ReportChannels from '../../src/host/report-channel.js'
import * as Logs from '../../src/observation/log.js'
import type * as Settings from '../../src/settings.js'
import * as NodeChannels from '../../src/transport/node-channel.js'
import * as Samples from '../support/samples.js'

const TARGET = Decisions.Ids.targetId('t1')
const REPORT: HostReports.HostReport = {
  running: 1, queued: 0, slots: 4, timeUntilProbe: 300, failures: 1, serviceTime: Decisions.Clock.milliseconds(80), version: Decisions.Ids.version(3)
}

async function freePort (): Promise<number> {
  const socket = Dgram.createSocket('udp4')
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve))
  const { port } = socket.address()
  await new Promise<void>(resolve => socket.close(resolve))
  return port
}

interface TestNode {
  readonly channel: NodeChannels.NodeChannel
  readonly reports: ReportChannels.ReportChannel
  readonly views: HostViews.HostViews
}

function createNode (address: string, reportPort: number): TestNode {
  const directory = new Directories.Directory()
  directory.merge(Samples.registration('t1', { host: Decisions.Ids.endpoint('127.0.0.1:1') }))
  directory.merge(Samples.registration('t2', { host: Decisions.Ids.endpoint('127.0.0.2:1') }))
  const views = new HostViews.HostViews()
  const settings: Settings.ProxySettings = {
    node: Decisions.Ids.nodeId(address), service: Samples.SERVICE, targetAddress: Decisions.Ids.endpoint('127.0.0.1:2'), callerAddress: Decisions.Ids.endpoint('127.0.0.1:3'),
    location: { host: Decisions.Ids.endpoint(`${address}:1`), dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') },
    retryBudget: { window: Decisions.Clock.seconds(10), ratio: 0.2, slack: 10 }, shutdownTimeout: Decisions.Clock.seconds(6), checksum: '0', reportPort, ...Samples.LIMIT_SETTINGS
  }
  const channel = new NodeChannels.NodeChannel({ settings, log: new Logs.SilentLog() })
  return { views, channel, reports: new ReportChannels.ReportChannel({ settings, directory, views, clock: new Decisions.Clock.VirtualClock(), nodeChannel: channel }) }
}

// Guards against entry nodes that learn of a tripped circuit breaker only from refusals of their own requests.
test('report reaches the nodes of the data center', async () => {
  const port = await freePort()
  const [from, to] = [createNode('127.0.0.1', port), createNode('127.0.0.2', port)]
  await Promise.all([from.channel.open(), to.channel.open()])
  // Datagrams may be lost, also on loopback.
  while (to.views.of(TARGET).report === undefined) {
    from.reports.broadcast(TARGET, REPORT)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
  assert.deepEqual(to.views.of(TARGET).report, REPORT)
  assert.equal(from.views.of(TARGET).report, undefined, 'a node does not notify itself')
  from.channel.close()
  to.channel.close()
  from.channel.close()
  assert.doesNotThrow(() => { from.reports.broadcast(TARGET, REPORT) }, 'requests may end after the channel is closed')
})

// Guards against a process that crashes, or records a wrong state, because of a malformed datagram.
test('malformed datagram is ignored', async () => {
  const port = await freePort()
  const { channel, views } = createNode('127.0.0.2', port)
  await channel.open()
  const socket = Dgram.createSocket('udp4')
  const send = async (text: string): Promise<void> => {
    await new Promise<void>(resolve => { socket.send(text, port, '127.0.0.2', () => { resolve() }) })
  }
  for (const text of ['', '{', '{"method":"report","params":["t1","1 2"]}', '{"method":"report","params":["unknown","1 0 4 300 1 80 3"]}']) await send(text)
  while (views.of(TARGET).report === undefined) {
    await send('{"method":"report","params":["t1","1 0 4 300 1 80 3"]}')
    await new Promise(resolve => setTimeout(resolve, 5))
  }
  assert.equal(views.of(Decisions.Ids.targetId('unknown')).report, undefined)
  socket.close()
  channel.close()
})
