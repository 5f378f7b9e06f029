/** One proxy node: sends requests of the callers on its VM to targets, and passes requests of all nodes to the backend server on its VM. */
import * as Decisions from '@jasminedale/decisions'
import * as Awilix from 'awilix'
import * as ServiceCosts from './costs/service-costs.js'
import * as Delays from './delay.js'
import * as DependencyControls from './dependencies/dependency-control.js'
import * as Directories from './directory/directory.js'
import * as Gateways from './entry/gateway.js'
import * as HostViews from './entry/host-views.js'
import * as TargetSelectors from './entry/target-selector.js'
import * as RetryBudgets from './entry/retry-budget.js'
import * as Senders from './entry/sender.js'
import * as HostServers from './host/host-server.js'
import * as Hosts from './host/host.js'
import * as ReportChannels from './host/report-channel.js'
import * as LocalTargets from './host/local-target.js'
import * as Membership from './membership.js'
import type * as Logs from './observation/log.js'
import type * as Metrics from './observation/metrics.js'
import * as Quarantines from './quarantine/quarantine.js'
import * as Quotas from './quotas/quotas.js'
import * as DestinationChoosers from './routes/destination-chooser.js'
import * as Servers from './servers.js'
import * as ConnectionOwners from './resources/connections.js'
import * as Memories from './resources/memory.js'
import type * as Settings from './settings.js'
import * as ConfigurationStates from './state/configuration-state.js'
import * as Registrars from './state/registrar.js'
import * as RegistrationRecoveries from './state/registration-recovery.js'
import * as RelayedLogs from './state/relayed-log.js'
import * as SettingsStates from './state/settings-state.js'
import type * as SharedLogs from './state/shared-log.js'
import * as StateTransfers from './state/state-transfer.js'
import * as Synchronizers from './state/synchronizer.js'
import * as ConnectionPools from './transport/connection-pool.js'
import type * as Dialects from './transport/dialect.js'
import * as NodeChannels from './transport/node-channel.js'
import * as NodeRpcs from './transport/node-rpc.js'

/** Dependencies that the adapter of a deployment provides. */
export interface ProxyDependencies {
  readonly settings: Settings.ProxySettings
  readonly dialect: Dialects.Dialect
  /** The shared log itself; nodes of a large data center read it through a relay. */
  readonly store: SharedLogs.SharedLog
  readonly readConfiguration: Synchronizers.ConfigurationReader
  readonly log: Logs.Log
  readonly clock: Decisions.Clock.Clock
  readonly metrics: Metrics.Metrics
}

/** All components of the dependency injection container, by the name under which constructors receive them. */
interface Cradle extends ProxyDependencies {
  readonly random: Decisions.Random.Random
  readonly directory: Directories.Directory
  readonly configuration: ConfigurationStates.ConfigurationState
  readonly settingsState: SettingsStates.SettingsState
  readonly localTarget: LocalTargets.LocalTarget
  readonly memory: Memories.Memory
  readonly inboundConnections: ConnectionOwners.Connections
  readonly views: HostViews.HostViews
  /** Undefined while the configuration does not place requests by cost. */
  readonly costs: () => ServiceCosts.ServiceCosts | undefined
  readonly connections: ConnectionPools.ConnectionPool
  readonly nodeChannel: NodeChannels.NodeChannel
  readonly nodeRpc: NodeRpcs.NodeRpc
  readonly sharedLog: RelayedLogs.RelayedLog
  readonly quarantine: Quarantines.Quarantine
  readonly dependencyControl: DependencyControls.DependencyControl
  readonly host: Hosts.Host
  readonly reportChannel: ReportChannels.ReportChannel
  readonly hostServer: HostServers.HostServer
  readonly stateTransfer: StateTransfers.StateTransfer
  readonly targetSelector: TargetSelectors.TargetSelector
  readonly retryBudget: RetryBudgets.RetryBudget
  readonly sender: Senders.Sender
  readonly destinationChooser: DestinationChoosers.DestinationChooser
  readonly quotas: Quotas.Quotas
  readonly gateway: Gateways.Gateway
  readonly registrar: Registrars.Registrar
  readonly registrationRecovery: RegistrationRecoveries.RegistrationRecovery
  readonly synchronizer: Synchronizers.Synchronizer
  readonly membership: Membership.Membership
  readonly servers: Servers.Servers
}

/** State of a node as operators see it. Ages are in ms. */
export interface Status {
  readonly node: Decisions.Ids.NodeId
  readonly service: Decisions.Ids.Service
  readonly dataCenter: Decisions.Ids.DataCenter
  readonly region: Decisions.Ids.Region
  readonly isReady: boolean
  readonly readyTargets: number
  /** Address of the node through which the shared log is read, `direct` or `as relay`. */
  readonly logSource: string
  /** Position of the configuration in the shared log up to which this node has read, `EPOCH:OFFSET`. */
  readonly logPosition: string | undefined
  /** Undefined before the first configuration. `contactAge` is the time since a newer version was last ruled out. */
  readonly configuration: (Metrics.InForce & { readonly contactAge: number }) | undefined
  readonly settings: Metrics.InForce & { readonly awaitingRestart: readonly string[] }
}

