import * as assert from 'node:assert/strict'
import { mock, test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as RegistrationRecords from '../../src/state/registration-record.js'
import * as DataCenters from '../support/data-center.js'
import * as MemoryLogs from '../support/memory-log.js'
import * as Samples from '../support/samples.js'

const NODES = 8
const LEAVING = Decisions.Ids.targetId('t3')
/** Time after the log answers again within which it holds what a running node had registered. */
const REPUBLICATION_LIMIT_MS = 3_000
/** The same for what a node had registered that no longer runs. */
const REPLACEMENT_LIMIT_MS = 8_000

/** Time after its start within which a node knows what its peers know. */
const START_LIMIT_MS = 1_000

async function withDataCenter (run: (dataCenter: DataCenters.DataCenter) => Promise<void>): Promise<void> {
  mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
  const dataCenter = new DataCenters.DataCenter(NODES, 1)
  try {
    dataCenter.publish(1)
    await dataCenter.advance(6_000)
    await run(dataCenter)
  } finally {
    dataCenter.close()
    mock.timers.reset()
  }
}

/** The log is silent for a second and comes back without the last `lost` registrations. */
async function restoreLog (dataCenter: DataCenters.DataCenter, lost: number): Promise<void> {
  dataCenter.store.isSilent = true
  await dataCenter.advance(1_000)
  dataCenter.store.isSilent = false
  dataCenter.store.restore({ configuration: 0, targets: lost })
}

function stateOf (log: MemoryLogs.MemoryLog, target: Decisions.Ids.TargetId): string | undefined {
  return log.stored.targets.map(record => RegistrationRecords.decode(record)._unsafeUnwrap()).filter(registration => registration.target === target).at(-1)?.state
}

// Guards against a target that has left and is in use again at nodes that start after the log was restored.
test('departure that a restored log has lost is registered again', async () => {
  await withDataCenter(async dataCenter => {
    assert.equal(await dataCenter.node(dataCenter.hosts[3]).membership.deregister(LEAVING), true)
    await dataCenter.advance(1_000)
    await restoreLog(dataCenter, 1)
    assert.equal(stateOf(dataCenter.store, LEAVING), 'ready')
    await dataCenter.advance(REPUBLICATION_LIMIT_MS)
    assert.equal(stateOf(dataCenter.store, LEAVING), 'gone')
  })
})

// Guards against a new target that nodes which start after the log was restored never use.
test('registration that a restored log has lost is registered again', async () => {
  await withDataCenter(async dataCenter => {
    const target = Decisions.Ids.targetId('new')
    const incarnation = Decisions.Ids.incarnation(200)
    await dataCenter.node(dataCenter.hosts[3]).membership.applyAnnouncement({ target, service: Samples.SERVICE, slots: 4, state: 'ready', incarnation, sequence: 1 })
    await dataCenter.advance(1_000)
    await restoreLog(dataCenter, 1)
    assert.equal(stateOf(dataCenter.store, target), undefined)
    await dataCenter.advance(REPUBLICATION_LIMIT_MS)
    assert.equal(stateOf(dataCenter.store, target), 'ready')
  })
})

// Guards against the same where the node of the target no longer runs, or has forgotten everything.
for (const restarts of [false, true]) {
  test(`departure that a restored log has lost is registered again although its node ${restarts ? 'has restarted' : 'has ended'}`, async () => {
    await withDataCenter(async dataCenter => {
      const host = dataCenter.hosts[3] ?? Decisions.Ids.endpoint('')
      assert.equal(await dataCenter.node(host).membership.deregister(LEAVING), true)
      await dataCenter.advance(1_000)
      dataCenter.kill(host)
      await restoreLog(dataCenter, 1)
      dataCenter.network.silent.delete(host)
      const started = dataCenter.start(restarts ? host : Decisions.Ids.endpoint('10.0.0.99:80'), 99)
      await dataCenter.advance(REPLACEMENT_LIMIT_MS)
      assert.equal(stateOf(dataCenter.store, LEAVING), 'gone')
      assert.equal(started.directory.get(LEAVING)?.state, 'gone')
    })
  })
}

// Guards against a node that starts with what a restored log holds until the operator and the hosts have written again what it lost.
test('node that starts after the log was restored takes over what it lost from a peer', async () => {
  await withDataCenter(async dataCenter => {
    const host = dataCenter.hosts[3] ?? Decisions.Ids.endpoint('')
    dataCenter.publish(2)
    assert.equal(await dataCenter.node(host).membership.deregister(LEAVING), true)
    await dataCenter.advance(1_000)
    dataCenter.kill(host)
    dataCenter.store.restore({ configuration: 1, targets: 1 })
    dataCenter.network.silent.delete(host)
    const started = dataCenter.start(host, 99)
    await dataCenter.advance(START_LIMIT_MS)
    assert.equal(started.configuration.version, 2)
    assert.equal(started.directory.get(LEAVING)?.state, 'gone')
  })
})

// Guards against many nodes that write the same lost registrations.
test('each lost registration is written a few times at most', async () => {
  await withDataCenter(async dataCenter => {
    await restoreLog(dataCenter, NODES)
    await dataCenter.advance(REPLACEMENT_LIMIT_MS)
    const targets = dataCenter.store.stored.targets.map(({ key }) => key)
    assert.deepEqual(new Set(targets), new Set(dataCenter.hosts.map((_, index) => `t${index}`)))
    assert.ok(targets.length <= 2 * NODES, `${targets.length} records`)
  })
})
