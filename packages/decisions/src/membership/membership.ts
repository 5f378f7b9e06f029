/**
 * Controller of fleet membership: SWIM failure detection with suspicion and refutation, updates piggybacked on its
 * messages and gossiped, and anti-entropy for the nodes that gossip misses.
 */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as BroadcastQueues from './broadcast-queue.js'
import * as FailureDetectors from './failure-detector.js'
import * as MemberTables from './member-table.js'
import type * as Messages from './message.js'
import * as PeerSelectors from './peer-selector.js'
import * as Transport from './transport.js'
import * as JoinProtocols from './join-protocol.js'
import * as MembersSection from './members-section.js'
import * as DataCenterMonitors from './data-center-monitor.js'
import * as Synchronizations from './synchronization.js'

/** Time in which a suspected member can refute the suspicion before it is declared dead. */
const SUSPICION_TIMEOUT = Clock.seconds(3)
/** Time before the end of a suspicion at which this node probes the member once more, in case the refutation was lost. */
const FINAL_PROBE_LEAD = Clock.seconds(1)
/** Receivers of gossip per tick while updates are queued. */
const GOSSIP_FANOUT = 2
/** Receivers of the first copies of an urgent update. */
const URGENT_FANOUT = 4
const SWEEP_PERIOD = Clock.seconds(1)
/** After this long without any message a node suspects nobody, since it may itself be unable to receive. */
const SUSPICION_PAUSE_START = Clock.seconds(1)
/** After this long without any message a node suspects others again, since it may be cut off from them for good. */
const SUSPICION_PAUSE_END = Clock.seconds(5)
/** An unreachable data center is remembered longer than its members (1 h), until no peer can restore their entries. */
const UNREACHABLE_RETENTION = Clock.minutes(62)
/** A node that has known of a newer configuration for this long without putting it in force reports this in its entry. */
const CONFIGURATION_LAG_TOLERANCE = Clock.seconds(4)

interface Suspicion { readonly deadline: Clock.Milliseconds, isFinalProbeSent: boolean }

export class Membership extends Controllers.Controller {
  private readonly peers = new PeerSelectors.PeerSelector()
  private readonly broadcasts = new BroadcastQueues.BroadcastQueue()
  private readonly table = new MemberTables.MemberTable((update, context) => { this.applyUpdate(update, context, false) })
  private readonly synchronization = new Synchronizations.Synchronization(this.table, this.peers)
  private readonly detector = new FailureDetectors.FailureDetector(this.peers, (node, mayPiggyback, context) => this.updatesFor(node, mayPiggyback, context))
  private readonly joinProtocol = new JoinProtocols.JoinProtocol(this.table, this.peers)
  private readonly suspicions = new Map<Ids.NodeId, Suspicion>()
  private readonly dataCenterMonitor = new DataCenterMonitors.DataCenterMonitor(this.table, {
    probe: (member, context) => { this.detector.probe(member, context) },
    broadcastHint: (dataCenter, context) => { this.broadcast(`silence ${dataCenter}`, { kind: 'silence', dataCenter }, context) },
    handleReachabilityChange: (dataCenter, context) => { for (const entry of this.table.activeMembers(dataCenter)) this.writeMember(entry, context) }
  })

  private lastReceivedAt = Clock.milliseconds(0)
  private nextSweepAt = Clock.milliseconds(0)

  react (event: Events.Event, context: Controllers.StepContext): void {
    switch (event.kind) {
      case 'tick': this.tick(context); break
      case 'message-received': this.receive(event, context); break
      case 'gossip-wanted':
        this.broadcast(event.key, event.update, context)
        if (event.urgent) this.sendGossip(URGENT_FANOUT, context)
        break
      case 'drain-requested': if (event.target === undefined) this.announceLeave(context); break
      default: break
    }
  }

  /** This node's entry, created at the first call. */
  private ownEntry (context: Controllers.StepContext): MemberTables.MemberEntry {
    const { node, address, dataCenter, region, incarnation } = context.board.identity
    const known = this.table.entries.get(node)
    if (known !== undefined) return known
    const entry = { node, address, dataCenter, region, incarnation, revision: 0, state: 'alive', stateSince: context.now } as const
    this.putEntry(entry, context)
    return entry
  }

