/** Probes one member per second, directly and then through others. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Members from './members.js'
import type * as Messages from './message.js'
import type * as Peers from './peers.js'
import * as Post from './post.js'

const PROBE_PERIOD = Clock.seconds(1)
/** Longer than a round trip between regions (16 ms) plus a tick on both sides. */
const DIRECT_TIMEOUT = Clock.milliseconds(300)
const PROBE_TIMEOUT = Clock.seconds(1)
const INDIRECT_HELPERS = 3
/** Helpers for probes beside the periodic one; many of these may be under way at once. */
const EXTRA_HELPERS = 1
/** Direct probes in a row that must fail before a member counts as unanswered; with 5 % loss, 1 in 1,000 does so by chance. */
const UNANSWERED_FAILURES = 3
/** Unanswered members that are probed again each second. */
const RETRIES_LIMIT = 2
const SEQUENCE_LIMIT = 0x3fffffff

interface Probe {
  readonly node: Ids.NodeId
  readonly address: Ids.Endpoint
  readonly sentAt: Clock.Milliseconds
  readonly helpers: number
  indirect: boolean
}

interface Relay {
  readonly origin: Post.Receiver
  readonly sequence: number
  readonly node: Ids.NodeId
  readonly at: Clock.Milliseconds
}

interface Unanswered { readonly since: Clock.Milliseconds, failures: number }

export class FailureDetector {
  private ring: Ids.NodeId[] = []
  private nextAt: Clock.Milliseconds | undefined
  private sequence: number | undefined
  private readonly probes = new Map<number, Probe>()
  private readonly relays = new Map<number, Relay>()
  private readonly unanswered = new Map<Ids.NodeId, Unanswered>()
  private readonly changed = new Set<Ids.NodeId>()

  constructor (
    private readonly peers: Peers.Peers,
    private readonly updatesFor: (node: Ids.NodeId, piggyback: boolean, turn: Controllers.Turn) => Messages.Update[]
  ) {}

  /** Sends what is due and returns the members whose probe failed. */
  tick (turn: Controllers.Turn): Ids.NodeId[] {
    const failed = this.expire(turn)
    this.nextAt ??= Clock.milliseconds(turn.now + turn.random.below(PROBE_PERIOD))
    if (turn.now < this.nextAt) return failed
    this.nextAt = Clock.add(this.nextAt, PROBE_PERIOD)
    const next = this.nextInRing(turn)
    if (next !== undefined) this.probe(next, turn, INDIRECT_HELPERS)
    for (const node of [...this.unanswered.keys()].slice(0, RETRIES_LIMIT)) {
      const member = turn.board.members.get(node)
      if (member === undefined || !Members.isUsable(member)) this.unanswered.delete(node)
      else if (node !== next?.node) this.probe(member, turn)
    }
    return failed
  }

  /** Since when direct probes of the member go unanswered while indirect ones are answered. */
  unansweredSince (node: Ids.NodeId): Clock.Milliseconds | undefined {
    const entry = this.unanswered.get(node)
    return entry !== undefined && entry.failures >= UNANSWERED_FAILURES ? entry.since : undefined
  }

  /** Members for which `unansweredSince` may have changed since the last call. */
  takeChanged (): Ids.NodeId[] {
    const nodes = [...this.changed]
    this.changed.clear()
    return nodes
  }

  /** Starts a probe outside the period. */
  probe (member: Pick<Members.Member, 'node' | 'address'>, turn: Controllers.Turn, helpers = EXTRA_HELPERS): void {
    const sequence = this.freshSequence(turn)
    this.probes.set(sequence, { node: member.node, address: member.address, sentAt: turn.now, helpers, indirect: false })
    this.ping(member, sequence, helpers === INDIRECT_HELPERS, turn)
  }

