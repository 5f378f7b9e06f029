/** The shared log as read through the relay of this node's group, or directly while there is none. Writes go to the log itself. */
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import type * as Directories from '../directory/directory.js'
import type * as Logs from '../observation/log.js'
import type * as Settings from '../settings.js'
import type * as NodeChannels from '../transport/node-channel.js'
import type * as NodeRpcs from '../transport/node-rpc.js'
import * as RecordBuffers from './record-buffer.js'
import * as RelayMessages from './relay-message.js'
import * as RelaySelectors from './relay-selector.js'
import * as SharedLogs from './shared-log.js'

const ANNOUNCEMENT_METHOD = 'relay'
const READ_METHOD = 'records'
/** Three announcements fit into the time after which a relay counts as failed, since datagrams get lost. */
const ANNOUNCEMENT_INTERVAL_MS = 300
/** A relay without contact for this long sends no announcements. */
const ANNOUNCED_CONTACT_AGE_MAXIMUM_MS = 1_200
/** A node that has become the relay may still wait in a long read; after this time without contact it checks the log by another one. */
const CHECKED_CONTACT_AGE_MS = 1_000
/**
 * Longest wait of one read of the log itself. An answer proves the contact with the log; without one, the connection may
 * have died, and the node would not see a new version until the read has failed.
 */
const POLL_TIMEOUT: Readonly<Record<SharedLogs.Topic, Decisions.Clock.Milliseconds>> = {
  configuration: Decisions.Clock.milliseconds(800), targets: Decisions.Clock.seconds(2)
}
const DIRECT_READ_TIMEOUT = Decisions.Clock.milliseconds(0)

export interface RelayedLogDependencies {
  /** The shared log itself. */
  readonly store: SharedLogs.SharedLog
  readonly settings: Pick<Settings.ProxySettings, 'location'>
  readonly clock: Decisions.Clock.Clock
  readonly log: Logs.Log
  readonly directory: Directories.Directory
  readonly nodeChannel: Pick<NodeChannels.NodeChannel, 'handle' | 'notify'>
  readonly nodeRpc: Pick<NodeRpcs.NodeRpc, 'addMethod' | 'call'>
}

export class RelayedLog extends SharedLogs.SharedLog {
  private readonly dependencies: RelayedLogDependencies
  private readonly selector: RelaySelectors.RelaySelector
  private readonly buffers: Readonly<Record<SharedLogs.Topic, RecordBuffers.RecordBuffer>> = {
    configuration: new RecordBuffers.RecordBuffer(), targets: new RecordBuffers.RecordBuffer()
  }

  /** Epoch of the last answer of the log itself. */
  private epoch: SharedLogs.Epoch | undefined
  /** Called with each new epoch, to abandon the reads that wait in an earlier one. */
  private readonly pendingReads = new Set<(epoch: SharedLogs.Epoch) => void>()
  private group: readonly Decisions.Ids.Endpoint[] = []
  private groupRevision = -1
  private contactAt = Decisions.Clock.milliseconds(-Infinity)
  private timer: NodeJS.Timeout | undefined
  private wakeUps: (() => void)[] = []
  private source = 'direct'
  private isClosed = false
  private isChecking = false

  constructor (dependencies: RelayedLogDependencies) {
    super()
    this.dependencies = dependencies
    this.selector = new RelaySelectors.RelaySelector(dependencies.settings.location.host)
    dependencies.nodeChannel.handle(ANNOUNCEMENT_METHOD, params => this.receiveAnnouncement(params))
    dependencies.nodeRpc.addMethod(READ_METHOD, params => this.serveRecords(params))
  }

  /** Address of the relay through which this node reads, `as relay` or `direct`. */
  get currentSource (): string {
    return this.source
  }

  /** Position of the configuration up to which this node has read, `EPOCH:OFFSET`; undefined before it has read the log. */
  get currentPosition (): string | undefined {
    return describe(this.positions())
  }

  /** The relay that this node hears, whether or not the log answers this node itself; undefined on the relay. */
  get relay (): Decisions.Ids.Endpoint | undefined {
    return this.isRelay() ? undefined : this.activeRelay()?.host
  }

  start (): void {
    this.timer = setInterval(() => { this.update() }, ANNOUNCEMENT_INTERVAL_MS)
  }

  async readNewest (topic: SharedLogs.Topic): SharedLogs.LogResult<SharedLogs.Batch> {
    const read = await this.dependencies.store.readNewest(topic)
    if (read.isOk()) {
      this.recordEpoch(read.value.next.epoch)
      this.buffers[topic].reset(read.value.next)
      this.recordContact(topic)
    }
    return read
  }