  private tick (context: Controllers.StepContext): void {
    const own = this.ownEntry(context)
    this.refreshOwnEntry(own, context)
    for (const node of this.detector.tick(context)) this.handleFailedProbe(node, context)
    this.dataCenterMonitor.tick(context)
    this.checkSuspicions(context)
    this.joinProtocol.tick(own, context)
    this.synchronization.tick(context)
    if (this.broadcasts.size > 0) this.sendGossip(GOSSIP_FANOUT, context)
    if (context.now >= this.nextSweepAt) this.sweep(context)
  }

  private receive (event: Events.MessageReceived, context: Controllers.StepContext): void {
    const { message } = event
    if (!('configuration' in message) || !('incarnation' in message)) return
    const own = this.ownEntry(context)
    const sender = this.table.entries.get(event.from)
    if (event.from === own.node || (sender !== undefined && sender.incarnation > message.incarnation)) return
    if (this.peers.count(context) === 0) this.synchronization.expedite(context.now)
    this.lastReceivedAt = context.now
    this.recordConfiguration(event.from, message.configuration, context)
    switch (message.kind) {
      case 'ping': this.answerPing(event, message, context); break
      case 'ack': this.handleAck(event, message, context); break
      case 'ping-request': this.detector.relayProbe(event, message, context); break
      case 'sync-digest': case 'sync-buckets': case 'sync-versions': case 'sync-entries':
        this.synchronization.receive(event, message, context); break
      default: break
    }
    if (!('updates' in message)) return
    // A sender that counts as dead or left may be unable to receive, so its claims about other members are not trusted.
    const isTrusted = sender === undefined || !MemberTables.isDeadOrLeft(sender)
    for (const update of message.updates) {
      if (update.kind === 'silence') this.dataCenterMonitor.handleHint(update.dataCenter, context)
      if (update.kind === 'member' && (isTrusted || update.node === event.from || update.node === own.node)) this.applyUpdate(update, context, true)
    }
  }

  private handleAck (event: Events.MessageReceived, message: Messages.Ack, context: Controllers.StepContext): void {
    const node = this.detector.handleAck(event, message, context)
    const entry = node === undefined ? undefined : this.table.entries.get(node)
    if (entry === undefined) return
    for (const failed of this.dataCenterMonitor.recordAnswer(entry.dataCenter, context)) if (failed !== node) this.suspect(failed, context)
  }

  private handleFailedProbe (node: Ids.NodeId, context: Controllers.StepContext): void {
    const entry = this.table.entries.get(node)
    if (entry !== undefined && !this.dataCenterMonitor.recordFailure(entry, context)) this.suspect(node, context)
  }

  private answerPing (event: Events.MessageReceived, message: Messages.Ping, context: Controllers.StepContext): void {
    const sender = { node: event.from, address: message.address }
    const known = this.table.entries.get(event.from)
    const claims = message.updates.flatMap(update => update.kind === 'member' && update.node === context.board.identity.node ? [update] : [])
    for (const claim of claims) this.refute(claim, context)
    const ownEntries = message.joining === true || claims.length > 0 ? [MemberTables.toUpdate(this.ownEntry(context), context.now)] : []
    const updates = [...ownEntries, ...this.updatesFor(event.from, true, context)]
    Transport.sendDatagram(sender, { kind: 'ack', ...Transport.header(context), sequence: message.sequence, updates }, context)
    const isIntroduced = message.updates.some(update => update.kind === 'member' && update.node === event.from)
    if (known === undefined && !isIntroduced) this.joinProtocol.sendJoinPing(sender, this.ownEntry(context), context)
  }