  /** Handles the answer to a probe of this node or of one that it relays; returns the member that has answered this node. */
  acknowledge (event: Events.MessageReceived, message: Messages.Ack, turn: Controllers.Turn): Ids.NodeId | undefined {
    if (message.node === undefined && this.unanswered.delete(event.from)) this.changed.add(event.from)
    const relay = this.relays.get(message.sequence)
    if (relay !== undefined && relay.node === event.from) {
      this.relays.delete(message.sequence)
      Post.datagram(relay.origin, { kind: 'ack', ...Post.header(turn), sequence: relay.sequence, node: relay.node, updates: [] }, turn)
    }
    const probe = this.probes.get(message.sequence)
    if (probe?.node !== (message.node ?? event.from)) return undefined
    this.probes.delete(message.sequence)
    return probe.node
  }

  /** Probes a member for another node. */
  relay (event: Events.MessageReceived, message: Messages.PingRequest, turn: Controllers.Turn): void {
    const sequence = this.freshSequence(turn)
    const origin = { node: event.from, address: message.address }
    this.relays.set(sequence, { origin, sequence: message.sequence, node: message.node, at: turn.now })
    this.ping({ node: message.node, address: message.target }, sequence, false, turn)
  }

  /** Only periodic probes piggyback updates; the others mostly go to members that do not answer, where copies would be wasted. */
  private ping (to: Post.Receiver, sequence: number, piggyback: boolean, turn: Controllers.Turn): void {
    const updates = this.updatesFor(to.node, piggyback, turn)
    Post.datagram(to, { kind: 'ping', ...Post.header(turn), sequence, updates }, turn)
  }

  private expire (turn: Controllers.Turn): Ids.NodeId[] {
    const failed: Ids.NodeId[] = []
    for (const [sequence, probe] of this.probes) {
      const age = turn.now - probe.sentAt
      if (age >= DIRECT_TIMEOUT && !probe.indirect) this.askOthers(sequence, probe, turn)
      if (age < PROBE_TIMEOUT) continue
      this.probes.delete(sequence)
      failed.push(probe.node)
    }
    for (const [sequence, relay] of this.relays) {
      if (turn.now - relay.at >= PROBE_TIMEOUT) this.relays.delete(sequence)
    }
    return failed
  }

  private askOthers (sequence: number, probe: Probe, turn: Controllers.Turn): void {
    probe.indirect = true
    const known = this.unanswered.get(probe.node)
    this.unanswered.set(probe.node, { since: known?.since ?? probe.sentAt, failures: (known?.failures ?? 0) + 1 })
    this.changed.add(probe.node)
    for (const helper of this.peers.sample(turn, probe.helpers, probe.node)) {
      const request = { kind: 'ping-request', ...Post.header(turn), sequence, node: probe.node, target: probe.address } as const
      Post.datagram(helper, request, turn)
    }
  }

  /** Members in a random order that is drawn anew when all had their turn, which bounds the time between probes of one. */
  private nextInRing (turn: Controllers.Turn): Members.Member | undefined {
    const { members, identity } = turn.board
    for (let refilled = false; ;) {
      const member = members.get(this.ring.pop() ?? identity.node)
      if (member !== undefined && member.node !== identity.node && Members.isUsable(member)) return member
      if (this.ring.length > 0) continue
      if (refilled) return undefined
      refilled = true
      this.ring = shuffled(members.usable().map(usable => usable.node), turn)
    }
  }

  private freshSequence (turn: Controllers.Turn): number {
    this.sequence = this.sequence === undefined ? turn.random.below(SEQUENCE_LIMIT) : this.sequence + 1
    return this.sequence
  }
}

function shuffled (nodes: Ids.NodeId[], turn: Controllers.Turn): Ids.NodeId[] {
  for (let index = nodes.length - 1; index > 0; index -= 1) {
    const other = turn.random.below(index + 1)
    const held = nodes[index] as Ids.NodeId
    nodes[index] = nodes[other] as Ids.NodeId
    nodes[other] = held
  }
  return nodes
}
