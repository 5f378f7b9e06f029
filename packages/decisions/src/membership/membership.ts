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
  private readonly table = new MemberTables.MemberTable((update, turn) => { this.applyUpdate(update, turn, false) })
  private readonly synchronization = new Synchronizations.Synchronization(this.table, this.peers)
  private readonly detector = new FailureDetectors.FailureDetector(this.peers, (node, mayPiggyback, turn) => this.updatesFor(node, mayPiggyback, turn))
  private readonly joinProtocol = new JoinProtocols.JoinProtocol(this.table, this.peers)
  private readonly suspicions = new Map<Ids.NodeId, Suspicion>()
  private readonly dataCenterMonitor = new DataCenterMonitors.DataCenterMonitor(this.table, {
    probe: (member, turn) => { this.detector.probe(member, turn) },
    broadcastHint: (dataCenter, turn) => { this.broadcast(`silence ${dataCenter}`, { kind: 'silence', dataCenter }, turn) },
    handleReachabilityChange: (dataCenter, turn) => { for (const entry of this.table.activeMembers(dataCenter)) this.writeMember(entry, turn) }
  })

  private lastReceivedAt = Clock.milliseconds(0)
  private nextSweepAt = Clock.milliseconds(0)

  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'tick': this.tick(turn); break
      case 'message-received': this.receive(event, turn); break
      case 'gossip-wanted':
        this.broadcast(event.key, event.update, turn)
        if (event.urgent) this.sendGossip(URGENT_FANOUT, turn)
        break
      case 'drain-requested': if (event.target === undefined) this.announceLeave(turn); break
      default: break
    }
  }

  /** This node's entry, created at the first call. */
  private ownEntry (turn: Controllers.Turn): MemberTables.MemberEntry {
    const { node, address, dataCenter, region, incarnation } = turn.board.identity
    const known = this.table.entries.get(node)
    if (known !== undefined) return known
    const entry = { node, address, dataCenter, region, incarnation, revision: 0, state: 'alive', stateSince: turn.now } as const
    this.putEntry(entry, turn)
    return entry
  }

  private tick (turn: Controllers.Turn): void {
    const own = this.ownEntry(turn)
    this.refreshOwnEntry(own, turn)
    for (const node of this.detector.tick(turn)) this.handleFailedProbe(node, turn)
    this.dataCenterMonitor.tick(turn)
    this.checkSuspicions(turn)
    this.joinProtocol.tick(own, turn)
    this.synchronization.tick(turn)
    if (this.broadcasts.size > 0) this.sendGossip(GOSSIP_FANOUT, turn)
    if (turn.now >= this.nextSweepAt) this.sweep(turn)
  }

  private receive (event: Events.MessageReceived, turn: Controllers.Turn): void {
    const { message } = event
    if (!('configuration' in message) || !('incarnation' in message)) return
    const own = this.ownEntry(turn)
    const sender = this.table.entries.get(event.from)
    if (event.from === own.node || (sender !== undefined && sender.incarnation > message.incarnation)) return
    if (this.peers.count(turn) === 0) this.synchronization.expedite(turn.now)
    this.lastReceivedAt = turn.now
    this.recordConfiguration(event.from, message.configuration, turn)
    switch (message.kind) {
      case 'ping': this.answerPing(event, message, turn); break
      case 'ack': this.handleAck(event, message, turn); break
      case 'ping-request': this.detector.relayProbe(event, message, turn); break
      case 'sync-digest': case 'sync-buckets': case 'sync-versions': case 'sync-entries':
        this.synchronization.receive(event, message, turn); break
      default: break
    }
    if (!('updates' in message)) return
    // A sender that counts as dead or left may be unable to receive, so its claims about other members are not trusted.
    const isTrusted = sender === undefined || !MemberTables.isDeadOrLeft(sender)
    for (const update of message.updates) {
      if (update.kind === 'silence') this.dataCenterMonitor.handleHint(update.dataCenter, turn)
      if (update.kind === 'member' && (isTrusted || update.node === event.from || update.node === own.node)) this.applyUpdate(update, turn, true)
    }
  }

  private handleAck (event: Events.MessageReceived, message: Messages.Ack, turn: Controllers.Turn): void {
    const node = this.detector.handleAck(event, message, turn)
    const entry = node === undefined ? undefined : this.table.entries.get(node)
    if (entry === undefined) return
    for (const failed of this.dataCenterMonitor.recordAnswer(entry.dataCenter, turn)) if (failed !== node) this.suspect(failed, turn)
  }

  private handleFailedProbe (node: Ids.NodeId, turn: Controllers.Turn): void {
    const entry = this.table.entries.get(node)
    if (entry !== undefined && !this.dataCenterMonitor.recordFailure(entry, turn)) this.suspect(node, turn)
  }

  private answerPing (event: Events.MessageReceived, message: Messages.Ping, turn: Controllers.Turn): void {
    const sender = { node: event.from, address: message.address }
    const known = this.table.entries.get(event.from)
    const claims = message.updates.flatMap(update => update.kind === 'member' && update.node === turn.board.identity.node ? [update] : [])
    for (const claim of claims) this.refute(claim, turn)
    const ownEntries = message.joining === true || claims.length > 0 ? [MemberTables.toUpdate(this.ownEntry(turn), turn.now)] : []
    const updates = [...ownEntries, ...this.updatesFor(event.from, true, turn)]
    Transport.sendDatagram(sender, { kind: 'ack', ...Transport.header(turn), sequence: message.sequence, updates }, turn)
    const isIntroduced = message.updates.some(update => update.kind === 'member' && update.node === event.from)
    if (known === undefined && !isIntroduced) this.joinProtocol.sendJoinPing(sender, this.ownEntry(turn), turn)
  }

  /** Updates for a message to `node`: its own entry if it is not alive, so that it can refute it, and queued updates. */
  private updatesFor (node: Ids.NodeId, mayPiggyback: boolean, turn: Controllers.Turn): Messages.Update[] {
    const entry = this.table.entries.get(node)
    const claims = entry === undefined || entry.state === 'alive' ? [] : [MemberTables.toUpdate(entry, turn.now)]
    if (!mayPiggyback) return claims
    return [...claims, ...this.broadcasts.take(Transport.UPDATES_BYTES_MAXIMUM - claims.length * Transport.MEMBER_ENTRY_BYTES)]
  }

  /** Applies an update that supersedes the known entry; `mayBroadcast` passes it on. */
  private applyUpdate (update: Messages.MemberUpdate, turn: Controllers.Turn, mayBroadcast: boolean): void {
    if (update.node === turn.board.identity.node) {
      this.refute(update, turn)
      return
    }
    const known = this.table.entries.get(update.node)
    if (MemberTables.isExpired(update) || (known !== undefined && MemberTables.comparePrecedence(update, known) <= 0)) return
    // After a partition, each side still reports the other as dead. A death that contradicts this node's view only
    // starts a suspicion, so that the member can refute it in time.
    const isContradictingOwnView = update.state === 'dead' && known !== undefined && !MemberTables.isDeadOrLeft(known)
    if (isContradictingOwnView && known.state === 'suspect' && MemberTables.comparePrecedence({ ...update, state: 'suspect' }, known) === 0) return
    const state = isContradictingOwnView ? 'suspect' : update.state
    const entry = MemberTables.fromUpdate(update, state, turn.now)
    this.putEntry(entry, turn)
    if (mayBroadcast) this.broadcastEntry(entry, turn)
  }

  /** Raises the revision of this node's entry when an update about this node supersedes it. */
  private refute (update: Messages.MemberUpdate, turn: Controllers.Turn): void {
    const own = this.ownEntry(turn)
    if (update.incarnation > own.incarnation) {
      turn.record({ controller: 'membership', decision: 'superseded', evidence: `incarnation ${update.incarnation} has been announced`, node: own.node })
      return
    }
    if (MemberTables.comparePrecedence(update, own) <= 0) return
    const entry = { ...own, revision: update.revision + 1 }
    this.putEntry(entry, turn)
    this.broadcastEntry(entry, turn)
  }

  private suspect (node: Ids.NodeId, turn: Controllers.Turn): void {
    const entry = this.table.entries.get(node)
    const sinceLastReceived = Clock.between(this.lastReceivedAt, turn.now)
    if (entry?.state !== 'alive' || (sinceLastReceived >= SUSPICION_PAUSE_START && sinceLastReceived < SUSPICION_PAUSE_END)) return
    const suspected = { ...entry, state: 'suspect', stateSince: turn.now } as const
    this.putEntry(suspected, turn)
    this.broadcastEntry(suspected, turn)
    this.detector.probe(entry, turn)
  }

  private checkSuspicions (turn: Controllers.Turn): void {
    for (const [node, suspicion] of this.suspicions) {
      const remaining = Clock.between(turn.now, suspicion.deadline)
      const entry = this.table.entries.get(node)
      if (remaining <= 0) this.declareDead(node, turn)
      else if (remaining <= FINAL_PROBE_LEAD && !suspicion.isFinalProbeSent && entry !== undefined) {
        suspicion.isFinalProbeSent = true
        this.detector.probe(entry, turn)
      }
    }
  }

  private declareDead (node: Ids.NodeId, turn: Controllers.Turn): void {
    this.suspicions.delete(node)
    const entry = this.table.entries.get(node)
    if (entry?.state !== 'suspect') return
    const dead = { ...entry, state: 'dead', stateSince: turn.now } as const
    this.putEntry(dead, turn)
    this.broadcastEntry(dead, turn)
    turn.record({ controller: 'membership', decision: 'member-dead', evidence: `suspicion not refuted within ${SUSPICION_TIMEOUT} ms`, node })
  }

  private announceLeave (turn: Controllers.Turn): void {
    const own = this.ownEntry(turn)
    if (own.state === 'left') return
    const entry = { ...own, state: 'left', revision: own.revision + 1, stateSince: turn.now } as const
    this.putEntry(entry, turn)
    this.broadcastEntry(entry, turn)
    this.sendGossip(URGENT_FANOUT, turn)
  }

  /** Updates the configuration version in this node's entry. */
  private refreshOwnEntry (own: MemberTables.MemberEntry, turn: Controllers.Turn): void {
    const { configuration, members } = turn.board
    const known = members.get(own.node)
    const version = configuration.current.version
    if (known !== undefined && known.configuration !== version) members.byNode.set(own.node, { ...known, configuration: version })
    const isLagging = configuration.newerVersionKnownSince !== undefined && turn.now - configuration.newerVersionKnownSince >= CONFIGURATION_LAG_TOLERANCE
    if (own.behindAt === (isLagging ? version : undefined)) return
    const entry: MemberTables.MemberEntry = { ...own, revision: own.revision + 1 }
    if (isLagging) entry.behindAt = version
    else delete entry.behindAt
    this.putEntry(entry, turn)
    this.broadcastEntry(entry, turn)
  }

  private recordConfiguration (node: Ids.NodeId, configuration: Ids.Version, turn: Controllers.Turn): void {
    const known = turn.board.members.get(node)
    if (known !== undefined) turn.board.members.byNode.set(node, { ...known, configuration, configurationAt: turn.now })
  }

  private putEntry (entry: MemberTables.MemberEntry, turn: Controllers.Turn): void {
    this.table.put(entry)
    this.synchronization.digests.set(entry.node, this.table.version(entry.node))
    if (entry.state !== 'suspect') this.suspicions.delete(entry.node)
    else if (!this.suspicions.has(entry.node)) this.suspicions.set(entry.node, { deadline: Clock.add(turn.now, SUSPICION_TIMEOUT), isFinalProbeSent: false })
    this.writeMember(entry, turn)
  }

  private writeMember (entry: MemberTables.MemberEntry, turn: Controllers.Turn): void {
    MembersSection.writeMember(entry, this.dataCenterMonitor.unreachableSince(entry.dataCenter), turn)
  }

  private broadcastEntry (entry: MemberTables.MemberEntry, turn: Controllers.Turn): void {
    this.broadcast(`member ${entry.node}`, MemberTables.toUpdate(entry, turn.now), turn)
  }

  private broadcast (key: string, update: Messages.Update, turn: Controllers.Turn): void {
    this.broadcasts.enqueue(key, update, BroadcastQueues.transmissionLimit(this.peers.count(turn)))
  }

  private sendGossip (fanout: number, turn: Controllers.Turn): void {
    for (let sent = 0; sent < fanout && this.broadcasts.size > 0; sent += 1) {
      const peer = this.peers.pickGossipReceiver(turn)
      if (peer === undefined) return
      Transport.sendDatagram(peer, { kind: 'gossip', ...Transport.header(turn), updates: this.broadcasts.take(Transport.UPDATES_BYTES_MAXIMUM) }, turn)
    }
  }

  private removeMember (node: Ids.NodeId, turn: Controllers.Turn): void {
    this.table.remove(node)
    this.synchronization.digests.set(node, undefined)
    MembersSection.removeMember(node, turn)
  }

  private sweep (turn: Controllers.Turn): void {
    this.nextSweepAt = Clock.add(turn.now, SWEEP_PERIOD)
    const { withheld, removable } = this.table.expiredEntries(turn.now)
    for (const node of withheld) this.synchronization.digests.set(node, undefined)
    for (const node of removable) if (node !== turn.board.identity.node) this.removeMember(node, turn)
    for (const dataCenter of this.dataCenterMonitor.unreachableLongerThan(MemberTables.DEAD_OR_LEFT_RETENTION, turn.now)) {
      for (const { node } of this.table.activeMembers(dataCenter)) this.removeMember(node, turn)
    }
    for (const dataCenter of this.dataCenterMonitor.unreachableLongerThan(UNREACHABLE_RETENTION, turn.now)) this.dataCenterMonitor.remove(dataCenter)
    for (const node of this.detector.takeChangedNodes()) MembersSection.setUnansweredSince(node, this.detector.unansweredSince(node), turn)
  }
}
