import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Directories from '../../src/directory/directory.js'
import * as Logs from '../../src/observation/log.js'
import * as Quarantines from '../../src/quarantine/quarantine.js'
import type * as NodeChannels from '../../src/transport/node-channel.js'
import * as Samples from '../support/samples.js'

const NODES = 8
const CONTENT: Quarantines.RequestContent = { method: 'POST', path: '/a/x', body: Buffer.from('order') }

interface Fleet {
  readonly nodes: readonly Quarantines.Quarantine[]
  readonly clock: Decisions.Clock.VirtualClock
  notifications: number
}

/** Nodes whose notifications arrive at once. */
function startFleet (): Fleet {
  const clock = new Decisions.Clock.VirtualClock(Decisions.Clock.milliseconds(1_000))
  const handlers = new Map<string, NodeChannels.NotificationHandler>()
  const hosts = Array.from({ length: NODES }, (_, index) => Decisions.Ids.endpoint(`10.0.0.${index}:80`))
  const directory = new Directories.Directory()
  for (const [index, host] of hosts.entries()) directory.merge(Samples.registration(`t${index}`, { host }))
  const fleet = { clock, notifications: 0, nodes: [] as Quarantines.Quarantine[] }
  fleet.nodes = hosts.map(host => new Quarantines.Quarantine({
    clock, directory, log: new Logs.SilentLog(), settings: { location: { host, dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') } },
    nodeChannel: {
      handle: (method, handler) => { handlers.set(`${host} ${method}`, handler) },
      notify: (method, params, others) => {
        for (const other of others) {
          fleet.notifications += 1
          assert.equal(handlers.get(`${other} ${method}`)?.(JSON.parse(JSON.stringify(params)) as unknown[]), true)
        }
      }
    }
  }))
  return fleet
}

/** The request crashes the target of one node after the other. */
function crashOn ({ nodes, clock }: Fleet, indexes: readonly number[]): void {
  for (const index of indexes) {
    const startedAt = clock.now()
    clock.advance(Decisions.Clock.milliseconds(50))
    nodes[index]?.recordCrash(CONTENT, startedAt)
    clock.advance(Decisions.Clock.milliseconds(50))
  }
}

// Guards against a request that crashes targets all over the fleet because each node knows only its own crashes.
test('all nodes block a request after three crashes on different nodes', () => {
  const fleet = startFleet()
  crashOn(fleet, [0, 1])
  assert.ok(fleet.nodes.every(node => node.blockedFor(CONTENT) === undefined))
  crashOn(fleet, [2])
  assert.ok(fleet.nodes.every(node => (node.blockedFor(CONTENT) ?? 0) > 50_000))
  assert.ok(fleet.nodes.every(node => node.blockedFor({ ...CONTENT, body: Buffer.from('other') }) === undefined), 'other requests run')
  fleet.clock.advance(Decisions.Clock.minutes(1))
  assert.ok(fleet.nodes.every(node => node.blockedFor(CONTENT) === undefined), 'a block ends')
})

// Guards against a block of a request that targets do answer.
test('answered request is not blocked by a later crash', () => {
  const fleet = startFleet()
  crashOn(fleet, [0, 1])
  fleet.nodes[5]?.recordCompletion(CONTENT)
  crashOn(fleet, [2])
  assert.ok(fleet.nodes.every(node => node.blockedFor(CONTENT) === undefined))
})

// Guards against messages for each ordinary request.
test('requests without a crash cause no notifications', () => {
  const fleet = startFleet()
  for (let index = 0; index < 100; index += 1) fleet.nodes[index % NODES]?.recordCompletion(CONTENT)
  assert.equal(fleet.notifications, 0)
})
