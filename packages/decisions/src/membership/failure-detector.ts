/**
 * SWIM failure detector. Pings one member per second; when it does not answer, other members are asked to ping it
 * (indirect probes), which tells a failed member from a broken path.
 */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Members from './members.js'
import type * as Messages from './message.js'
import type * as PeerSelectors from './peer-selector.js'
import * as Transport from './transport.js'

const PROBE_PERIOD = Clock.seconds(1)
/** Exceeds a round trip between regions (16 ms) plus one tick on each side. */
const DIRECT_PROBE_TIMEOUT = Clock.milliseconds(300)
const PROBE_TIMEOUT = Clock.seconds(1)
const PERIODIC_PROBE_RELAYS = 3
/** Relays for probes outside of the period; fewer, since many of these probes may be pending at once. */
const EXTRA_PROBE_RELAYS = 1
/** Consecutive failures of direct probes before a member counts as not answering; at 5 % message loss, 1 in 1,000 fails them by chance. */
const UNANSWERED_FAILURES_MINIMUM = 3
/** Members with unanswered direct probes that are probed again in each period. */
const UNANSWERED_RETRIES_PER_PERIOD = 2
const INITIAL_SEQUENCE_LIMIT = 0x3fffffff

interface Probe {
  readonly node: Ids.NodeId
  readonly address: Ids.Endpoint
  readonly sentAt: Clock.Milliseconds
  /** Members to ask for indirect probes. */
  readonly relayCount: number
  /** Indirect probes have been requested. */
  isIndirect: boolean
}

/** A probe that this node sends for another one. */
interface RelayedProbe {
  readonly requester: Transport.Receiver
  readonly requesterSequence: number
  readonly node: Ids.NodeId
  readonly sentAt: Clock.Milliseconds
}

/** Consecutive direct probes of a member that were not answered in time. */
interface UnansweredProbes { readonly since: Clock.Milliseconds, failures: number }

export class FailureDetector {
  /** Members still to be probed in the current round, in random order. */
  private probeOrder: Ids.NodeId[] = []
  private nextProbeAt: Clock.Milliseconds | undefined
  private sequence: number | undefined
  private readonly probes = new Map<number, Probe>()
  private readonly relayedProbes = new Map<number, RelayedProbe>()
  private readonly unanswered = new Map<Ids.NodeId, UnansweredProbes>()
  private readonly changedNodes = new Set<Ids.NodeId>()

  constructor (
    private readonly peers: PeerSelectors.PeerSelector,
    private readonly updatesFor: (node: Ids.NodeId, mayPiggyback: boolean, context: Controllers.StepContext) => Messages.Update[]
  ) {}

  /** Sends the probes that are due; returns the members that answered neither the direct nor the indirect probe. */
  tick (context: Controllers.StepContext): Ids.NodeId[] {
    const failed = this.expireProbes(context)
    this.nextProbeAt ??= Clock.milliseconds(context.now + context.random.below(PROBE_PERIOD))
    if (context.now < this.nextProbeAt) return failed
    this.nextProbeAt = Clock.add(this.nextProbeAt, PROBE_PERIOD)
    const next = this.nextMemberToProbe(context)
    if (next !== undefined) this.probe(next, context, PERIODIC_PROBE_RELAYS)
    for (const node of [...this.unanswered.keys()].slice(0, UNANSWERED_RETRIES_PER_PERIOD)) {
      const member = context.board.members.get(node)
      if (member === undefined || !Members.isUsable(member)) this.unanswered.delete(node)
      else if (node !== next?.node) this.probe(member, context)
    }
    return failed
  }

  /** Time of the first of the consecutive unanswered direct probes; undefined below the minimum of failures. */
  unansweredSince (node: Ids.NodeId): Clock.Milliseconds | undefined {
    const entry = this.unanswered.get(node)
    return entry !== undefined && entry.failures >= UNANSWERED_FAILURES_MINIMUM ? entry.since : undefined
  }

  /** Returns and clears the members for which `unansweredSince` may have changed since the last call. */
  takeChangedNodes (): Ids.NodeId[] {
    const nodes = [...this.changedNodes]
    this.changedNodes.clear()
    return nodes
  }

  /** Probes a member, by default outside of the period. */
  probe (member: Pick<Members.Member, 'node' | 'address'>, context: Controllers.StepContext, relayCount = EXTRA_PROBE_RELAYS): void {
    const sequence = this.nextSequence(context)
    this.probes.set(sequence, { node: member.node, address: member.address, sentAt: context.now, relayCount, isIndirect: false })
    this.sendPing(member, sequence, relayCount === PERIODIC_PROBE_RELAYS, context)
  }

