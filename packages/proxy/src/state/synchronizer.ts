/** Keeps the configuration and the directory in sync with the shared log, and with peers at the start and while the log does not answer. */
import * as Decisions from '@jasminedale/decisions'
import type * as neverthrow from 'neverthrow'
import type * as Directories from '../directory/directory.js'
import type * as Registrations from '../directory/registration.js'
import type * as HostViews from '../entry/host-views.js'
import type * as Membership from '../membership.js'
import type * as Logs from '../observation/log.js'
import type * as Routes from '../routes/route.js'
import type * as Settings from '../settings.js'
import type * as ConfigurationStates from './configuration-state.js'
import * as Followers from './follower.js'
import type * as StateTransfers from './state-transfer.js'
import type * as Registrars from './registrar.js'
import type * as RegistrationRecoveries from './registration-recovery.js'
import type * as RelayedLogs from './relayed-log.js'
import * as RegistrationRecords from './registration-record.js'
import type * as SharedLogs from './shared-log.js'

/** Why a published configuration was rejected. */
export interface ConfigurationFailure { readonly kind: 'configuration-invalid', readonly detail: string }

/** Parses a record of topic `configuration`; undefined when the record is not the configuration. */
export type ConfigurationReader = (record: SharedLogs.KeyedRecord) => neverthrow.Result<Routes.RouteConfiguration, ConfigurationFailure> | undefined

/** Time after which a follower checks again whether it reads through a relay, while there is nothing new. */
const POLL_TIMEOUT = Decisions.Clock.seconds(6)
/** Registrations come in bursts when a service is deployed; one read returns many of them. */
const TARGETS_BATCH_DELAY = Decisions.Clock.milliseconds(700)
/** The same in the first seconds of a process: when a whole fleet starts, all targets register, and each node reads all of that. */
const STARTUP_BATCH_DELAY = Decisions.Clock.seconds(2)
const STARTUP_DURATION = Decisions.Clock.seconds(4)
/** Interval of state requests to peers while the log does not answer. */
const PEER_REQUEST_INTERVAL_MS = 700
/** Peers that a node asks at its start until one of them answers. */
const START_ATTEMPTS = 3
/** Share of the requests to other data centers that stay in the region, where bytes cost less, if it has another one. */
const SAME_REGION_SHARE = 0.5
/** Time for the log to deliver a version that another node already has, before that node is asked for it. */
const LOG_DELIVERY_TIMEOUT_MS = 300

export interface SynchronizerDependencies extends Followers.FollowerDependencies {
  readonly settings: Settings.ProxySettings
  readonly sharedLog: RelayedLogs.RelayedLog
  readonly log: Logs.Log
  readonly configuration: ConfigurationStates.ConfigurationState
  readonly directory: Directories.Directory
  readonly views: HostViews.HostViews
  readonly stateTransfer: StateTransfers.StateTransfer
  readonly registrar: Registrars.Registrar
  readonly registrationRecovery: RegistrationRecoveries.RegistrationRecovery
  readonly membership: Membership.Membership
  readonly readConfiguration: ConfigurationReader
}

export class Synchronizer {
  private readonly dependencies: SynchronizerDependencies
  private readonly followers: readonly Followers.Follower[]
  private peerTimer: NodeJS.Timeout | undefined
  private versionTimer: NodeJS.Timeout | undefined
  private isDirectoryRead = false

  constructor (dependencies: SynchronizerDependencies) {
    this.dependencies = dependencies
    this.followers = [this.followConfiguration(), this.followTargets()]
  }

  /** Whether the directory has been read completely since the start. */
  get hasReadTargets (): boolean {
    return this.isDirectoryRead
  }

  start (): void {
    for (const follower of this.followers) void follower.run()
    this.peerTimer = setInterval(() => { this.fetchFromPeer() }, PEER_REQUEST_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.peerTimer)
    clearTimeout(this.versionTimer)
    for (const follower of this.followers) follower.stop()
    this.dependencies.registrationRecovery.stop()
  }

  /** Requests the state of the node at `address`, which has this version in force, if the shared log does not deliver the version in time. */
  ensureVersion (version: Decisions.Ids.Version, address: Decisions.Ids.Endpoint): void {
    const { configuration, stateTransfer } = this.dependencies
    if (version <= configuration.version || this.versionTimer !== undefined) return
    this.versionTimer = setTimeout(() => {
      this.versionTimer = undefined
      if (version > configuration.version) void stateTransfer.fetchFrom(address)
    }, LOG_DELIVERY_TIMEOUT_MS)
  }

  private followConfiguration (): Followers.Follower {
    const { configuration, clock } = this.dependencies
    return new Followers.Follower(this.dependencies, {
      topic: 'configuration',
      pollTimeout: POLL_TIMEOUT,
      batchDelay: () => Decisions.Clock.milliseconds(0),
      apply: record => { this.applyConfiguration(record) },
      onBatchApplied: () => { configuration.recordContact(clock.now()) }
    })
  }

