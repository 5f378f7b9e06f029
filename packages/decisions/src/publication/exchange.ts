/** Configuration between nodes: pushing version numbers, fetching texts from peers, and serving them. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'
import * as Broadcasts from '../membership/broadcasts.js'
import type * as Peers from '../membership/peers.js'
import * as Post from '../membership/post.js'
import type * as LogFolds from './log-fold.js'
import type * as Messages from './message.js'
import * as Patches from './patch.js'

const PUSHES_PER_TICK = 3
/** Longer than a round trip between regions, short against the 4 s in which a version must be in force. */
const FETCH_TIMEOUT = Clock.milliseconds(300)
const SOURCES_LIMIT = 8
/** Earlier texts that can serve as the base of a patch. */
const TEXTS_LIMIT = 16
const TEXTS_CHARACTERS = 2_000_000

interface Source extends Post.Receiver { readonly version: Ids.Version }
interface Text { readonly text: string, readonly digest: string }

export interface Fetched {
  readonly version: Ids.Version
  readonly publication: string
  readonly text: string
  readonly offset: number
  readonly preservedAt: Clock.Milliseconds
}

export class Exchange {
  private pushesLeft = 0
  private readonly sources = new Map<Ids.NodeId, Source>()
  private readonly texts = new Map<Ids.Version, Text>()
  private asked: { readonly node: Ids.NodeId, readonly at: Clock.Milliseconds } | undefined
  /** The last answer's digest did not match, so no patch is asked for. */
  private whole = false

  constructor (private readonly peers: Peers.Peers) {}

  tick (turn: Controllers.Turn): void {
    const overdue = this.asked !== undefined && turn.now - this.asked.at >= FETCH_TIMEOUT
    if (overdue) this.retry(turn)
    for (let sent = 0; sent < PUSHES_PER_TICK && this.pushesLeft > 0; sent += 1) {
      const peer = this.peers.gossip(turn)
      if (peer === undefined) return
      this.pushesLeft -= 1
      Post.datagram(peer, { kind: 'configuration-version', ...Post.header(turn) }, turn)
    }
  }

  /** Notes that a peer has a newer version and fetches it unless a fetch is under way. */
  heard (source: Source, turn: Controllers.Turn): void {
    this.sources.delete(source.node)
    this.sources.set(source.node, source)
    for (const node of this.sources.keys()) {
      if (this.sources.size <= SOURCES_LIMIT) break
      this.sources.delete(node)
    }
    if (this.asked === undefined) this.ask(source, turn)
  }

  /** A newer version is in force here: push its number, and stop fetching what is older. */
  adopted (version: Ids.Version, text: string, turn: Controllers.Turn): void {
    this.texts.set(version, { text, digest: Rendezvous.digest(text) })
    let characters = [...this.texts.values()].reduce((sum, kept) => sum + kept.text.length, 0)
    for (const [kept, { text: { length } }] of this.texts) {
      if (kept === version || (this.texts.size <= TEXTS_LIMIT && characters <= TEXTS_CHARACTERS)) break
      this.texts.delete(kept)
      characters -= length
    }
    for (const [node, source] of this.sources) if (source.version <= version) this.sources.delete(node)
    this.whole = false
    this.asked = undefined
    this.pushesLeft = Broadcasts.transmissions(this.peers.count(turn))
    if (this.sources.size > 0) this.retry(turn)
  }

  /** Answers a request with the version in force here, as a patch when the requester has a text known here. */
  serve (event: Events.MessageReceived, request: Messages.PublicationMessage & { kind: 'configuration-request' }, accepted: LogFolds.Accepted, preservedAt: Clock.Milliseconds, turn: Controllers.Turn): void {
    const { version, publication } = accepted.configuration
    if (request.configuration >= version) return
    const base = this.texts.get(request.configuration)
    const content = base !== undefined && base.digest === request.digest
      ? { kind: 'patch', base: request.configuration, ...Patches.difference(base.text, accepted.text) } as const
      : { kind: 'whole', text: accepted.text } as const
    const digest = this.texts.get(version)?.digest ?? Rendezvous.digest(accepted.text)
    const answer = { kind: 'configuration-text', ...Post.header(turn), publication, offset: accepted.offset, preservedAt, digest, content } as const
    Post.stream({ node: event.from, address: request.address }, answer, turn)
  }

  /** The configuration in a peer's answer; undefined when it does not match its digest. */
  receive (message: Messages.ConfigurationText, turn: Controllers.Turn): Fetched | undefined {
    const { configuration: version, publication, offset, preservedAt, digest, content } = message
    const text = Patches.resolve(content, turn.board.configuration.text)
    if (Rendezvous.digest(text) !== digest) {
      this.whole = true
      this.retry(turn)
      return undefined
    }
    return { version, publication, text, offset, preservedAt: Clock.milliseconds(preservedAt) }
  }

  private retry (turn: Controllers.Turn): void {
    const { current, highestKnownVersion: highestHeard } = turn.board.configuration
    const failed = this.asked?.node
    this.asked = undefined
    if (highestHeard <= current.version) return
    const sources = [...this.sources.values()].filter(source => source.node !== failed && source.version > current.version)
    const next = turn.random.pick(sources) ?? this.peers.sample(turn, 1, failed)[0]
    if (next !== undefined) this.ask(next, turn)
  }

  private ask (peer: Post.Receiver, turn: Controllers.Turn): void {
    const { current, text } = turn.board.configuration
    this.asked = { node: peer.node, at: turn.now }
    const digest = this.whole ? '' : this.texts.get(current.version)?.digest ?? Rendezvous.digest(text)
    Post.stream(peer, { kind: 'configuration-request', ...Post.header(turn), digest }, turn)
  }
}
