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

  react (event: Events.Event, context: Controllers.StepContext): void {
    switch (event.kind) {
      case 'tick': this.tick(context); break
      case 'message-received': this.receive(event, context); break
      case 'log-read': if (event.stream === 'configuration') this.handleRead(event, context); break
      case 'log-unavailable': if (event.stream === 'configuration') this.handleReadFailure(context); break
      default: break
    }
  }

  private tick (context: Controllers.StepContext): void {
    const { configuration } = context.board
    this.startedAt ??= context.now
    if (context.now - this.startedAt >= INITIALIZATION_TIMEOUT) configuration.isInitialized = true
    this.exchange.tick(context)
    const { readers, position } = this.readers.select(context.board)
    configuration.logReaders = readers
    this.logAvailability.tick(position !== undefined, readers[0] === context.board.identity.node, context)
    if (this.pendingRead !== undefined && context.now - this.pendingRead.requestedAt >= READ_TIMEOUT) this.pendingRead = undefined
    if (position === undefined || this.pendingRead !== undefined || context.now < this.nextReadAt) return
    this.nextReadAt = Clock.add(context.now, READ_PERIOD)
    this.pendingRead = { requestedAt: context.now, isDiscarded: false }
    context.emit({ kind: 'read-log', stream: 'configuration', from: this.replay.nextOffset })
  }

  private handleRead (event: Events.LogRead, context: Controllers.StepContext): void {
    const isDiscarded = this.pendingRead?.isDiscarded ?? true
    this.pendingRead = undefined
    this.logAvailability.recordSuccess()
    if (isDiscarded) return
    for (const { offset, detail } of this.replay.applyRead(event)) {
      context.record({ controller: 'publication', decision: 'record-skipped', evidence: `offset ${offset}: ${detail}` })
    }
    if (this.replay.isCaughtUp) context.board.configuration.isInitialized = true
    else this.nextReadAt = context.now
    const { accepted } = this.replay
    if (accepted !== undefined) this.adopt(accepted, 'log', context)
    const { position } = this.readers.select(context.board)
    if (position !== undefined) this.snapshotWriter.appendIfDue(this.replay, event, position, context)
  }

  private handleReadFailure (context: Controllers.StepContext): void {
    this.pendingRead = undefined
    this.logAvailability.recordFailure(context.now)
  }

  private receive (event: Events.MessageReceived, context: Controllers.StepContext): void {
    const { message } = event
    if ('updates' in message) this.relayLogReports(message.updates, context)
    if (!('configuration' in message)) return
    const { configuration } = context.board
    if (message.configuration > configuration.current.version) this.recordNewerVersion(message.configuration, context)
    switch (message.kind) {
      case 'configuration-request':
        this.exchange.answerRequest(event, message, this.accepted, this.replay.preservedAt ?? Clock.milliseconds(0), context); break
      case 'configuration-text': {
        const fetched = this.exchange.decodeAnswer(message, context)
        if (fetched !== undefined) this.adoptFromPeer(fetched, context)
        break
      }
      default: break
    }
    const isNewer = message.configuration > configuration.current.version && message.configuration > this.unusableVersion
    if (isNewer) this.exchange.addSource({ node: event.from, address: message.address, version: message.configuration }, context)
  }

  private relayLogReports (updates: readonly MembershipMessages.Update[], context: Controllers.StepContext): void {
    for (const update of updates) {
      if (update.kind !== 'log' || !this.logAvailability.receive(update, context)) continue
      context.raise({ kind: 'gossip-wanted', key: `log ${update.dataCenter}`, update, urgent: false })
    }
  }

  private recordNewerVersion (version: Ids.Version, context: Controllers.StepContext): void {
    const { configuration } = context.board
    if (version > configuration.highestKnownVersion) configuration.highestKnownVersion = version
    configuration.newerVersionKnownSince ??= context.now
  }

  /** Puts a peer's configuration in force if its version is newer. For the same version, the first publication stays. */
  private adoptFromPeer (fetched: ConfigurationExchanges.FetchedConfiguration, context: Controllers.StepContext): void {
    const { version, publication, text, offset, preservedAt } = fetched
    if (version <= context.board.configuration.current.version) return
    const parsed = this.parse(text, version, publication)
    if (parsed.isErr()) {
      this.unusableVersion = version
      context.record({ controller: 'publication', decision: 'version-unusable', evidence: `version ${version}: ${Parsers.describeFailures(parsed.error)}` })
      return
    }
    const accepted = { configuration: { ...parsed.value, version, publication }, text, offset }
    if (version > this.replay.version) {
      this.replay.resetTo(accepted, preservedAt)
      if (this.pendingRead !== undefined) this.pendingRead.isDiscarded = true
    }
    this.adopt(accepted, 'peer', context)
  }

  /** Puts an accepted version in force if it is newer. */
  private adopt (accepted: LogReplays.AcceptedVersion, source: string, context: Controllers.StepContext): void {
    const { configuration } = context.board
    const { version } = accepted.configuration
    if (version <= configuration.current.version) return
    this.accepted = accepted
    configuration.current = accepted.configuration
    configuration.isInitialized = true
    configuration.text = accepted.text
    configuration.inForceSince = context.now
    if (version >= configuration.highestKnownVersion) {
      configuration.highestKnownVersion = version
      configuration.newerVersionKnownSince = undefined
    }
    context.record({ controller: 'publication', decision: 'version-in-force', evidence: `version ${version} from ${source}` })
    this.exchange.handleAdoption(version, accepted.text, context)
    context.raise({ kind: 'configuration-changed', configuration: accepted.configuration })
  }
}
