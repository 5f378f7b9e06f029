/**
 * Periodic full synchronization of one table with a random peer: digest, bucket digests, versions of
 * the differing buckets, then the entries either side lacks. Only the digest is sent when they agree.
 */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Buckets from './buckets.js'
import type * as Messages from './message.js'
import type * as Peers from './peers.js'
import * as Post from './post.js'

const PERIOD = Clock.seconds(10)
/** A node that has just started misses what was spread before the others knew it, so it synchronizes more often. */
const SETTLING = Clock.seconds(10)
const SETTLING_PERIOD = Clock.seconds(1)
/** Versions offered in one round; the rest follows in the next. */
const VERSIONS_LIMIT = 400

/** The replicated data of one table. */
export abstract class Replica {
  abstract readonly table: Messages.Table
  /** Entries in one message, which bounds its size to about 100 KB. */
  abstract readonly entriesLimit: number
  abstract version (key: Ids.NodeId): Buckets.Version | undefined
  abstract entry (key: Ids.NodeId, turn: Controllers.Turn): Messages.Update | undefined
  abstract merge (entry: Messages.Update, turn: Controllers.Turn): void
}

type Message<Kind extends Messages.MembershipMessage['kind']> = Extract<Messages.MembershipMessage, { readonly kind: Kind }>

function compare (left: Buckets.Version, right: Buckets.Version): number {
  return left[0] - right[0] || left[1] - right[1] || left[2] - right[2]
}

export class Synchronization {
  readonly buckets = new Buckets.Buckets()
  private nextAt: Clock.Milliseconds | undefined
  private settledAt: Clock.Milliseconds | undefined
  private hurried = false

  constructor (private readonly replica: Replica, private readonly peers: Peers.Peers) {}

  /** Starts a round at the next tick, for example after joining. */
  hasten (now: Clock.Milliseconds): void {
    this.nextAt = now
    this.hurried = true
  }

  tick (turn: Controllers.Turn): void {
    this.settledAt ??= Clock.add(turn.now, SETTLING)
    this.nextAt ??= Clock.milliseconds(turn.now + turn.random.below(SETTLING_PERIOD))
    if (turn.now < this.nextAt) return
    const peer = this.hurried ? this.peers.nearest(turn) : this.peers.sample(turn, 1)[0]
    if (peer === undefined) return
    this.hurried = false
    const period = turn.now < this.settledAt ? SETTLING_PERIOD : Clock.milliseconds(PERIOD / 2 + turn.random.below(PERIOD))
    this.nextAt = Clock.add(turn.now, period)
    Post.datagram(peer, { kind: 'sync-digest', ...Post.header(turn), table: this.replica.table, digest: this.buckets.digest() }, turn)
  }

  receive (event: Events.MessageReceived, message: Messages.MembershipMessage, turn: Controllers.Turn): void {
    if (!('table' in message) || message.table !== this.replica.table) return
    const peer = { node: event.from, address: message.address }
    switch (message.kind) {
      case 'sync-digest': this.answerDigest(message, peer, turn); break
      case 'sync-buckets': this.offer(message, peer, turn); break
      case 'sync-versions': this.answerVersions(message, peer, turn); break
      case 'sync-entries': this.take(message, peer, turn); break
    }
  }

  private answerDigest (message: Message<'sync-digest'>, peer: Post.Receiver, turn: Controllers.Turn): void {
    if (message.digest === this.buckets.digest()) return
    Post.stream(peer, { kind: 'sync-buckets', ...Post.header(turn), table: this.replica.table, digests: this.buckets.text() }, turn)
  }

  private offer (message: Message<'sync-buckets'>, peer: Post.Receiver, turn: Controllers.Turn): void {
    const differing = this.buckets.differing(message.digests)
    if (differing.length === 0) return
    const start = turn.random.below(differing.length)
    const buckets: number[] = []
    const versions: [Ids.NodeId, number, number, number][] = []
    for (const bucket of [...differing.slice(start), ...differing.slice(0, start)]) {
      if (versions.length >= VERSIONS_LIMIT) {
        this.hasten(turn.now)
        break
      }
      buckets.push(bucket)
      for (const key of this.buckets.keysOf(bucket)) {
        const version = this.replica.version(key)
        if (version !== undefined) versions.push([key, ...version])
      }
    }
    Post.stream(peer, { kind: 'sync-versions', ...Post.header(turn), table: this.replica.table, buckets, versions }, turn)
  }

  private answerVersions (message: Message<'sync-versions'>, peer: Post.Receiver, turn: Controllers.Turn): void {
    const theirs = new Map<Ids.NodeId, Buckets.Version>(message.versions.map(([key, ...version]) => [key, version]))
    const newer: Ids.NodeId[] = []
    const wanted: Ids.NodeId[] = []
    for (const key of message.buckets.flatMap(bucket => this.buckets.keysOf(bucket))) {
      const own = this.replica.version(key)
      const other = theirs.get(key)
      theirs.delete(key)
      if (own === undefined) continue
      const order = other === undefined ? 1 : compare(own, other)
      if (order > 0) newer.push(key)
      if (order < 0) wanted.push(key)
    }
    wanted.push(...theirs.keys())
    this.send(newer, wanted, peer, turn)
  }

  private take (message: Message<'sync-entries'>, peer: Post.Receiver, turn: Controllers.Turn): void {
    for (const entry of message.entries) this.replica.merge(entry, turn)
    if (message.more) this.hasten(turn.now)
    if (message.wanted.length > 0) this.send(message.wanted, [], peer, turn)
  }

  private send (keys: readonly Ids.NodeId[], wanted: Ids.NodeId[], peer: Post.Receiver, turn: Controllers.Turn): void {
    if (keys.length === 0 && wanted.length === 0) return
    const limit = this.replica.entriesLimit
    const entries = keys.slice(0, limit).flatMap(key => this.replica.entry(key, turn) ?? [])
    const more = keys.length > limit
    const message = { kind: 'sync-entries', ...Post.header(turn), table: this.replica.table, entries, wanted, more } as const
    Post.stream(peer, message, turn)
  }
}
