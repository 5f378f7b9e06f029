/** Controller that puts published configurations in force: reads the log, exchanges versions with peers, appends snapshots. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import * as DefaultPolicy from '../core/default-policy.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import type * as MembershipMessages from '../membership/message.js'
import * as PeerSelectors from '../membership/peer-selector.js'
import * as ConfigurationExchanges from './configuration-exchange.js'
import * as LogReplays from './log-replay.js'
import * as LogAvailabilities from './log-availability.js'
import * as Parsers from './parser.js'
import * as LogReaders from './log-readers.js'
import * as SnapshotWriters from './snapshot-writer.js'

const READ_PERIOD = Clock.milliseconds(500)
/** A new node uses the built-in settings when neither the log nor a peer answers within this time. */
const INITIALIZATION_TIMEOUT = Clock.seconds(3)
/** Longer than any read; covers the case that its completion is lost. */
const READ_TIMEOUT = Clock.seconds(30)

export class Publication extends Controllers.Controller {
  private accepted: LogReplays.AcceptedVersion = { configuration: DefaultPolicy.INITIAL_CONFIGURATION, text: '', offset: 0 }
  private readonly replay: LogReplays.LogReplay
  private readonly peers = new PeerSelectors.PeerSelector()
  private readonly exchange = new ConfigurationExchanges.ConfigurationExchange(this.peers)
  private readonly readers = new LogReaders.LogReaders()
  private readonly snapshotWriter = new SnapshotWriters.SnapshotWriter()
  private readonly logAvailability = new LogAvailabilities.LogAvailability()
  private startedAt: Clock.Milliseconds | undefined
  private nextReadAt = Clock.milliseconds(0)
  /** `isDiscarded`: the replay has been reset since, so that the result of the read does not apply. */
  private pendingRead: { readonly requestedAt: Clock.Milliseconds, isDiscarded: boolean } | undefined
  /** Last version whose text this node failed to parse; it is not fetched again. */
  private unusableVersion = Ids.version(0)

