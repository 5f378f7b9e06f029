/** Nodes of one data center on virtual time, with a shared log and a network in memory. */
import { mock } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import * as Directories from '../../src/directory/directory.js'
import * as HostViews from '../../src/entry/host-views.js'
import * as LocalTargets from '../../src/host/local-target.js'
import * as Membership from '../../src/membership.js'
import * as Logs from '../../src/observation/log.js'
import * as ConfigurationStates from '../../src/state/configuration-state.js'
import * as Registrars from '../../src/state/registrar.js'
import * as RegistrationRecoveries from '../../src/state/registration-recovery.js'
import * as RegistrationRecords from '../../src/state/registration-record.js'
import * as RelayedLogs from '../../src/state/relayed-log.js'
import * as StateTransfers from '../../src/state/state-transfer.js'
import * as Synchronizers from '../../src/state/synchronizer.js'
import * as MemoryLogs from './memory-log.js'
import * as MemoryNetworks from './memory-network.js'
import * as Samples from './samples.js'

const STEP_MS = 20
/** Steps of the event loop that are enough for all reactions within a step of the clock. */
const SETTLE_STEPS = 8

export interface Node {
  readonly configuration: ConfigurationStates.ConfigurationState
  readonly directory: Directories.Directory
  readonly membership: Membership.Membership
  readonly close: () => void
}

export class DataCenter {
  readonly store = new MemoryLogs.MemoryLog()
  private readonly clock = new Decisions.Clock.VirtualClock()
  readonly network = new MemoryNetworks.MemoryNetwork()
  private readonly elsewhere: number
  readonly hosts: readonly Decisions.Ids.Endpoint[]
  private readonly nodes = new Map<Decisions.Ids.Endpoint, Node>()

  /** The first `nodes` hosts are in data center `a`, the others in `b`. */
  constructor (nodes: number, seed: number, nodesElsewhere = 0) {
    this.elsewhere = nodesElsewhere
    this.hosts = Array.from({ length: nodes + nodesElsewhere }, (_, index) => Decisions.Ids.endpoint(`10.0.0.${index}:80`))
    for (const [index, host] of this.hosts.entries()) this.store.stored.targets.push(RegistrationRecords.encode(Samples.registration(`t${index}`, { host, dataCenter: this.dataCenterOf(host) })))
    for (const [index, host] of this.hosts.entries()) this.start(host, seed * nodes + index)
  }

  /** Starts a node without any state. */
  start (host: Decisions.Ids.Endpoint, seed: number): Node {
    const { clock } = this
    const store = this.store.clientOf(host)
    const log = new Logs.SilentLog()
    const random = new Decisions.Random.Random(seed)
    const directory = new Directories.Directory()
    const configuration = new ConfigurationStates.ConfigurationState()
    const views = new HostViews.HostViews()
    const nodeRpc = this.network.rpcOf(host)
    const settings = {
      node: Decisions.Ids.nodeId(host), location: { host, dataCenter: this.dataCenterOf(host), region: Decisions.Ids.region('r') }, service: Samples.SERVICE,
      targetAddress: host, callerAddress: host, reportPort: 1, retryBudget: { window: Decisions.Clock.seconds(10), ratio: 0.2, slack: 1 },
      shutdownTimeout: Decisions.Clock.seconds(6), checksum: '0', ...Samples.LIMIT_SETTINGS
    }
    const sharedLog = new RelayedLogs.RelayedLog({ store, settings, clock, log, directory, nodeChannel: this.network.channelOf(host), nodeRpc })
    const registrar = new Registrars.Registrar(sharedLog, log, random)
    const membership = new Membership.Membership({ settings, log, directory, localTarget: new LocalTargets.LocalTarget(), host: { resetTarget: () => { /* No target. */ } }, registrar, views })
    const registrationRecovery = new RegistrationRecoveries.RegistrationRecovery({ settings, log, random, directory, registrar, sharedLog })
    const synchronizer = new Synchronizers.Synchronizer({
      settings, log, clock, random, sharedLog, configuration, directory, views, registrar, registrationRecovery, membership,
      stateTransfer: new StateTransfers.StateTransfer({ clock, log, configuration, directory, nodeRpc, registrationRecovery }),
      readConfiguration: record => neverthrow.ok(Samples.configuration({ version: Decisions.Ids.version(Number(record.value)) }))
    })
    sharedLog.start()
    synchronizer.start()
    const close = (): void => {
      synchronizer.stop()
      registrar.stop()
      sharedLog.close()
    }
    const node = { configuration, directory, membership, close }
    this.nodes.set(host, node)
    return node
  }

  dataCenterOf (host: Decisions.Ids.Endpoint): Decisions.Ids.DataCenter {
    return Decisions.Ids.dataCenter(this.hosts.indexOf(host) < this.hosts.length - this.elsewhere ? 'a' : 'b')
  }

  /** Ends a node, which neither sends nor answers anything more. */
  kill (host: Decisions.Ids.Endpoint): void {
    this.nodes.get(host)?.close()
    this.nodes.delete(host)
    this.network.silent.add(host)
  }

  node (host: Decisions.Ids.Endpoint | undefined): Node {
    const node = host === undefined ? undefined : this.nodes.get(host)
    if (node === undefined) throw new RangeError(`no node at ${host ?? 'an unknown address'}`)
    return node
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
    return [...this.nodes.values()].map(({ configuration }) => configuration.version)
  }

  close (): void {
    for (const { close } of this.nodes.values()) close()
  }
}