/** Time until callers have stopped sending requests to a stopping node: they do after two failed readiness checks, one a second. */
const CALLER_DRAIN_DELAY = Decisions.Clock.milliseconds(3_300)
/** Time until a stopping node accepts no more requests for its target, so that those already running end within the shutdown timeout. */
const HOST_DRAIN_DELAY = Decisions.Clock.milliseconds(2_400)
/** Time for which a stopping node still takes requests that may not end before it; callers accept that up to 3 s after its stop began. */
const LONG_REQUEST_PERIOD = Decisions.Clock.milliseconds(2_800)
const SHUTDOWN_POLL_INTERVAL_MS = 50
/** Time before the end of the shutdown timeout at which the node closes even with requests in flight. */
const SHUTDOWN_MARGIN = Decisions.Clock.milliseconds(400)

export class Proxy {
  private readonly components: Cradle
  private isStopping = false

  constructor (dependencies: ProxyDependencies) {
    this.components = wire(dependencies)
  }

  async start (): Promise<void> {
    const { servers, nodeChannel, sharedLog, synchronizer, quotas, log, settings, memory } = this.components
    memory.start()
    await Promise.all([servers.open(), nodeChannel.open()])
    quotas.start()
    sharedLog.start()
    synchronizer.start()
    log.info('node started', { service: settings.service, dataCenter: settings.location.dataCenter, region: settings.location.region, host: settings.location.host })
  }

  /** Whether callers may send requests to this node. */
  get isReady (): boolean {
    return !this.isStopping && this.components.configuration.table !== undefined && this.components.synchronizer.hasReadTargets
  }

  /** Number of ready targets that this node knows. */
  get readyTargetCount (): number {
    return this.components.directory.readyCount
  }

  get membership (): Membership.Membership {
    return this.components.membership
  }

  /** Applies changed settings; see `SettingsState`. */
  replaceSettings (settings: Settings.ProxySettings): void {
    this.components.settingsState.replace(settings)
  }

  /** What is in force on this node, since when, and how current that is. */
  status (): Status {
    const { settings: { node, service, location }, configuration, settingsState, clock, sharedLog } = this.components
    const now = clock.now()
    const { current } = configuration
    return {
      node, service, dataCenter: location.dataCenter, region: location.region, isReady: this.isReady, readyTargets: this.readyTargetCount, logSource: sharedLog.currentSource, logPosition: sharedLog.currentPosition,
      configuration: current === undefined
        ? undefined
        : { version: current.version, checksum: current.checksum, age: configuration.inForceFor(now) ?? 0, contactAge: configuration.contactAge(now) },
      settings: { checksum: settingsState.current.checksum, age: settingsState.age(), awaitingRestart: settingsState.awaitingRestart }
    }
  }

  /** All metrics in the Prometheus text format. */
  async renderMetrics (): Promise<string> {
    const { configuration, settings } = this.status()
    this.components.metrics.setInForce(configuration, settings)
    return await this.components.metrics.render()
  }

  /** Finishes the requests in flight, then closes the node. Resolves to the number of requests aborted at the shutdown timeout. */
  async stop (): Promise<number> {
    const { clock, gateway, host, hostServer, log, servers, settingsState } = this.components
    this.isStopping = true
    const startedAt = clock.now()
    log.info('planned stop begins', { inFlight: gateway.inFlight, hosted: hostServer.inFlight })
    const shutdownDeadline = Decisions.Clock.milliseconds(startedAt + settingsState.current.shutdownTimeout - SHUTDOWN_MARGIN)
    gateway.startDraining({ refusesLongRequestsAt: Decisions.Clock.add(startedAt, LONG_REQUEST_PERIOD), endsAt: shutdownDeadline })
    const inFlight = (): number => gateway.inFlight + hostServer.inFlight + host.running
    // Other nodes may use the local target's capacity until its host stops accepting requests.
    await Delays.delay(HOST_DRAIN_DELAY)
    host.startDraining()
    await Delays.delay(CALLER_DRAIN_DELAY - HOST_DRAIN_DELAY)
    // Requests of callers that ignore the readiness check would be aborted at the shutdown timeout.
    servers.stopAccepting()
    while (clock.now() < shutdownDeadline && inFlight() + gateway.closingConnections > 0) await Delays.delay(SHUTDOWN_POLL_INTERVAL_MS)
    const abortedCount = inFlight()
    this.close()
    log.info('node stopped', { after: Math.round(clock.now() - startedAt), cut: abortedCount })
    return abortedCount
  }

  /** Closes the node at once and aborts all requests in flight. */
  close (): void {
    const { servers, nodeChannel, synchronizer, sharedLog, registrar, connections, quotas, memory } = this.components
    quotas.stop()
    memory.stop()
    synchronizer.stop()
    registrar.stop()
    sharedLog.close()
    servers.close()
    nodeChannel.close()
    connections.destroy()
  }
}

