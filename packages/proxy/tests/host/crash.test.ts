import * as assert from 'node:assert/strict'
import * as Net from 'node:net'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Hosts from '../../src/host/host.js'
import * as LocalTargets from '../../src/host/local-target.js'
import * as Logs from '../../src/observation/log.js'
import * as Metrics from '../../src/observation/metrics.js'
import type * as Quarantines from '../../src/quarantine/quarantine.js'
import * as StubDialects from '../support/stub-dialect.js'
import * as Samples from '../support/samples.js'

const TARGET = Decisions.Ids.targetId('t1')
const CLOCK = new Decisions.Clock.VirtualClock()

/** Runs a request on a target that breaks its connection; returns the crashes that its host reported. */
async function reportedCrashes (onRequest: (socket: Net.Socket, server: Net.Server) => void): Promise<readonly Quarantines.RequestContent[]> {
  const server = Net.createServer(socket => { socket.once('data', () => { onRequest(socket, server) }) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  const localTarget = new LocalTargets.LocalTarget()
  localTarget.applyAnnouncement({ target: TARGET, service: Samples.SERVICE, slots: 4, state: 'ready', incarnation: Decisions.Ids.incarnation(1), sequence: 1 })
  const crashes: Quarantines.RequestContent[] = []
  const host = new Hosts.Host({
    clock: CLOCK, dialect: new StubDialects.StubDialect(), log: new Logs.SilentLog(), metrics: new Metrics.Metrics(), localTarget,
    quarantine: { blockedFor: () => undefined, recordCrash: content => { crashes.push(content) }, recordCompletion: () => { /* Ignored. */ } },
    targetAddress: Decisions.Ids.endpoint(`127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`), version: () => Decisions.Ids.version(1),
    onBreakerChanged: () => { /* Ignored. */ }, onTargetLeaving: () => { /* Ignored. */ }
  })
  const outcome = await host.run({
    id: Decisions.Ids.requestId('q'), target: TARGET, callerService: Samples.SERVICE, method: 'POST', path: '/a/x', headers: [], route: 'r1', account: undefined, isCall: false, repeatable: false, mayBeProbe: false, priority: 1,
    deadline: Decisions.Clock.seconds(20), latencyObjective: Decisions.Clock.seconds(20), objectiveDeadline: Decisions.Clock.seconds(20), mayQueue: false, mayBypassBreaker: false,
    onQueued: () => { /* Not watched. */ }, commit: () => Promise.resolve(Buffer.from('order')), onWithdrawn: () => { /* Never withdrawn. */ }
  })
  assert.equal(outcome.kind, 'failed')
  // Longer than a connection attempt on the loopback interface takes.
  for (let step = 0; step < 50 && crashes.length === 0; step += 1) await new Promise(resolve => setTimeout(resolve, 10))
  server.close()
  return crashes
}

// Guards against a request that crashes its target without anyone counting it.
test('request is reported when its target has ended', async () => {
  const crashes = await reportedCrashes((socket, server) => {
    server.close()
    socket.resetAndDestroy()
  })
  assert.deepEqual(crashes.map(({ method, path, body }) => [method, path, body.toString()]), [['POST', '/a/x', 'order']])
})

// Guards against blocking requests whose responses were lost while their target kept running.
test('request is not reported when its target still accepts connections', async () => {
  assert.deepEqual(await reportedCrashes(socket => { socket.resetAndDestroy() }), [])
})