  /** Updates for a message to `node`: its own entry if it is not alive, so that it can refute it, and queued updates. */
  private updatesFor (node: Ids.NodeId, mayPiggyback: boolean, context: Controllers.StepContext): Messages.Update[] {
    const entry = this.table.entries.get(node)
    const claims = entry === undefined || entry.state === 'alive' ? [] : [MemberTables.toUpdate(entry, context.now)]
    if (!mayPiggyback) return claims
    return [...claims, ...this.broadcasts.take(Transport.UPDATES_BYTES_MAXIMUM - claims.length * Transport.MEMBER_ENTRY_BYTES)]
  }

  /** Applies an update that supersedes the known entry; `mayBroadcast` passes it on. */
  private applyUpdate (update: Messages.MemberUpdate, context: Controllers.StepContext, mayBroadcast: boolean): void {
    if (update.node === context.board.identity.node) {
      this.refute(update, context)
      return
    }
    const known = this.table.entries.get(update.node)
    if (MemberTables.isExpired(update) || (known !== undefined && MemberTables.comparePrecedence(update, known) <= 0)) return
    // After a partition, each side still reports the other as dead. A death that contradicts this node's view only
    // starts a suspicion, so that the member can refute it in time.
    const isContradictingOwnView = update.state === 'dead' && known !== undefined && !MemberTables.isDeadOrLeft(known)
    if (isContradictingOwnView && known.state === 'suspect' && MemberTables.comparePrecedence({ ...update, state: 'suspect' }, known) === 0) return
    const state = isContradictingOwnView ? 'suspect' : update.state
    const entry = MemberTables.fromUpdate(update, state, context.now)
    this.putEntry(entry, context)
    if (mayBroadcast) this.broadcastEntry(entry, context)
  }

  /** Raises the revision of this node's entry when an update about this node supersedes it. */
  private refute (update: Messages.MemberUpdate, context: Controllers.StepContext): void {
    const own = this.ownEntry(context)
    if (update.incarnation > own.incarnation) {
      context.record({ controller: 'membership', decision: 'superseded', evidence: `incarnation ${update.incarnation} has been announced`, node: own.node })
      return
    }
    if (MemberTables.comparePrecedence(update, own) <= 0) return
    const entry = { ...own, revision: update.revision + 1 }
    this.putEntry(entry, context)
    this.broadcastEntry(entry, context)
  }

  private suspect (node: Ids.NodeId, context: Controllers.StepContext): void {
    const entry = this.table.entries.get(node)
    const sinceLastReceived = Clock.between(this.lastReceivedAt, context.now)
    if (entry?.state !== 'alive' || (sinceLastReceived >= SUSPICION_PAUSE_START && sinceLastReceived < SUSPICION_PAUSE_END)) return
    const suspected = { ...entry, state: 'suspect', stateSince: context.now } as const
    this.putEntry(suspected, context)
    this.broadcastEntry(suspected, context)
    this.detector.probe(entry, context)
  }

  private checkSuspicions (context: Controllers.StepContext): void {
    for (const [node, suspicion] of this.suspicions) {
      const remaining = Clock.between(context.now, suspicion.deadline)
      const entry = this.table.entries.get(node)
      if (remaining <= 0) this.declareDead(node, context)
      else if (remaining <= FINAL_PROBE_LEAD && !suspicion.isFinalProbeSent && entry !== undefined) {
        suspicion.isFinalProbeSent = true
        this.detector.probe(entry, context)
      }
    }
  }

  private declareDead (node: Ids.NodeId, context: Controllers.StepContext): void {
    this.suspicions.delete(node)
    const entry = this.table.entries.get(node)
    if (entry?.state !== 'suspect') return
    const dead = { ...entry, state: 'dead', stateSince: context.now } as const
    this.putEntry(dead, context)
    this.broadcastEntry(dead, context)
    context.record({ controller: 'membership', decision: 'member-dead', evidence: `suspicion not refuted within ${SUSPICION_TIMEOUT} ms`, node })
  }

  private announceLeave (context: Controllers.StepContext): void {
    const own = this.ownEntry(context)
    if (own.state === 'left') return
    const entry = { ...own, state: 'left', revision: own.revision + 1, stateSince: context.now } as const
    this.putEntry(entry, context)
    this.broadcastEntry(entry, context)
    this.sendGossip(URGENT_FANOUT, context)
  }