function wire (dependencies: ProxyDependencies): Cradle {
  const container = Awilix.createContainer<Cradle>({ strict: true })
  container.register({
    ...asValues(dependencies),
    ...stateComponents(),
    random: Awilix.asFunction(createRandom).singleton(),
    localTarget: Awilix.asClass(LocalTargets.LocalTarget).singleton(),
    memory: Awilix.asClass(Memories.Memory).singleton(),
    inboundConnections: Awilix.asClass(ConnectionOwners.Connections).singleton(),
    views: Awilix.asClass(HostViews.HostViews).singleton(),
    costs: Awilix.asFunction(createCosts).singleton(),
    connections: Awilix.asFunction(({ inboundConnections }: Cradle) => new ConnectionPools.ConnectionPool(inboundConnections.outboundLimit)).singleton(),
    nodeChannel: Awilix.asClass(NodeChannels.NodeChannel).singleton(),
    nodeRpc: Awilix.asClass(NodeRpcs.NodeRpc).singleton(),
    quarantine: Awilix.asClass(Quarantines.Quarantine).singleton(),
    dependencyControl: Awilix.asClass(DependencyControls.DependencyControl).singleton(),
    host: Awilix.asFunction((cradle: Cradle) => new Hosts.Host({
      clock: cradle.clock, dialect: cradle.dialect, log: cradle.log, metrics: cradle.metrics, localTarget: cradle.localTarget, memory: cradle.memory, quarantine: cradle.quarantine, dependencyControl: cradle.dependencyControl,
      targetAddress: cradle.settings.targetAddress, version: () => cradle.configuration.version, features: () => cradle.configuration.current?.features,
      onBreakerChanged: (target, report) => { cradle.reportChannel.broadcast(target, report) },
      onTargetLeaving: target => { void cradle.membership.recordLeaving(target) }
    })).singleton(),
    reportChannel: Awilix.asClass(ReportChannels.ReportChannel).singleton(),
    hostServer: Awilix.asClass(HostServers.HostServer).singleton(),
    targetSelector: Awilix.asFunction((cradle: Cradle) => new TargetSelectors.TargetSelector(cradle.settings.location, cradle.views, cradle.random)).singleton(),
    retryBudget: Awilix.asFunction((cradle: Cradle) => new RetryBudgets.RetryBudget(() => cradle.settingsState.current.retryBudget)).singleton(),
    sender: Awilix.asFunction((cradle: Cradle) => new Senders.Sender({
      clock: cradle.clock, log: cradle.log, host: cradle.host, location: cradle.settings.location, callerService: cradle.settings.service, views: cradle.views, costs: cradle.costs, directory: cradle.directory, dialect: cradle.dialect,
      connections: cradle.connections, dependencyControl: cradle.dependencyControl, memory: cradle.memory, onVersionSeen: (version, address) => { cradle.synchronizer.ensureVersion(version, address) }
    })).singleton(),
    destinationChooser: Awilix.asFunction(({ random }: Cradle) => new DestinationChoosers.DestinationChooser(random)).singleton(),
    quotas: Awilix.asClass(Quotas.Quotas).singleton(),
    gateway: Awilix.asClass(Gateways.Gateway).singleton(),
    servers: Awilix.asClass(Servers.Servers).singleton()
  })
  // Components register their handlers when they are constructed, and the container constructs them on first use.
  for (const name of Object.keys(container.registrations)) container.resolve(name)
  return container.cradle
}

/** Components that keep the configuration and the directory in sync with the shared log. */
function stateComponents (): Awilix.NameAndRegistrationPair<Cradle> {
  return {
    directory: Awilix.asClass(Directories.Directory).singleton(),
    configuration: Awilix.asClass(ConfigurationStates.ConfigurationState).singleton(),
    settingsState: Awilix.asClass(SettingsStates.SettingsState).singleton(),
    sharedLog: Awilix.asClass(RelayedLogs.RelayedLog).singleton(),
    stateTransfer: Awilix.asClass(StateTransfers.StateTransfer).singleton(),
    registrar: Awilix.asFunction((cradle: Cradle) => new Registrars.Registrar(cradle.sharedLog, cradle.log, cradle.random)).singleton(),
    registrationRecovery: Awilix.asClass(RegistrationRecoveries.RegistrationRecovery).singleton(),
    synchronizer: Awilix.asClass(Synchronizers.Synchronizer).singleton(),
    membership: Awilix.asClass(Membership.Membership).singleton()
  }
}

function createCosts ({ configuration }: Cradle): () => ServiceCosts.ServiceCosts | undefined {
  const costs = new ServiceCosts.ServiceCosts()
  return () => configuration.current?.features.placesByCost === true ? costs : undefined
}

function createRandom ({ settings }: Cradle): Decisions.Random.Random {
  return new Decisions.Random.Random(Decisions.Rendezvous.hash(`${settings.node} ${process.pid} ${process.hrtime.bigint()}`))
}

function asValues (dependencies: ProxyDependencies): Awilix.NameAndRegistrationPair<Cradle> {
  return Object.fromEntries(Object.entries(dependencies).map(([name, value]) => [name, Awilix.asValue(value as unknown)]))
}