  /** Handles the answer to a direct, indirect or relayed probe; returns the member whose probe by this node succeeded. */
  handleAck (event: Events.MessageReceived, message: Messages.Ack, context: Controllers.StepContext): Ids.NodeId | undefined {
    if (message.node === undefined && this.unanswered.delete(event.from)) this.changedNodes.add(event.from)
    const relayed = this.relayedProbes.get(message.sequence)
    if (relayed !== undefined && relayed.node === event.from) {
      this.relayedProbes.delete(message.sequence)
      Transport.sendDatagram(relayed.requester, { kind: 'ack', ...Transport.header(context), sequence: relayed.requesterSequence, node: relayed.node, updates: [] }, context)
    }
    const probe = this.probes.get(message.sequence)
    if (probe?.node !== (message.node ?? event.from)) return undefined
    this.probes.delete(message.sequence)
    return probe.node
  }

  /** Probes a member on behalf of another node. */
  relayProbe (event: Events.MessageReceived, message: Messages.PingRequest, context: Controllers.StepContext): void {
    const sequence = this.nextSequence(context)
    const requester = { node: event.from, address: message.address }
    this.relayedProbes.set(sequence, { requester, requesterSequence: message.sequence, node: message.node, sentAt: context.now })
    this.sendPing({ node: message.node, address: message.target }, sequence, false, context)
  }

  /** Only periodic probes piggyback updates. Other probes mostly go to members that do not answer, which would waste transmissions. */
  private sendPing (to: Transport.Receiver, sequence: number, mayPiggyback: boolean, context: Controllers.StepContext): void {
    const updates = this.updatesFor(to.node, mayPiggyback, context)
    Transport.sendDatagram(to, { kind: 'ping', ...Transport.header(context), sequence, updates }, context)
  }

  private expireProbes (context: Controllers.StepContext): Ids.NodeId[] {
    const failed: Ids.NodeId[] = []
    for (const [sequence, probe] of this.probes) {
      const elapsed = context.now - probe.sentAt
      if (elapsed >= DIRECT_PROBE_TIMEOUT && !probe.isIndirect) this.requestIndirectProbes(sequence, probe, context)
      if (elapsed < PROBE_TIMEOUT) continue
      this.probes.delete(sequence)
      failed.push(probe.node)
    }
    for (const [sequence, relayed] of this.relayedProbes) {
      if (context.now - relayed.sentAt >= PROBE_TIMEOUT) this.relayedProbes.delete(sequence)
    }
    return failed
  }

  private requestIndirectProbes (sequence: number, probe: Probe, context: Controllers.StepContext): void {
    probe.isIndirect = true
    const known = this.unanswered.get(probe.node)
    this.unanswered.set(probe.node, { since: known?.since ?? probe.sentAt, failures: (known?.failures ?? 0) + 1 })
    this.changedNodes.add(probe.node)
    for (const relay of this.peers.sample(context, probe.relayCount, probe.node)) {
      const request = { kind: 'ping-request', ...Transport.header(context), sequence, node: probe.node, target: probe.address } as const
      Transport.sendDatagram(relay, request, context)
    }
  }

  /** Round-robin over the members, shuffled for each round, which bounds the time between two probes of a member. */
  private nextMemberToProbe (context: Controllers.StepContext): Members.Member | undefined {
    const { members, identity } = context.board
    for (let hasRefilled = false; ;) {
      const member = members.get(this.probeOrder.pop() ?? identity.node)
      if (member !== undefined && member.node !== identity.node && Members.isUsable(member)) return member
      if (this.probeOrder.length > 0) continue
      if (hasRefilled) return undefined
      hasRefilled = true
      this.probeOrder = shuffle(members.usable().map(usable => usable.node), context)
    }
  }

  private nextSequence (context: Controllers.StepContext): number {
    this.sequence = this.sequence === undefined ? context.random.below(INITIAL_SEQUENCE_LIMIT) : this.sequence + 1
    return this.sequence
  }
}

/** Fisher-Yates shuffle in place. */
function shuffle (nodes: Ids.NodeId[], context: Controllers.StepContext): Ids.NodeId[] {
  for (let index = nodes.length - 1; index > 0; index -= 1) {
    const other = context.random.below(index + 1)
    const swapped = nodes[index] as Ids.NodeId
    nodes[index] = nodes[other] as Ids.NodeId
    nodes[other] = swapped
  }
  return nodes
}