  constructor (private readonly parse: Parsers.ParseConfiguration) {
    super()
    this.replay = new LogReplays.LogReplay(this.accepted, parse)
  }

  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'tick': this.tick(turn); break
      case 'message-received': this.receive(event, turn); break
      case 'log-read': if (event.stream === 'configuration') this.handleRead(event, turn); break
      case 'log-unavailable': if (event.stream === 'configuration') this.handleReadFailure(turn); break
      default: break
    }
  }

  private tick (turn: Controllers.Turn): void {
    const { configuration } = turn.board
    this.startedAt ??= turn.now
    if (turn.now - this.startedAt >= INITIALIZATION_TIMEOUT) configuration.isInitialized = true
    this.exchange.tick(turn)
    const { readers, position } = this.readers.select(turn.board)
    configuration.logReaders = readers
    this.logAvailability.tick(position !== undefined, readers[0] === turn.board.identity.node, turn)
    if (this.pendingRead !== undefined && turn.now - this.pendingRead.requestedAt >= READ_TIMEOUT) this.pendingRead = undefined
    if (position === undefined || this.pendingRead !== undefined || turn.now < this.nextReadAt) return
    this.nextReadAt = Clock.add(turn.now, READ_PERIOD)
    this.pendingRead = { requestedAt: turn.now, isDiscarded: false }
    turn.emit({ kind: 'read-log', stream: 'configuration', from: this.replay.nextOffset })
  }

  private handleRead (event: Events.LogRead, turn: Controllers.Turn): void {
    const isDiscarded = this.pendingRead?.isDiscarded ?? true
    this.pendingRead = undefined
    this.logAvailability.recordSuccess()
    if (isDiscarded) return
    for (const { offset, detail } of this.replay.applyRead(event)) {
      turn.record({ controller: 'publication', decision: 'record-skipped', evidence: `offset ${offset}: ${detail}` })
    }
    if (this.replay.isCaughtUp) turn.board.configuration.isInitialized = true
    else this.nextReadAt = turn.now
    const { accepted } = this.replay
    if (accepted !== undefined) this.adopt(accepted, 'log', turn)
    const { position } = this.readers.select(turn.board)
    if (position !== undefined) this.snapshotWriter.appendIfDue(this.replay, event, position, turn)
  }

  private handleReadFailure (turn: Controllers.Turn): void {
    this.pendingRead = undefined
    this.logAvailability.recordFailure(turn.now)
  }

  private receive (event: Events.MessageReceived, turn: Controllers.Turn): void {
    const { message } = event
    if ('updates' in message) this.relayLogReports(message.updates, turn)
    if (!('configuration' in message)) return
    const { configuration } = turn.board
    if (message.configuration > configuration.current.version) this.recordNewerVersion(message.configuration, turn)
    switch (message.kind) {
      case 'configuration-request':
        this.exchange.answerRequest(event, message, this.accepted, this.replay.preservedAt ?? Clock.milliseconds(0), turn); break
      case 'configuration-text': {
        const fetched = this.exchange.decodeAnswer(message, turn)
        if (fetched !== undefined) this.adoptFromPeer(fetched, turn)
        break
      }
      default: break
    }
    const isNewer = message.configuration > configuration.current.version && message.configuration > this.unusableVersion
    if (isNewer) this.exchange.addSource({ node: event.from, address: message.address, version: message.configuration }, turn)
  }

  private relayLogReports (updates: readonly MembershipMessages.Update[], turn: Controllers.Turn): void {
    for (const update of updates) {
      if (update.kind !== 'log' || !this.logAvailability.receive(update, turn)) continue
      turn.raise({ kind: 'gossip-wanted', key: `log ${update.dataCenter}`, update, urgent: false })
    }
  }

  private recordNewerVersion (version: Ids.Version, turn: Controllers.Turn): void {
    const { configuration } = turn.board
    if (version > configuration.highestKnownVersion) configuration.highestKnownVersion = version
    configuration.newerVersionKnownSince ??= turn.now
  }

  /** Puts a peer's configuration in force if its version is newer. For the same version, the first publication stays. */
  private adoptFromPeer (fetched: ConfigurationExchanges.FetchedConfiguration, turn: Controllers.Turn): void {
    const { version, publication, text, offset, preservedAt } = fetched
    if (version <= turn.board.configuration.current.version) return
    const parsed = this.parse(text, version, publication)
    if (parsed.isErr()) {
      this.unusableVersion = version
      turn.record({ controller: 'publication', decision: 'version-unusable', evidence: `version ${version}: ${Parsers.describeFailures(parsed.error)}` })
      return
    }
    const accepted = { configuration: { ...parsed.value, version, publication }, text, offset }
    if (version > this.replay.version) {
      this.replay.resetTo(accepted, preservedAt)
      if (this.pendingRead !== undefined) this.pendingRead.isDiscarded = true
    }
    this.adopt(accepted, 'peer', turn)
  }

  /** Puts an accepted version in force if it is newer. */
  private adopt (accepted: LogReplays.AcceptedVersion, source: string, turn: Controllers.Turn): void {
    const { configuration } = turn.board
    const { version } = accepted.configuration
    if (version <= configuration.current.version) return
    this.accepted = accepted
    configuration.current = accepted.configuration
    configuration.isInitialized = true
    configuration.text = accepted.text
    configuration.inForceSince = turn.now
    if (version >= configuration.highestKnownVersion) {
      configuration.highestKnownVersion = version
      configuration.newerVersionKnownSince = undefined
    }
    turn.record({ controller: 'publication', decision: 'version-in-force', evidence: `version ${version} from ${source}` })
    this.exchange.handleAdoption(version, accepted.text, turn)
    turn.raise({ kind: 'configuration-changed', configuration: accepted.configuration })
  }
}
