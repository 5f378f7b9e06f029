/** Keeps the configuration and the directory in sync with the shared log, and with peers while it does not answer. */
import * as Decisions from '@jasminedale/decisions'
import type * as neverthrow from 'neverthrow'
import type * as Directories from '../directory/directory.js'
import type * as Registrations from '../directory/registration.js'
import type * as HostViews from '../entry/host-views.js'
import type * as Membership from '../membership.js'
import type * as Logs from '../observation/log.js'
import type * as Metrics from '../observation/metrics.js'
import type * as Routes from '../routes/route.js'
import type * as Settings from '../settings.js'
import type * as ConfigurationStates from './configuration-state.js'
import * as Followers from './follower.js'
import type * as PeerStates from './peer-state.js'
import type * as Registrars from './registrar.js'
import * as RegistrationRecords from './registration-record.js'
import type * as SharedLogs from './shared-log.js'

/** Why a published configuration was not taken over. */
export interface ConfigurationFailure { readonly kind: 'configuration-invalid', readonly detail: string }

/** Reads a record of topic `configuration`; undefined when the record is about something else. */
export type ConfigurationReader = (record: SharedLogs.KeyedRecord) => neverthrow.Result<Routes.RouteConfiguration, ConfigurationFailure> | undefined

/** Longest silence of a connection to the log that goes unnoticed, unless an answer of another node shows a newer version. */
const CONFIGURATION_WAIT = Decisions.Clock.seconds(6)
/** Registrations also show in refusals of hosts, so they may come later. */
const TARGETS_WAIT = Decisions.Clock.seconds(20)
/** Registrations come in bursts when a service is replaced; one read takes them together. */
const TARGETS_COLLECT = Decisions.Clock.milliseconds(700)
/** Interval of questions to peers while the log does not answer. */
const PEER_INTERVAL_MS = 700
/** Time for the log to deliver a version that a peer already has. */
const PEER_LEAD_MS = 300

export interface SynchronizerParts extends Followers.FollowerParts {
  readonly settings: Settings.ProxySettings
  readonly log: Logs.Log
  readonly metrics: Metrics.Metrics
  readonly configuration: ConfigurationStates.ConfigurationState
  readonly directory: Directories.Directory
  readonly views: HostViews.HostViews
  readonly peerState: PeerStates.PeerState
  readonly registrar: Registrars.Registrar
  readonly membership: Membership.Membership
  readonly readConfiguration: ConfigurationReader
}

export class Synchronizer {
  private readonly parts: SynchronizerParts
  private readonly followers: readonly Followers.Follower[]
  private timer: NodeJS.Timeout | undefined
  private lead: NodeJS.Timeout | undefined
  private synchronized = false

  constructor (parts: SynchronizerParts) {
    this.parts = parts
    this.followers = [this.followConfiguration(), this.followTargets()]
  }

  /** Whether the directory was read once. */
  get hasReadTargets (): boolean {
    return this.synchronized
  }

  start (): void {
    for (const follower of this.followers) void follower.run()
    this.timer = setInterval(() => { this.askPeer() }, PEER_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
    clearTimeout(this.lead)
    for (const follower of this.followers) follower.stop()
  }

  /** Another node has this version in force. If the log does not deliver it, the node is asked. */
  ensureVersion (version: Decisions.Ids.Version, address: Decisions.Ids.Endpoint): void {
    const { configuration, peerState } = this.parts
    if (version <= configuration.version || this.lead !== undefined) return
    this.lead = setTimeout(() => {
      this.lead = undefined
      if (version > configuration.version) void peerState.ask(address)
    }, PEER_LEAD_MS)
  }

  private followConfiguration (): Followers.Follower {
    const { configuration, clock } = this.parts
    return new Followers.Follower(this.parts, {
      topic: 'configuration',
      wait: CONFIGURATION_WAIT,
      collect: Decisions.Clock.milliseconds(0),
      apply: record => { this.applyConfiguration(record) },
      synchronized: () => { configuration.recordContact(clock.now()) }
    })
  }

  private followTargets (): Followers.Follower {
    return new Followers.Follower(this.parts, {
      topic: 'targets',
      wait: TARGETS_WAIT,
      collect: TARGETS_COLLECT,
      apply: record => { this.applyRegistration(record) },
      synchronized: () => { this.targetsSynchronized() }
    })
  }

  private targetsSynchronized (): void {
    if (this.synchronized) return
    this.synchronized = true
    this.parts.membership.adoptRegistration()
    this.parts.log.info('directory read', { targets: this.parts.directory.readyCount })
  }

  private applyConfiguration (record: SharedLogs.KeyedRecord): void {
    const { configuration, log, metrics, readConfiguration } = this.parts
    const read = readConfiguration(record)
    if (read === undefined) return
    if (read.isErr()) {
      log.warn('configuration cannot be read; the version in force stays', { detail: read.error.detail, version: configuration.version })
      return
    }
    const before = configuration.version
    if (!configuration.replaceIfNewer(read.value)) return
    metrics.setConfigurationVersion(read.value.version)
    log.info('configuration in force', { version: read.value.version, before, routes: read.value.routes.length })
  }

  private applyRegistration (record: SharedLogs.KeyedRecord): void {
    const { directory, log, registrar, settings, views } = this.parts
    if (record.value === undefined) {
      directory.remove(Decisions.Ids.targetId(record.key))
      return
    }
    const read = RegistrationRecords.decode(record)
    if (read.isErr()) {
      log.warn('registration cannot be read', { key: record.key, detail: read.error.detail })
      return
    }
    const registration = read.value
    if (registration.host === settings.place.host) void registrar.observed(registration)
    const known = directory.get(registration.target)
    if (!directory.merge(registration)) return
    if (this.synchronized && known?.state !== registration.state) log.info('target registered', { target: registration.target, service: registration.service, state: registration.state, sequence: registration.sequence })
    if (known?.incarnation !== registration.incarnation) views.remove(registration.target)
  }

  /** While the log does not answer this node, a peer may be served by it. */
  private askPeer (): void {
    const { clock, peerState, random } = this.parts
    const failing = this.followers.some(follower => (follower.failingFor(clock.now()) ?? 0) >= PEER_INTERVAL_MS)
    if (!failing) return
    const peer = random.pick(this.nearestPeers())
    if (peer !== undefined) void peerState.ask(peer.host)
  }

  private nearestPeers (): readonly Registrations.Registration[] {
    const { directory, settings: { place } } = this.parts
    const others = directory.allTargets().filter(registration => registration.state === 'ready' && registration.host !== place.host)
    const sameCenter = others.filter(registration => registration.dataCenter === place.dataCenter)
    if (sameCenter.length > 0) return sameCenter
    const sameRegion = others.filter(registration => registration.region === place.region)
    return sameRegion.length > 0 ? sameRegion : others
  }
}
