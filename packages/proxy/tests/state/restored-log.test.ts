import * as assert from 'node:assert/strict'
import { mock, test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as RegistrationRecords from '../../src/state/registration-record.js'
import * as DataCenters from '../support/data-center.js'
import * as Samples from '../support/samples.js'

/** Operators expect a configuration in force this long after it is acknowledged. */
const APPLY_LIMIT_MS = 2_000
/** Nodes count as in touch with the log this long after it answers again. */
const RECOVERY_LIMIT_MS = 3_000
/** Time between two configurations after the log has been restored, short enough that a node sees the log only as long as before. */
const PUBLICATION_INTERVAL_MS = 300
const PUBLISHED_BEFORE = 6

interface Restoration {
  readonly nodes: number
  readonly seed: number
  /** Records of the configuration that the log loses. */
  readonly lost: number
  /** New configurations after the operator has written the newest one again. */
  readonly added: number
  /** Time in ms for which the log is silent before it comes back. */
  readonly silence: number
}

/** Numbers of nodes by the version in force at them, `APPLY_LIMIT_MS` after the last configuration was published to a restored log. */
async function versionsAfterRestoration ({ nodes, seed, lost, added, silence }: Restoration): Promise<readonly number[]> {
  mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
  const dataCenter = new DataCenters.DataCenter(nodes, seed)
  try {
    for (let version = 1; version <= PUBLISHED_BEFORE; version += 1) dataCenter.publish(version)
    await dataCenter.advance(6_000 + seed * 370)
    dataCenter.store.isSilent = true
    await dataCenter.advance(silence)
    dataCenter.store.isSilent = false
    dataCenter.store.restore({ configuration: lost, targets: 0 })
    dataCenter.publish(PUBLISHED_BEFORE)
    for (let version = PUBLISHED_BEFORE + 1; version <= PUBLISHED_BEFORE + added; version += 1) {
      dataCenter.publish(version)
      await dataCenter.advance(PUBLICATION_INTERVAL_MS)
    }
    await dataCenter.advance(APPLY_LIMIT_MS)
    return [...new Set(dataCenter.versions())]
  } finally {
    dataCenter.close()
    mock.timers.reset()
  }
}

// Guards against nodes that miss versions because they read on at an offset that the log has lost and assigned again.
for (const nodes of [1, 8, 30]) {
  for (const lost of [1, 2, 4]) {
    test(`configuration is in force in time after the log is restored, ${nodes} nodes, ${lost} records lost`, async () => {
      for (const added of [1, 2, 3, 4]) {
        for (const silence of [200, 1_000, 3_000]) {
          assert.deepEqual(await versionsAfterRestoration({ nodes, seed: added, lost, added, silence }), [PUBLISHED_BEFORE + added], `${added} added, ${silence} ms`)
        }
      }
    })
  }
}

/** How far nodes are behind the newest version after the log was restored, twice, each time while another part of the nodes cannot reach it. */
async function versionsBehindAfterTwoRestorations (nodes: number, seed: number): Promise<readonly number[]> {
  mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
  const dataCenter = new DataCenters.DataCenter(nodes, seed)
  const { store, hosts } = dataCenter
  const behind: number[] = []
  let version = 0
  const publishNext = async (interval: number): Promise<void> => {
    version += 1
    dataCenter.publish(version)
    await dataCenter.advance(interval)
  }
  try {
    for (const restoration of [0, 1]) {
      for (let count = 0; count < PUBLISHED_BEFORE; count += 1) await publishNext(1_000)
      for (const [index, host] of hosts.entries()) if ((index + seed + restoration) % 3 > 0) store.unreachable.add(host)
      store.isSilent = true
      await dataCenter.advance(1_000)
      store.isSilent = false
      store.restore({ configuration: 2 + (seed + restoration) % 4, targets: 0 })
      dataCenter.publish(version)
      await publishNext(3_000)
      store.unreachable.clear()
      await publishNext(APPLY_LIMIT_MS)
      behind.push(version - Math.min(...dataCenter.versions()))
    }
    return behind
  } finally {
    dataCenter.close()
    mock.timers.reset()
  }
}

// Guards against nodes that do not notice that the log was restored because they could not reach it meanwhile.
for (const nodes of [1, 8, 12]) {
  test(`configuration is in force in time after the log is restored twice, ${nodes} nodes of which some could not reach it`, async () => {
    for (const seed of [1, 2, 3, 4, 5, 6]) assert.deepEqual(await versionsBehindAfterTwoRestorations(nodes, seed), [0, 0], `seed ${seed}`)
  })
}

// Guards against nodes that the log does not answer and that no longer read through their relay after the log was restored.
test('configuration is in force in time after the log is restored, at nodes that cannot reach it', async () => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
    const dataCenter = new DataCenters.DataCenter(12, seed)
    const { store, hosts } = dataCenter
    try {
      for (let version = 1; version <= PUBLISHED_BEFORE; version += 1) dataCenter.publish(version)
      await dataCenter.advance(6_000)
      for (const [index, host] of hosts.entries()) if ((index + seed) % 4 > 0) store.unreachable.add(host)
      store.isSilent = true
      await dataCenter.advance(1_000)
      store.isSilent = false
      store.restore({ configuration: 4, targets: 0 })
      dataCenter.publish(PUBLISHED_BEFORE)
      await dataCenter.advance(RECOVERY_LIMIT_MS)
      for (let version = PUBLISHED_BEFORE + 1; version <= PUBLISHED_BEFORE + 8; version += 1) {
        dataCenter.publish(version)
        await dataCenter.advance(APPLY_LIMIT_MS)
        assert.deepEqual(new Set(dataCenter.versions()), new Set([version]), `seed ${seed}`)
      }
    } finally {
      dataCenter.close()
      mock.timers.reset()
    }
  }
})

// Guards against targets that are read late because only the read of the configuration shows that the log was restored.
test('targets are read in time after the log is restored', async () => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
    const dataCenter = new DataCenters.DataCenter(8, seed)
    const { store } = dataCenter
    try {
      dataCenter.publish(1)
      await dataCenter.advance(8_000 + seed * 230)
      store.isSilent = true
      await dataCenter.advance(100)
      store.isSilent = false
      store.restore({ configuration: 0, targets: 0 })
      const added = Samples.registration('added', { host: Decisions.Ids.endpoint('10.0.0.99:80') })
      store.stored.targets.push(RegistrationRecords.encode(added))
      await dataCenter.advance(RECOVERY_LIMIT_MS)
      const missing = dataCenter.hosts.filter(host => dataCenter.node(host).directory.get(added.target) === undefined)
      assert.deepEqual(missing, [], `seed ${seed}`)
    } finally {
      dataCenter.close()
      mock.timers.reset()
    }
  }
})
