/** Exchange of configurations between nodes: pushes version numbers, fetches texts from peers and answers their requests. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'
import * as BroadcastQueues from '../membership/broadcast-queue.js'
import type * as PeerSelectors from '../membership/peer-selector.js'
import * as Transport from '../membership/transport.js'
import type * as LogReplays from './log-replay.js'
import type * as Messages from './message.js'
import * as Patches from './patch.js'

const PUSHES_PER_TICK = 3
/** Exceeds a round trip between regions, but is short compared to the 4 s in which a version must be in force. */
const FETCH_TIMEOUT = Clock.milliseconds(300)
const SOURCES_MAXIMUM = 8
/** Texts kept as bases of patches. */
const KNOWN_TEXTS_MAXIMUM = 16
const KNOWN_TEXTS_CHARACTERS_MAXIMUM = 2_000_000

/** A peer that has reported a version newer than the one in force here. */
interface Source extends Transport.Receiver { readonly version: Ids.Version }
interface KnownText { readonly text: string, readonly digest: string }

export interface FetchedConfiguration {
  readonly version: Ids.Version
  readonly publication: string
  readonly text: string
  /** Log offset after which later versions are found. */
  readonly offset: number
  /** Log time of a record known to hold the version, or an earlier time. */
  readonly preservedAt: Clock.Milliseconds
}

export class ConfigurationExchange {
  private pushesLeft = 0
  private readonly sources = new Map<Ids.NodeId, Source>()
  private readonly knownTexts = new Map<Ids.Version, KnownText>()
  private pendingRequest: { readonly node: Ids.NodeId, readonly sentAt: Clock.Milliseconds } | undefined
  /** The text of the last answer did not match its digest, so the whole text is requested. */
  private isPatchDisabled = false

  constructor (private readonly peers: PeerSelectors.PeerSelector) {}

  tick (context: Controllers.StepContext): void {
    const isOverdue = this.pendingRequest !== undefined && context.now - this.pendingRequest.sentAt >= FETCH_TIMEOUT
    if (isOverdue) this.fetchFromAnotherPeer(context)
    for (let sent = 0; sent < PUSHES_PER_TICK && this.pushesLeft > 0; sent += 1) {
      const peer = this.peers.pickGossipReceiver(context)
      if (peer === undefined) return
      this.pushesLeft -= 1
      Transport.sendDatagram(peer, { kind: 'configuration-version', ...Transport.header(context) }, context)
    }
  }

  /** Records that a peer has a newer version, and fetches it unless a request is pending. */
  addSource (source: Source, context: Controllers.StepContext): void {
    this.sources.delete(source.node)
    this.sources.set(source.node, source)
    for (const node of this.sources.keys()) {
      if (this.sources.size <= SOURCES_MAXIMUM) break
      this.sources.delete(node)
    }
    if (this.pendingRequest === undefined) this.sendRequest(source, context)
  }

  /** Called when a newer version is in force here: starts to push its number and drops sources that have no newer one. */
  handleAdoption (version: Ids.Version, text: string, context: Controllers.StepContext): void {
    this.knownTexts.set(version, { text, digest: Rendezvous.digest(text) })
    let characters = [...this.knownTexts.values()].reduce((sum, kept) => sum + kept.text.length, 0)
    for (const [keptVersion, { text: { length } }] of this.knownTexts) {
      if (keptVersion === version || (this.knownTexts.size <= KNOWN_TEXTS_MAXIMUM && characters <= KNOWN_TEXTS_CHARACTERS_MAXIMUM)) break
      this.knownTexts.delete(keptVersion)
      characters -= length
    }
    for (const [node, source] of this.sources) if (source.version <= version) this.sources.delete(node)
    this.isPatchDisabled = false
    this.pendingRequest = undefined
    this.pushesLeft = BroadcastQueues.transmissionLimit(this.peers.count(context))
    if (this.sources.size > 0) this.fetchFromAnotherPeer(context)
  }

  /** Answers a request with the version in force here, as a patch when the requester's text is among those kept here. */
  answerRequest (event: Events.MessageReceived, request: Messages.PublicationMessage & { kind: 'configuration-request' }, accepted: LogReplays.AcceptedVersion, preservedAt: Clock.Milliseconds, context: Controllers.StepContext): void {
    const { version, publication } = accepted.configuration
    if (request.configuration >= version) return
    const base = this.knownTexts.get(request.configuration)
    const content = base !== undefined && base.digest === request.digest
      ? { kind: 'patch', base: request.configuration, ...Patches.create(base.text, accepted.text) } as const
      : { kind: 'whole', text: accepted.text } as const
    const digest = this.knownTexts.get(version)?.digest ?? Rendezvous.digest(accepted.text)
    const answer = { kind: 'configuration-text', ...Transport.header(context), publication, offset: accepted.offset, preservedAt, digest, content } as const
    Transport.sendStream({ node: event.from, address: request.address }, answer, context)
  }

  /** Returns the configuration in a peer's answer; undefined when the text does not match its digest. */
  decodeAnswer (message: Messages.ConfigurationText, context: Controllers.StepContext): FetchedConfiguration | undefined {
    const { configuration: version, publication, offset, preservedAt, digest, content } = message
    const text = Patches.resolve(content, context.board.configuration.text)
    if (Rendezvous.digest(text) !== digest) {
      this.isPatchDisabled = true
      this.fetchFromAnotherPeer(context)
      return undefined
    }
    return { version, publication, text, offset, preservedAt: Clock.milliseconds(preservedAt) }
  }

  private fetchFromAnotherPeer (context: Controllers.StepContext): void {
    const { current, highestKnownVersion } = context.board.configuration
    const failed = this.pendingRequest?.node
    this.pendingRequest = undefined
    if (highestKnownVersion <= current.version) return
    const sources = [...this.sources.values()].filter(source => source.node !== failed && source.version > current.version)
    const next = context.random.pick(sources) ?? this.peers.sample(context, 1, failed)[0]
    if (next !== undefined) this.sendRequest(next, context)
  }

  private sendRequest (peer: Transport.Receiver, context: Controllers.StepContext): void {
    const { current, text } = context.board.configuration
    this.pendingRequest = { node: peer.node, sentAt: context.now }
    const digest = this.isPatchDisabled ? '' : this.knownTexts.get(current.version)?.digest ?? Rendezvous.digest(text)
    Transport.sendStream(peer, { kind: 'configuration-request', ...Transport.header(context), digest }, context)
  }
}
