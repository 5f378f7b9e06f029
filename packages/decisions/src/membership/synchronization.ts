/**
 * Anti-entropy for one replicated table: a periodic push-pull exchange with a random peer. The peers compare the
 * digest of the table, then the digests of its buckets, then the versions in the differing buckets, and last send
 * each other the entries that are missing or older. Equal tables exchange only the first digest.
 */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as BucketDigests from './bucket-digests.js'
import type * as Messages from './message.js'
import type * as PeerSelectors from './peer-selector.js'
import * as Transport from './transport.js'

const PERIOD = Clock.seconds(10)
/** After its start a node synchronizes more often, since it missed updates that were sent before it was a known member. */
const STARTUP_DURATION = Clock.seconds(10)
const STARTUP_PERIOD = Clock.seconds(1)
/** Above this many versions, the remaining buckets are left to the next round. */
const VERSIONS_PER_ROUND = 400

/** Access to the data of one replicated table. */
export abstract class ReplicatedTable {
  abstract readonly table: Messages.Table
  /** Maximum number of entries in a message, which limits it to about 100 KB. */
  abstract readonly entriesPerMessage: number
  abstract version (key: Ids.NodeId): BucketDigests.Version | undefined
  abstract entry (key: Ids.NodeId, context: Controllers.StepContext): Messages.Update | undefined
  abstract merge (entry: Messages.Update, context: Controllers.StepContext): void
}

type Message<Kind extends Messages.MembershipMessage['kind']> = Extract<Messages.MembershipMessage, { readonly kind: Kind }>

function compareVersions (left: BucketDigests.Version, right: BucketDigests.Version): number {
  return left[0] - right[0] || left[1] - right[1] || left[2] - right[2]
}

export class Synchronization {
  readonly digests = new BucketDigests.BucketDigests()
  private nextRoundAt: Clock.Milliseconds | undefined
  private startupEndsAt: Clock.Milliseconds | undefined
  private isExpedited = false

  constructor (private readonly replicated: ReplicatedTable, private readonly peers: PeerSelectors.PeerSelector) {}

  /** Starts a round with the nearest peer at the next tick, for example after joining. */
  expedite (now: Clock.Milliseconds): void {
    this.nextRoundAt = now
    this.isExpedited = true
  }

  tick (context: Controllers.StepContext): void {
    this.startupEndsAt ??= Clock.add(context.now, STARTUP_DURATION)
    this.nextRoundAt ??= Clock.milliseconds(context.now + context.random.below(STARTUP_PERIOD))
    if (context.now < this.nextRoundAt) return
    const peer = this.isExpedited ? this.peers.pickNearest(context) : this.peers.sample(context, 1)[0]
    if (peer === undefined) return
    this.isExpedited = false
    const period = context.now < this.startupEndsAt ? STARTUP_PERIOD : Clock.milliseconds(PERIOD / 2 + context.random.below(PERIOD))
    this.nextRoundAt = Clock.add(context.now, period)
    Transport.sendDatagram(peer, { kind: 'sync-digest', ...Transport.header(context), table: this.replicated.table, digest: this.digests.tableDigest() }, context)
  }

  receive (event: Events.MessageReceived, message: Messages.MembershipMessage, context: Controllers.StepContext): void {
    if (!('table' in message) || message.table !== this.replicated.table) return
    const peer = { node: event.from, address: message.address }
    switch (message.kind) {
      case 'sync-digest': this.answerDigest(message, peer, context); break
      case 'sync-buckets': this.sendVersions(message, peer, context); break
      case 'sync-versions': this.answerVersions(message, peer, context); break
      case 'sync-entries': this.mergeEntries(message, peer, context); break
    }
  }

  private answerDigest (message: Message<'sync-digest'>, peer: Transport.Receiver, context: Controllers.StepContext): void {
    if (message.digest === this.digests.tableDigest()) return
    Transport.sendStream(peer, { kind: 'sync-buckets', ...Transport.header(context), table: this.replicated.table, digests: this.digests.encodedDigests() }, context)
  }

  private sendVersions (message: Message<'sync-buckets'>, peer: Transport.Receiver, context: Controllers.StepContext): void {
    const differing = this.digests.differingBuckets(message.digests)
    if (differing.length === 0) return
    const start = context.random.below(differing.length)
    const buckets: number[] = []
    const versions: [Ids.NodeId, number, number, number][] = []
    for (const bucket of [...differing.slice(start), ...differing.slice(0, start)]) {
      if (versions.length >= VERSIONS_PER_ROUND) {
        this.expedite(context.now)
        break
      }
      buckets.push(bucket)
      for (const key of this.digests.keysIn(bucket)) {
        const version = this.replicated.version(key)
        if (version !== undefined) versions.push([key, ...version])
      }
    }
    Transport.sendStream(peer, { kind: 'sync-versions', ...Transport.header(context), table: this.replicated.table, buckets, versions }, context)
  }

  private answerVersions (message: Message<'sync-versions'>, peer: Transport.Receiver, context: Controllers.StepContext): void {
    const peerVersions = new Map<Ids.NodeId, BucketDigests.Version>(message.versions.map(([key, ...version]) => [key, version]))
    const newer: Ids.NodeId[] = []
    const wanted: Ids.NodeId[] = []
    for (const key of message.buckets.flatMap(bucket => this.digests.keysIn(bucket))) {
      const own = this.replicated.version(key)
      const other = peerVersions.get(key)
      peerVersions.delete(key)
      if (own === undefined) continue
      const order = other === undefined ? 1 : compareVersions(own, other)
      if (order > 0) newer.push(key)
      if (order < 0) wanted.push(key)
    }
    wanted.push(...peerVersions.keys())
    this.sendEntries(newer, wanted, peer, context)
  }

  private mergeEntries (message: Message<'sync-entries'>, peer: Transport.Receiver, context: Controllers.StepContext): void {
    for (const entry of message.entries) this.replicated.merge(entry, context)
    if (message.more) this.expedite(context.now)
    if (message.wanted.length > 0) this.sendEntries(message.wanted, [], peer, context)
  }

  private sendEntries (keys: readonly Ids.NodeId[], wanted: Ids.NodeId[], peer: Transport.Receiver, context: Controllers.StepContext): void {
    if (keys.length === 0 && wanted.length === 0) return
    const limit = this.replicated.entriesPerMessage
    const entries = keys.slice(0, limit).flatMap(key => this.replicated.entry(key, context) ?? [])
    const more = keys.length > limit
    const message = { kind: 'sync-entries', ...Transport.header(context), table: this.replicated.table, entries, wanted, more } as const
    Transport.sendStream(peer, message, context)
  }
}