  private followTargets (): Followers.Follower {
    const { clock, registrationRecovery } = this.dependencies
    const startedAt = clock.now()
    return new Followers.Follower(this.dependencies, {
      topic: 'targets',
      pollTimeout: POLL_TIMEOUT,
      batchDelay: () => clock.now() - startedAt < STARTUP_DURATION ? STARTUP_BATCH_DELAY : TARGETS_BATCH_DELAY,
      apply: record => { this.applyRegistration(record) },
      onNewestApplied: records => { registrationRecovery.compare(records.flatMap(record => RegistrationRecords.decode(record).map(registration => [registration]).unwrapOr([]))) },
      onBatchApplied: () => { this.completeDirectoryRead() }
    })
  }

  private completeDirectoryRead (): void {
    if (this.isDirectoryRead) return
    this.isDirectoryRead = true
    this.dependencies.membership.adoptRegistration()
    this.dependencies.log.info('directory read', { targets: this.dependencies.directory.readyCount })
    void this.fetchAtStart()
  }

  /** Requests the state of a peer: a log that was just restored may not hold yet again what the peers have read from it. */
  private async fetchAtStart (): Promise<void> {
    const { stateTransfer, random } = this.dependencies
    for (let attempt = 0; attempt < START_ATTEMPTS; attempt += 1) {
      const peer = random.pick(this.nearestPeers())
      if (peer === undefined || await stateTransfer.fetchFrom(peer.host)) return
    }
  }

  private applyConfiguration (record: SharedLogs.KeyedRecord): void {
    const { configuration, log, clock, readConfiguration } = this.dependencies
    const read = readConfiguration(record)
    if (read === undefined) return
    if (read.isErr()) {
      log.warn('configuration cannot be read; the version in force stays', { detail: read.error.detail, version: configuration.version })
      return
    }
    const before = configuration.version
    const contactAge = Math.round(configuration.contactAge(clock.now()))
    if (!configuration.replaceIfNewer(read.value, clock.now())) return
    log.info('configuration in force', { version: read.value.version, checksum: read.value.checksum, before, contactAge, routes: read.value.routes.length })
  }

  private applyRegistration (record: SharedLogs.KeyedRecord): void {
    const { directory, log, registrar, registrationRecovery, settings, views } = this.dependencies
    if (record.value === undefined) {
      directory.remove(Decisions.Ids.targetId(record.key))
      return
    }
    const read = RegistrationRecords.decode(record)
    if (read.isErr()) {
      log.warn('registration record is invalid', { key: record.key, detail: read.error.detail })
      return
    }
    const registration = read.value
    registrationRecovery.recordStored(registration)
    if (registration.host === settings.location.host) void registrar.republishIfOutdated(registration)
    const known = directory.get(registration.target)
    if (!directory.merge(registration)) return
    if (this.isDirectoryRead && known?.state !== registration.state) log.info('registered state of a target changed', { target: registration.target, service: registration.service, state: registration.state, sequence: registration.sequence })
    if (known?.incarnation !== registration.incarnation) views.remove(registration.target)
  }

  /** Requests the state of the relay, or of a near peer, while the shared log does not answer this node; it may still answer them. */
  private fetchFromPeer (): void {
    const { clock, stateTransfer, sharedLog, random } = this.dependencies
    const isLogUnavailable = this.followers.some(follower => (follower.failureDuration(clock.now()) ?? 0) >= PEER_REQUEST_INTERVAL_MS)
    if (!isLogUnavailable) return
    const { relay } = sharedLog
    const near = relay ?? random.pick(this.nearestPeers())?.host
    if (near !== undefined) void stateTransfer.fetchFrom(near)
    // Without a relay, the log may answer no node of this data center.
    const distant = relay === undefined ? this.distantPeer()?.host : undefined
    if (distant !== undefined) void stateTransfer.fetchConfigurationFrom(distant)
  }

  /** A node with a ready target outside the data center of this node, more often in its region than elsewhere. */
  private distantPeer (): Registrations.Registration | undefined {
    const { directory, random, settings: { location } } = this.dependencies
    const others = directory.allTargets().filter(registration => registration.state === 'ready' && registration.dataCenter !== location.dataCenter)
    const sameRegion = others.filter(registration => registration.region === location.region)
    return random.pick(sameRegion.length > 0 && random.fraction() < SAME_REGION_SHARE ? sameRegion : others)
  }

  /** Other nodes with a ready target: those in the data center of this node, else those in its region, else all. */
  private nearestPeers (): readonly Registrations.Registration[] {
    const { directory, settings: { location } } = this.dependencies
    const others = directory.allTargets().filter(registration => registration.state === 'ready' && registration.host !== location.host)
    const sameDataCenter = others.filter(registration => registration.dataCenter === location.dataCenter)
    if (sameDataCenter.length > 0) return sameDataCenter
    const sameRegion = others.filter(registration => registration.region === location.region)
    return sameRegion.length > 0 ? sameRegion : others
  }
}
