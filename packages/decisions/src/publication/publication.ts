/** Brings published configurations into force: reads the log, exchanges versions with peers, repeats snapshots. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import * as DefaultPolicy from '../core/default-policy.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import type * as MembershipMessages from '../membership/message.js'
import * as Peers from '../membership/peers.js'
import * as Exchanges from './exchange.js'
import * as LogFolds from './log-fold.js'
import * as LogStatuses from './log-status.js'
import * as Parsers from './parser.js'
import * as Readers from './readers.js'
import * as Snapshots from './snapshots.js'

const READ_PERIOD = Clock.milliseconds(500)
/** A new node serves by the built-in settings when neither the log nor a peer answers for so long. */
const SETTLE_LIMIT = Clock.seconds(3)
/** Longer than any read takes; covers a completion that never arrives. */
const READ_LIMIT = Clock.seconds(30)

export class Publication extends Controllers.Controller {
  private accepted: LogFolds.Accepted = { configuration: DefaultPolicy.INITIAL_CONFIGURATION, text: '', offset: 0 }
  private readonly fold: LogFolds.LogFold
  private readonly peers = new Peers.Peers()
  private readonly exchange = new Exchanges.Exchange(this.peers)
  private readonly readers = new Readers.Readers()
  private readonly snapshots = new Snapshots.Snapshots()
  private readonly logStatus = new LogStatuses.LogStatus()
  private startedAt: Clock.Milliseconds | undefined
  private readAt = Clock.milliseconds(0)
  private outstanding: { readonly at: Clock.Milliseconds, discard: boolean } | undefined
  /** A version whose text this node cannot parse; it is not fetched again. */
  private unusable = Ids.version(0)

  constructor (private readonly parse: Parsers.ParseConfiguration) {
    super()
    this.fold = new LogFolds.LogFold(this.accepted, parse)
  }

  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'tick': this.tick(turn); break
      case 'message-received': this.receive(event, turn); break
      case 'log-read': if (event.stream === 'configuration') this.readFinished(event, turn); break
      case 'log-unavailable': if (event.stream === 'configuration') this.readFailed(turn); break
      default: break
    }
  }

  private tick (turn: Controllers.Turn): void {
    const { configuration } = turn.board
    this.startedAt ??= turn.now
    if (turn.now - this.startedAt >= SETTLE_LIMIT) configuration.isInitialized = true
    this.exchange.tick(turn)
    const { readers, position } = this.readers.select(turn.board)
    configuration.logReaders = readers
    this.logStatus.tick(position !== undefined, readers[0] === turn.board.identity.node, turn)
    if (this.outstanding !== undefined && turn.now - this.outstanding.at >= READ_LIMIT) this.outstanding = undefined
    if (position === undefined || this.outstanding !== undefined || turn.now < this.readAt) return
    this.readAt = Clock.add(turn.now, READ_PERIOD)
    this.outstanding = { at: turn.now, discard: false }
    turn.emit({ kind: 'read-log', stream: 'configuration', from: this.fold.next })
  }

  private readFinished (event: Events.LogRead, turn: Controllers.Turn): void {
    const discard = this.outstanding?.discard ?? true
    this.outstanding = undefined
    this.logStatus.readSucceeded()
    if (discard) return
    for (const { offset, detail } of this.fold.read(event)) {
      turn.record({ controller: 'publication', decision: 'record-skipped', evidence: `offset ${offset}: ${detail}` })
    }
    if (this.fold.caughtUp) turn.board.configuration.isInitialized = true
    else this.readAt = turn.now
    const { accepted } = this.fold
    if (accepted !== undefined) this.adopt(accepted, 'log', turn)
    const { position } = this.readers.select(turn.board)
    if (position !== undefined) this.snapshots.consider(this.fold, event, position, turn)
  }

  private readFailed (turn: Controllers.Turn): void {
    this.outstanding = undefined
    this.logStatus.readFailed(turn.now)
  }

  private receive (event: Events.MessageReceived, turn: Controllers.Turn): void {
    const { message } = event
    if ('updates' in message) this.relayReports(message.updates, turn)
    if (!('configuration' in message)) return
    const { configuration } = turn.board
    if (message.configuration > configuration.current.version) this.hear(message.configuration, turn)
    switch (message.kind) {
      case 'configuration-request':
        this.exchange.serve(event, message, this.accepted, this.fold.preservedAt ?? Clock.milliseconds(0), turn); break
      case 'configuration-text': {
        const fetched = this.exchange.receive(message, turn)
        if (fetched !== undefined) this.take(fetched, turn)
        break
      }
      default: break
    }
    const newer = message.configuration > configuration.current.version && message.configuration > this.unusable
    if (newer) this.exchange.heard({ node: event.from, address: message.address, version: message.configuration }, turn)
  }

  private relayReports (updates: readonly MembershipMessages.Update[], turn: Controllers.Turn): void {
    for (const update of updates) {
      if (update.kind !== 'log' || !this.logStatus.receive(update, turn)) continue
      turn.raise({ kind: 'gossip-wanted', key: `log ${update.dataCenter}`, update, urgent: false })
    }
  }

  private hear (version: Ids.Version, turn: Controllers.Turn): void {
    const { configuration } = turn.board
    if (version > configuration.highestKnownVersion) configuration.highestKnownVersion = version
    configuration.newerVersionKnownSince ??= turn.now
  }

  /** Puts a peer's configuration in force when it is newer; for the same number the first one stays. */
  private take (fetched: Exchanges.Fetched, turn: Controllers.Turn): void {
    const { version, publication, text, offset, preservedAt } = fetched
    if (version <= turn.board.configuration.current.version) return
    const parsed = this.parse(text, version, publication)
    if (parsed.isErr()) {
      this.unusable = version
      turn.record({ controller: 'publication', decision: 'version-unusable', evidence: `version ${version}: ${Parsers.describe(parsed.error)}` })
      return
    }
    const accepted = { configuration: { ...parsed.value, version, publication }, text, offset }
    if (version > this.fold.version) {
      this.fold.reset(accepted, preservedAt)
      if (this.outstanding !== undefined) this.outstanding.discard = true
    }
    this.adopt(accepted, 'peer', turn)
  }

  private adopt (accepted: LogFolds.Accepted, source: string, turn: Controllers.Turn): void {
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
    this.exchange.adopted(version, accepted.text, turn)
    turn.raise({ kind: 'configuration-changed', configuration: accepted.configuration })
  }
}