  async readFrom (topic: SharedLogs.Topic, position: SharedLogs.Position, wait: Decisions.Clock.Milliseconds): SharedLogs.LogResult<SharedLogs.Batch> {
    const { clock } = this.dependencies
    const deadline = Decisions.Clock.add(clock.now(), wait)
    while (!this.isClosed) {
      if (this.epoch !== undefined && this.epoch !== position.epoch) return neverthrow.err({ kind: 'restored', epoch: this.epoch })
      // Two relays that read from each other would both miss what is new.
      const relay = this.isRelay() ? undefined : this.activeRelay()
      // A relay that reads an older epoch has not noticed yet that the log was restored.
      if (relay === undefined || relay.positions[topic].epoch < position.epoch) return await this.readStore(topic, position, Decisions.Clock.milliseconds(Math.min(wait, POLL_TIMEOUT[topic])))
      if (relay.positions[topic].epoch > position.epoch) return neverthrow.err({ kind: 'restored', epoch: relay.positions[topic].epoch })
      if (relay.positions[topic].offset > position.offset) return await this.readRelay(relay.host, topic, position)
      if (clock.now() >= deadline) return neverthrow.ok({ records: [], next: position })
      await this.waitForChange(Math.min(deadline, relay.contactAt + RelaySelectors.CONTACT_AGE_MAXIMUM + 1) - clock.now())
    }
    return neverthrow.err({ kind: 'no-answer', detail: 'the log was closed' })
  }

  async put (topic: SharedLogs.Topic, record: SharedLogs.KeyedRecord): SharedLogs.LogResult<undefined> {
    return await this.dependencies.store.put(topic, record)
  }

  close (): void {
    this.isClosed = true
    clearInterval(this.timer)
    this.wakeReaders()
    this.dependencies.store.close()
  }

  private async readStore (topic: SharedLogs.Topic, position: SharedLogs.Position, wait: Decisions.Clock.Milliseconds): SharedLogs.LogResult<SharedLogs.Batch> {
    const read = await this.readStoreInEpoch(topic, position, wait)
    if (read.isErr()) return read
    this.buffers[topic].append(read.value)
    this.recordContact(topic)
    if (read.value.records.length > 0 && this.isRelay()) this.announce()
    return read
  }

  /** Reads from the log until another read shows that it was restored: the connection of this one may have died with it. */
  private async readStoreInEpoch (topic: SharedLogs.Topic, position: SharedLogs.Position, wait: Decisions.Clock.Milliseconds): SharedLogs.LogResult<SharedLogs.Batch> {
    const read = await new Promise<Awaited<SharedLogs.LogResult<SharedLogs.Batch>>>((resolve, reject) => {
      const abandon = (epoch: SharedLogs.Epoch): void => {
        if (epoch !== position.epoch) resolve(neverthrow.err({ kind: 'restored', epoch }))
      }
      this.pendingReads.add(abandon)
      this.dependencies.store.readFrom(topic, position, wait).finally(() => { this.pendingReads.delete(abandon) }).then(resolve, reject)
    })
    if (read.isErr() && read.error.kind === 'restored') this.recordEpoch(read.error.epoch)
    return read
  }

  private recordEpoch (epoch: SharedLogs.Epoch): void {
    if (epoch === this.epoch) return
    this.epoch = epoch
    for (const abandon of this.pendingReads) abandon(epoch)
    this.wakeReaders()
  }

  /** Reads from the relay, or from the log if the relay does not answer or no longer holds all records. */
  private async readRelay (relay: Decisions.Ids.Endpoint, topic: SharedLogs.Topic, position: SharedLogs.Position): SharedLogs.LogResult<SharedLogs.Batch> {
    const { clock, log, nodeRpc } = this.dependencies
    const reply = await nodeRpc.call(relay, READ_METHOD, RelayMessages.encodeRequest({ topic, from: position }))
    const result = reply.andThen(RelayMessages.decodeResponse)
    if (result.isErr()) {
      this.selector.recordFailure(relay, clock.now())
      log.info('relay cannot be read; reading the shared log', { relay, topic, offset: position.offset, error: result.error.detail })
      return await this.readStore(topic, position, DIRECT_READ_TIMEOUT)
    }
    const batch = result.value
    if (batch === undefined) return await this.readStore(topic, position, DIRECT_READ_TIMEOUT)
    if (batch.records.length === 0) {
      this.selector.recordFailure(relay, clock.now())
      log.info('relay does not have what it announced; reading the shared log', { relay, topic, offset: position.offset })
      return await this.readStore(topic, position, DIRECT_READ_TIMEOUT)
    }
    this.buffers[topic].append(batch)
    return neverthrow.ok(batch)
  }

  private serveRecords (params: unknown): unknown {
    const { topic, from } = RelayMessages.decodeRequest(params)
    return RelayMessages.encodeResponse(this.buffers[topic].readFrom(from))
  }

  /** The topic `configuration` is read most often, so its answers show the contact with the log. */
  private recordContact (topic: SharedLogs.Topic): void {
    if (topic === 'configuration') this.contactAt = this.dependencies.clock.now()
  }

