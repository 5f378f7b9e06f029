import * as assert from 'node:assert/strict'
import { mock, test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import * as Directories from '../../src/directory/directory.js'
import * as HostViews from '../../src/entry/host-views.js'
import * as LocalTargets from '../../src/host/local-target.js'
import * as Membership from '../../src/membership.js'
import * as Logs from '../../src/observation/log.js'
import * as ConfigurationStates from '../../src/state/configuration-state.js'
import * as Registrars from '../../src/state/registrar.js'
import * as RegistrationRecords from '../../src/state/registration-record.js'
import * as RelayedLogs from '../../src/state/relayed-log.js'
import * as SharedLogs from '../../src/state/shared-log.js'
import * as StateTransfers from '../../src/state/state-transfer.js'
import * as Synchronizers from '../../src/state/synchronizer.js'
import * as MemoryNetworks from '../support/memory-network.js'
import * as Samples from '../support/samples.js'

const STEP_MS = 20
/** Steps of the event loop that are enough for all reactions within a step of the clock. */
const SETTLE_STEPS = 8
/** Time after its wait at which a call without an answer fails, as in the client of the platform's store. */
const RESPONSE_TIMEOUT_MS = 1_500
/** Operators expect a configuration in force this long after it is acknowledged. */
const APPLY_LIMIT_MS = 2_000
/** Operators expect the newest configuration in force this long after the log answers again. */
const RECOVERY_LIMIT_MS = 3_000

/** Shared log in memory. Reads that begin or end while it is silent get no answer, also after it answers others again. */
class SilentLog extends SharedLogs.SharedLog {
  isSilent = false
  readonly epoch = SharedLogs.epoch(0)
  reads = 0
  readonly stored: Record<SharedLogs.Topic, SharedLogs.KeyedRecord[]> = { configuration: [], targets: [] }

  override async readNewest (topic: SharedLogs.Topic): SharedLogs.LogResult<SharedLogs.Batch> {
    return await this.readFrom(topic, { epoch: this.epoch, offset: 0 }, Decisions.Clock.milliseconds(0))
  }

  override async readFrom (topic: SharedLogs.Topic, { offset }: SharedLogs.Position, wait: Decisions.Clock.Milliseconds): SharedLogs.LogResult<SharedLogs.Batch> {
    this.reads += 1
    const records = this.stored[topic]
    let waited = 0
    for (; waited < wait && records.length <= offset && !this.isSilent; waited += STEP_MS) await sleep(STEP_MS)
    if (this.isSilent) {
      await sleep(wait - waited + RESPONSE_TIMEOUT_MS)
      return neverthrow.err({ kind: 'no-answer', detail: 'silent' })
    }
    return neverthrow.ok({ records: records.slice(offset), next: { epoch: this.epoch, offset: records.length } })
  }

  override async put (topic: SharedLogs.Topic, record: SharedLogs.KeyedRecord): SharedLogs.LogResult<undefined> {
    this.stored[topic].push(record)
    return await Promise.resolve(neverthrow.ok(undefined))
  }

  override close (): void { /* Nothing is open. */ }
}

async function sleep (duration: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, duration) })
}

/** Nodes of one data center that follow the log, on virtual time. */
class DataCenter {
  readonly store = new SilentLog()
  private readonly clock = new Decisions.Clock.VirtualClock()
  readonly network = new MemoryNetworks.MemoryNetwork()
  readonly hosts: readonly Decisions.Ids.Endpoint[]
  private readonly states: ConfigurationStates.ConfigurationState[] = []
  private readonly closers: (() => void)[] = []

  constructor (nodes: number, seed: number) {
    this.hosts = Array.from({ length: nodes }, (_, index) => Decisions.Ids.endpoint(`10.0.0.${index}:80`))
    for (const [index, host] of this.hosts.entries()) this.store.stored.targets.push(RegistrationRecords.encode(Samples.registration(`t${index}`, { host })))
    for (const [index, host] of this.hosts.entries()) this.addNode(host, seed * nodes + index)
  }

  private addNode (host: Decisions.Ids.Endpoint, seed: number): void {
    const { clock, store } = this
    const log = new Logs.SilentLog()
    const random = new Decisions.Random.Random(seed)
    const directory = new Directories.Directory()
    const configuration = new ConfigurationStates.ConfigurationState()
    const views = new HostViews.HostViews()
    const nodeRpc = this.network.rpcOf(host)
    const settings = {
      node: Decisions.Ids.nodeId(host), location: { host, dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') }, service: Samples.SERVICE,
      targetAddress: host, callerAddress: host, reportPort: 1, retryBudget: { window: Decisions.Clock.seconds(10), ratio: 0.2, slack: 1 },
      shutdownTimeout: Decisions.Clock.seconds(6), checksum: '0'
    }
    const sharedLog = new RelayedLogs.RelayedLog({ store, settings, clock, log, directory, nodeChannel: this.network.channelOf(host), nodeRpc })
    const registrar = new Registrars.Registrar(sharedLog, log, random)
    const membership = new Membership.Membership({ settings, log, directory, localTarget: new LocalTargets.LocalTarget(), host: { resetTarget: () => { /* No target. */ } }, registrar, views })
    const synchronizer = new Synchronizers.Synchronizer({
      settings, log, clock, random, sharedLog, configuration, directory, views, registrar, membership,
      stateTransfer: new StateTransfers.StateTransfer({ clock, log, configuration, directory, nodeRpc }),
      readConfiguration: record => neverthrow.ok(Samples.configuration({ version: Decisions.Ids.version(Number(record.value)) }))
    })
    sharedLog.start()
    synchronizer.start()
    this.states.push(configuration)
    this.closers.push(() => {
      synchronizer.stop()
      sharedLog.close()
    })
  }

  publish (version: number): void {
    this.store.stored.configuration.push({ key: 'config', value: Buffer.from(String(version)) })
  }

  async advance (milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MS) {
      this.clock.advance(Decisions.Clock.milliseconds(STEP_MS))
      mock.timers.tick(STEP_MS)
      for (let step = 0; step < SETTLE_STEPS; step += 1) await new Promise(resolve => { setImmediate(resolve) })
    }
  }

  versions (): readonly number[] {
    return this.states.map(({ version }) => version)
  }

  close (): void {
    for (const close of this.closers) close()
  }
}

/** Versions in force at the nodes `RECOVERY_LIMIT_MS` after a log that was silent for `silence` ms answers again and gets a new version. */
async function versionsAfterSilence (nodes: number, silence: number, seed: number): Promise<readonly number[]> {
  mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
  const dataCenter = new DataCenter(nodes, seed)
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
    const dataCenter = new DataCenter(8, failed)
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
