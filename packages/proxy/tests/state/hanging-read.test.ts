import * as assert from 'node:assert/strict'
import { mock, test } from 'node:test'
import * as DataCenters from '../support/data-center.js'

/** Operators expect a configuration in force this long after it is acknowledged. */
const APPLY_LIMIT_MS = 2_000
/** Operators expect the newest configuration in force this long after the log answers again. */
const RECOVERY_LIMIT_MS = 3_000

/** Versions in force at the nodes `RECOVERY_LIMIT_MS` after a log that was silent for `silence` ms answers again and gets a new version. */
async function versionsAfterSilence (nodes: number, silence: number, seed: number): Promise<readonly number[]> {
  mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
  const dataCenter = new DataCenters.DataCenter(nodes, seed)
  try {
    dataCenter.publish(1)
    await dataCenter.advance(6_000 + seed * 370)
    dataCenter.store.isSilent = true
    await dataCenter.advance(silence)
    dataCenter.store.isSilent = false
    dataCenter.publish(2)
    await dataCenter.advance(RECOVERY_LIMIT_MS)
    return dataCenter.versions()
  } finally {
    dataCenter.close()
    mock.timers.reset()
  }
}

// Guards against a node that waits for new versions in a read whose connection has died, and serves by an old configuration meanwhile.
for (const nodes of [1, 8, 30]) {
  for (const silence of [500, 1_000, 2_000, 5_000]) {
    test(`configuration after a silent log is in force in time, ${nodes} nodes, ${silence} ms`, async () => {
      for (const seed of [1, 2, 3]) assert.deepEqual(await versionsAfterSilence(nodes, silence, seed), Array(nodes).fill(2), `seed ${seed}`)
    })
  }
}

// Guards against nodes that learn of a version too late because their relay fails at the moment at which the version is published.
test('configuration is in force in time although the relay fails as it is published', async () => {
  for (const failed of Array(8).keys()) {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
    const dataCenter = new DataCenters.DataCenter(8, failed)
    try {
      dataCenter.publish(1)
      await dataCenter.advance(6_000 + failed * 130)
      const host = dataCenter.hosts[failed]
      if (host !== undefined) dataCenter.network.silent.add(host)
      dataCenter.publish(2)
      await dataCenter.advance(APPLY_LIMIT_MS - 300)
      assert.deepEqual(dataCenter.versions().filter((_, index) => index !== failed), Array(7).fill(2), `node ${failed}`)
    } finally {
      dataCenter.close()
      mock.timers.reset()
    }
  }
})

// Guards against a group that tries its nodes as relay one after the other, although the log answers only a few of them.
for (const nodes of [8, 30]) {
  test(`configuration is in force in time at ${nodes} nodes of which the log answers a few`, async () => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
      const dataCenter = new DataCenters.DataCenter(nodes, seed)
      const { store, hosts } = dataCenter
      try {
        dataCenter.publish(1)
        await dataCenter.advance(6_000 + seed * 370)
        for (const [index, host] of hosts.entries()) if ((index + seed) % 8 > 0) store.unreachable.add(host)
        await dataCenter.advance(RECOVERY_LIMIT_MS)
        for (let version = 2; version < 5; version += 1) {
          dataCenter.publish(version)
          await dataCenter.advance(APPLY_LIMIT_MS)
          assert.deepEqual(dataCenter.versions(), Array(nodes).fill(version), `seed ${seed}`)
        }
      } finally {
        dataCenter.close()
        mock.timers.reset()
      }
    }
  })
}

// Guards against a data center that the log does not answer at all, whose nodes ask only each other.
test('configuration is in force in time in a data center of which the log answers no node', async () => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
    const dataCenter = new DataCenters.DataCenter(8, seed, 8)
    try {
      dataCenter.publish(1)
      await dataCenter.advance(6_000 + seed * 370)
      for (const host of dataCenter.hosts.slice(8)) dataCenter.store.unreachable.add(host)
      await dataCenter.advance(RECOVERY_LIMIT_MS + APPLY_LIMIT_MS)
      for (let version = 2; version < 5; version += 1) {
        dataCenter.publish(version)
        await dataCenter.advance(APPLY_LIMIT_MS)
        assert.deepEqual(dataCenter.versions(), Array(16).fill(version), `seed ${seed}`)
      }
    } finally {
      dataCenter.close()
      mock.timers.reset()
    }
  }
})