  /** Updates the configuration version in this node's entry. */
  private refreshOwnEntry (own: MemberTables.MemberEntry, context: Controllers.StepContext): void {
    const { configuration, members } = context.board
    const known = members.get(own.node)
    const version = configuration.current.version
    if (known !== undefined && known.configuration !== version) members.byNode.set(own.node, { ...known, configuration: version })
    const isLagging = configuration.newerVersionKnownSince !== undefined && context.now - configuration.newerVersionKnownSince >= CONFIGURATION_LAG_TOLERANCE
    if (own.behindAt === (isLagging ? version : undefined)) return
    const entry: MemberTables.MemberEntry = { ...own, revision: own.revision + 1 }
    if (isLagging) entry.behindAt = version
    else delete entry.behindAt
    this.putEntry(entry, context)
    this.broadcastEntry(entry, context)
  }

  private recordConfiguration (node: Ids.NodeId, configuration: Ids.Version, context: Controllers.StepContext): void {
    const known = context.board.members.get(node)
    if (known !== undefined) context.board.members.byNode.set(node, { ...known, configuration, configurationAt: context.now })
  }

  private putEntry (entry: MemberTables.MemberEntry, context: Controllers.StepContext): void {
    this.table.put(entry)
    this.synchronization.digests.set(entry.node, this.table.version(entry.node))
    if (entry.state !== 'suspect') this.suspicions.delete(entry.node)
    else if (!this.suspicions.has(entry.node)) this.suspicions.set(entry.node, { deadline: Clock.add(context.now, SUSPICION_TIMEOUT), isFinalProbeSent: false })
    this.writeMember(entry, context)
  }

  private writeMember (entry: MemberTables.MemberEntry, context: Controllers.StepContext): void {
    MembersSection.writeMember(entry, this.dataCenterMonitor.unreachableSince(entry.dataCenter), context)
  }

  private broadcastEntry (entry: MemberTables.MemberEntry, context: Controllers.StepContext): void {
    this.broadcast(`member ${entry.node}`, MemberTables.toUpdate(entry, context.now), context)
  }

  private broadcast (key: string, update: Messages.Update, context: Controllers.StepContext): void {
    this.broadcasts.enqueue(key, update, BroadcastQueues.transmissionLimit(this.peers.count(context)))
  }

  private sendGossip (fanout: number, context: Controllers.StepContext): void {
    for (let sent = 0; sent < fanout && this.broadcasts.size > 0; sent += 1) {
      const peer = this.peers.pickGossipReceiver(context)
      if (peer === undefined) return
      Transport.sendDatagram(peer, { kind: 'gossip', ...Transport.header(context), updates: this.broadcasts.take(Transport.UPDATES_BYTES_MAXIMUM) }, context)
    }
  }

  private removeMember (node: Ids.NodeId, context: Controllers.StepContext): void {
    this.table.remove(node)
    this.synchronization.digests.set(node, undefined)
    MembersSection.removeMember(node, context)
  }

  private sweep (context: Controllers.StepContext): void {
    this.nextSweepAt = Clock.add(context.now, SWEEP_PERIOD)
    const { withheld, removable } = this.table.expiredEntries(context.now)
    for (const node of withheld) this.synchronization.digests.set(node, undefined)
    for (const node of removable) if (node !== context.board.identity.node) this.removeMember(node, context)
    for (const dataCenter of this.dataCenterMonitor.unreachableLongerThan(MemberTables.DEAD_OR_LEFT_RETENTION, context.now)) {
      for (const { node } of this.table.activeMembers(dataCenter)) this.removeMember(node, context)
    }
    for (const dataCenter of this.dataCenterMonitor.unreachableLongerThan(UNREACHABLE_RETENTION, context.now)) this.dataCenterMonitor.remove(dataCenter)
    for (const node of this.detector.takeChangedNodes()) MembersSection.setUnansweredSince(node, this.detector.unansweredSince(node), context)
  }
}