  /** Announces this node if it is the relay, and repeats the choice of the source. Called in the interval of announcements. */
  update (): void {
    if (this.isRelay()) {
      if (this.contactAge() > CHECKED_CONTACT_AGE_MS) void this.checkContact()
      this.announce()
    }
    this.logSource()
    this.wakeReaders()
  }

  private contactAge (): number {
    return this.dependencies.clock.now() - this.contactAt
  }

  /**
   * Only an answer without records shows that this node knows all of the log. Records are left to the reader that still
   * waits; if its connection has died, this relay has no contact until that read has failed.
   */
  private async checkContact (): Promise<void> {
    const { next } = this.buffers.configuration
    if (this.isChecking || next === undefined) return
    this.isChecking = true
    const read = await this.readStoreInEpoch('configuration', next, DIRECT_READ_TIMEOUT)
    this.isChecking = false
    if (read.isOk() && read.value.records.length === 0) this.recordContact('configuration')
    if (read.isErr()) this.dependencies.log.info('relay cannot reach the shared log', { failure: read.error.kind, contactAge: Math.round(this.contactAge()) })
  }

  /** Waits until a relay announces itself or the source of the log may have changed, for at most `limit` ms. */
  private async waitForChange (limit: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, limit)
      this.wakeUps.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  private wakeReaders (): void {
    const wakeUps = this.wakeUps
    this.wakeUps = []
    for (const wakeUp of wakeUps) wakeUp()
  }

  private activeRelay (): RelaySelectors.Relay | undefined {
    return this.selector.activeRelay(this.currentGroup(), this.dependencies.clock.now())
  }

  /** A node that cannot reach the log leaves the role to another relay, if there is one, and reads from it. */
  private isRelay (): boolean {
    const isChosen = this.selector.isRelay(this.currentGroup(), this.dependencies.clock.now())
    return isChosen && (this.contactAge() <= RelaySelectors.CONTACT_AGE_MAXIMUM || this.activeRelay() === undefined)
  }

  private currentGroup (): readonly Decisions.Ids.Endpoint[] {
    const { directory, settings: { location } } = this.dependencies
    if (directory.revision !== this.groupRevision) {
      this.groupRevision = directory.revision
      this.group = RelaySelectors.groupOf(location.host, directory.readyTargetsInDataCenter(location.dataCenter).map(({ host }) => host))
    }
    return this.group
  }

  private announce (): void {
    const { nodeChannel, settings: { location } } = this.dependencies
    const contactAge = this.contactAge()
    const positions = this.positions()
    if (this.isClosed || contactAge > ANNOUNCED_CONTACT_AGE_MAXIMUM_MS || positions === undefined) return
    nodeChannel.notify(ANNOUNCEMENT_METHOD, RelayMessages.encodeAnnouncement({ host: location.host, positions, contactAge }), this.currentGroup().filter(host => host !== location.host))
  }

  private receiveAnnouncement (params: readonly unknown[]): boolean {
    const announcement = RelayMessages.decodeAnnouncement(params)
    if (announcement === undefined) return false
    const { host, positions, contactAge } = announcement
    const relay = { host, positions, contactAt: Decisions.Clock.milliseconds(this.dependencies.clock.now() - contactAge) }
    this.logEpoch(relay)
    this.selector.recordAnnouncement(relay)
    this.wakeReaders()
    return true
  }

  /** Positions after the records that this node has read; undefined before it has read both topics. */
  private positions (): RelaySelectors.Positions | undefined {
    const { configuration: { next: configuration }, targets: { next: targets } } = this.buffers
    return configuration === undefined || targets === undefined ? undefined : { configuration, targets }
  }

  /** Logs that a relay reads the log in another epoch than before. */
  private logEpoch ({ host, positions }: RelaySelectors.Relay): void {
    const before = this.selector.lastAnnouncement(host)?.positions.configuration.epoch
    const { epoch } = positions.configuration
    if (before === undefined || before === epoch) return
    this.dependencies.log.info('relay reads a restored log', { relay: host, epoch, before, position: describe(positions), own: describe(this.positions()) })
  }

  /** Logs from where this node reads the log, when that changes. */
  private logSource (): void {
    const { log, clock } = this.dependencies
    const relay = this.activeRelay()
    const source = relay?.host ?? (this.isRelay() ? 'as relay' : 'direct')
    if (source === this.source) return
    log.info('source of the shared log changed', { source, before: this.source, group: this.group.length, position: describe(relay?.positions), own: describe(this.positions()), contactAge: relay === undefined ? undefined : Math.round(clock.now() - relay.contactAt) })
    this.source = source
  }
}

/** Position of the configuration, `EPOCH:OFFSET`. */
function describe (positions: RelaySelectors.Positions | undefined): string | undefined {
  return positions === undefined ? undefined : `${positions.configuration.epoch}:${positions.configuration.offset}`
}
