/** Keeps the table of nodes by gossip and failure detection. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Broadcasts from './broadcasts.js'
import * as Detectors from './failure-detector.js'
import * as Tables from './member-table.js'
import type * as Messages from './message.js'
import * as Peers from './peers.js'
import * as Post from './post.js'
import * as Rejoining from './rejoining.js'
import * as Sections from './section.js'
import * as Silences from './silences.js'
import * as Synchronizations from './synchronization.js'

const SUSPICION = Clock.seconds(3)
/** Time before the end of a suspicion at which this node asks the member itself, in case its refutation got lost. */
const LAST_CHANCE = Clock.seconds(1)
/** Receivers of gossip in one tick while updates wait. */
const FANOUT = 2
/** Receivers of the first copies of an urgent update. */
const URGENT_FANOUT = 4
const SWEEP_PERIOD = Clock.seconds(1)
/** A node that has heard nothing at all for a probe's time suspects nobody yet: it may be the one that cannot receive. */
const DEAF_AFTER = Clock.seconds(1)
/** Deafness ends here; a node that is cut off must stop counting on the others at some time. */
const DEAF_UNTIL = Clock.seconds(5)
/** A silent data center is remembered longer than its members, until no peer can bring them back. */
const SILENCE_RETENTION = Clock.minutes(62)
/** Time after which a node that has not put the newest configuration in force announces it. */
const CONFIGURATION_LAG = Clock.seconds(4)

interface Suspicion { readonly deadline: Clock.Milliseconds, asked: boolean }

export class Membership extends Controllers.Controller {
  private readonly peers = new Peers.Peers()
  private readonly queue = new Broadcasts.Broadcasts()
  private readonly table = new Tables.MemberTable((update, turn) => { this.learn(update, turn, false) })
  private readonly synchronization = new Synchronizations.Synchronization(this.table, this.peers)
  private readonly detector = new Detectors.FailureDetector(this.peers, (node, piggyback, turn) => this.updatesFor(node, piggyback, turn))
  private readonly rejoining = new Rejoining.Rejoining(this.table, this.peers)
  private readonly suspicions = new Map<Ids.NodeId, Suspicion>()
  private readonly silences = new Silences.Silences(this.table, {
    probe: (member, turn) => { this.detector.probe(member, turn) },
    hint: (dataCenter, turn) => { this.spread(`silence ${dataCenter}`, { kind: 'silence', dataCenter }, turn) },
    changed: (dataCenter, turn) => { for (const entry of this.table.living(dataCenter)) this.show(entry, turn) }
  })

  private heardAt = Clock.milliseconds(0)
  private sweepAt = Clock.milliseconds(0)

  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'tick': this.tick(turn); break
      case 'message-received': this.receive(event, turn); break
      case 'gossip-wanted':
        this.spread(event.key, event.update, turn)
        if (event.urgent) this.gossip(URGENT_FANOUT, turn)
        break
      case 'drain-requested': if (event.target === undefined) this.leave(turn); break
      default: break
    }
  }

  private self (turn: Controllers.Turn): Tables.Entry {
    const { node, address, dataCenter, region, incarnation } = turn.board.identity
    const known = this.table.entries.get(node)
    if (known !== undefined) return known
    const entry = { node, address, dataCenter, region, incarnation, revision: 0, state: 'alive', since: turn.now } as const
    this.put(entry, turn)
    return entry
  }

  private tick (turn: Controllers.Turn): void {
    const self = this.self(turn)
    this.refreshSelf(self, turn)
    for (const node of this.detector.tick(turn)) this.probeFailed(node, turn)
    this.silences.tick(turn)
    this.pursueSuspicions(turn)
    this.rejoining.tick(self, turn)
    this.synchronization.tick(turn)
    if (this.queue.size > 0) this.gossip(FANOUT, turn)
    if (turn.now >= this.sweepAt) this.sweep(turn)
  }

  private receive (event: Events.MessageReceived, turn: Controllers.Turn): void {
    const { message } = event
    if (!('configuration' in message) || !('incarnation' in message)) return
    const self = this.self(turn)
    const sender = this.table.entries.get(event.from)
    if (event.from === self.node || (sender !== undefined && sender.incarnation > message.incarnation)) return
    if (this.peers.count(turn) === 0) this.synchronization.hasten(turn.now)
    this.heardAt = turn.now
    this.noteConfiguration(event.from, message.configuration, turn)
    switch (message.kind) {
      case 'ping': this.answer(event, message, turn); break
      case 'ack': this.acknowledge(event, message, turn); break
      case 'ping-request': this.detector.relay(event, message, turn); break
      case 'sync-digest': case 'sync-buckets': case 'sync-versions': case 'sync-entries':
        this.synchronization.receive(event, message, turn); break
      default: break
    }
    if (!('updates' in message)) return
    // A node that this one holds for dead may be unable to receive, so its opinions about others are worthless.
    const trusted = sender === undefined || !Tables.isEnded(sender)
    for (const update of message.updates) {
      if (update.kind === 'silence') this.silences.hinted(update.dataCenter, turn)
      if (update.kind === 'member' && (trusted || update.node === event.from || update.node === self.node)) this.learn(update, turn, true)
    }
  }

  private acknowledge (event: Events.MessageReceived, message: Messages.Ack, turn: Controllers.Turn): void {
    const node = this.detector.acknowledge(event, message, turn)
    const entry = node === undefined ? undefined : this.table.entries.get(node)
    if (entry === undefined) return
    for (const failed of this.silences.answered(entry.dataCenter, turn)) if (failed !== node) this.suspect(failed, turn)
  }

  private probeFailed (node: Ids.NodeId, turn: Controllers.Turn): void {
    const entry = this.table.entries.get(node)
    if (entry !== undefined && !this.silences.probeFailed(entry, turn)) this.suspect(node, turn)
  }

  private answer (event: Events.MessageReceived, message: Messages.Ping, turn: Controllers.Turn): void {
    const sender = { node: event.from, address: message.address }
    const known = this.table.entries.get(event.from)
    const doubts = message.updates.flatMap(update => update.kind === 'member' && update.node === turn.board.identity.node ? [update] : [])
    for (const doubt of doubts) this.refute(doubt, turn)
    const own = message.joining === true || doubts.length > 0 ? [Tables.asUpdate(this.self(turn), turn.now)] : []
    const updates = [...own, ...this.updatesFor(event.from, true, turn)]
    Post.datagram(sender, { kind: 'ack', ...Post.header(turn), sequence: message.sequence, updates }, turn)
    const introduced = message.updates.some(update => update.kind === 'member' && update.node === event.from)
    if (known === undefined && !introduced) this.rejoining.introduce(sender, this.self(turn), turn)
  }

  /** What a message to `node` carries: its own entry if that needs refuting, then queued updates if wanted. */
  private updatesFor (node: Ids.NodeId, piggyback: boolean, turn: Controllers.Turn): Messages.Update[] {
    const entry = this.table.entries.get(node)
    const refutable = entry === undefined || entry.state === 'alive' ? [] : [Tables.asUpdate(entry, turn.now)]
    if (!piggyback) return refutable
    return [...refutable, ...this.queue.take(Post.UPDATES_BYTES - refutable.length * Post.ENTRY_BYTES)]
  }

  private learn (update: Messages.MemberUpdate, turn: Controllers.Turn, spread: boolean): void {
    if (update.node === turn.board.identity.node) {
      this.refute(update, turn)
      return
    }
    const known = this.table.entries.get(update.node)
    if (Tables.isExpired(update) || (known !== undefined && Tables.precedence(update, known) <= 0)) return
    // Members that were cut off from each other hold one another for dead. Each death that contradicts this
    // node's view gets its own suspicion time, so that the member can refute it before it takes effect.
    const contradicts = update.state === 'dead' && known !== undefined && !Tables.isEnded(known)
    if (contradicts && known.state === 'suspect' && Tables.precedence({ ...update, state: 'suspect' }, known) === 0) return
    const state = contradicts ? 'suspect' : update.state
    const entry = Tables.fromUpdate(update, state, turn.now)
    this.put(entry, turn)
    if (spread) this.enqueue(entry, turn)
  }

  private refute (update: Messages.MemberUpdate, turn: Controllers.Turn): void {
    const self = this.self(turn)
    if (update.incarnation > self.incarnation) {
      turn.record({ controller: 'membership', decision: 'superseded', evidence: `incarnation ${update.incarnation}`, node: self.node })
      return
    }
    if (Tables.precedence(update, self) <= 0) return
    const entry = { ...self, revision: update.revision + 1 }
    this.put(entry, turn)
    this.enqueue(entry, turn)
  }

  private suspect (node: Ids.NodeId, turn: Controllers.Turn): void {
    const entry = this.table.entries.get(node)
    const silence = Clock.between(this.heardAt, turn.now)
    if (entry?.state !== 'alive' || (silence >= DEAF_AFTER && silence < DEAF_UNTIL)) return
    const suspected = { ...entry, state: 'suspect', since: turn.now } as const
    this.put(suspected, turn)
    this.enqueue(suspected, turn)
    this.detector.probe(entry, turn)
  }

  private pursueSuspicions (turn: Controllers.Turn): void {
    for (const [node, suspicion] of this.suspicions) {
      const left = Clock.between(turn.now, suspicion.deadline)
      const entry = this.table.entries.get(node)
      if (left <= 0) this.declareDead(node, turn)
      else if (left <= LAST_CHANCE && !suspicion.asked && entry !== undefined) {
        suspicion.asked = true
        this.detector.probe(entry, turn)
      }
    }
  }

  private declareDead (node: Ids.NodeId, turn: Controllers.Turn): void {
    this.suspicions.delete(node)
    const entry = this.table.entries.get(node)
    if (entry?.state !== 'suspect') return
    const dead = { ...entry, state: 'dead', since: turn.now } as const
    this.put(dead, turn)
    this.enqueue(dead, turn)
    turn.record({ controller: 'membership', decision: 'member-dead', evidence: `suspected for ${SUSPICION} ms`, node })
  }

  private leave (turn: Controllers.Turn): void {
    const self = this.self(turn)
    if (self.state === 'left') return
    const entry = { ...self, state: 'left', revision: self.revision + 1, since: turn.now } as const
    this.put(entry, turn)
    this.enqueue(entry, turn)
    this.gossip(URGENT_FANOUT, turn)
  }

  private refreshSelf (self: Tables.Entry, turn: Controllers.Turn): void {
    const { configuration, members } = turn.board
    const known = members.get(self.node)
    const version = configuration.current.version
    if (known !== undefined && known.configuration !== version) members.byNode.set(self.node, { ...known, configuration: version })
    const lags = configuration.newerVersionKnownSince !== undefined && turn.now - configuration.newerVersionKnownSince >= CONFIGURATION_LAG
    if (self.behindAt === (lags ? version : undefined)) return
    const entry: Tables.Entry = { ...self, revision: self.revision + 1 }
    if (lags) entry.behindAt = version
    else delete entry.behindAt
    this.put(entry, turn)
    this.enqueue(entry, turn)
  }

  private noteConfiguration (node: Ids.NodeId, configuration: Ids.Version, turn: Controllers.Turn): void {
    const known = turn.board.members.get(node)
    if (known !== undefined) turn.board.members.byNode.set(node, { ...known, configuration, configurationAt: turn.now })
  }

  private put (entry: Tables.Entry, turn: Controllers.Turn): void {
    this.table.put(entry)
    this.synchronization.buckets.set(entry.node, this.table.version(entry.node))
    if (entry.state !== 'suspect') this.suspicions.delete(entry.node)
    else if (!this.suspicions.has(entry.node)) this.suspicions.set(entry.node, { deadline: Clock.add(turn.now, SUSPICION), asked: false })
    this.show(entry, turn)
  }

  private show (entry: Tables.Entry, turn: Controllers.Turn): void {
    Sections.write(entry, this.silences.silentSince(entry.dataCenter), turn)
  }

  private enqueue (entry: Tables.Entry, turn: Controllers.Turn): void {
    this.spread(`member ${entry.node}`, Tables.asUpdate(entry, turn.now), turn)
  }

  private spread (key: string, update: Messages.Update, turn: Controllers.Turn): void {
    this.queue.put(key, update, Broadcasts.transmissions(this.peers.count(turn)))
  }

  private gossip (fanout: number, turn: Controllers.Turn): void {
    for (let sent = 0; sent < fanout && this.queue.size > 0; sent += 1) {
      const peer = this.peers.gossip(turn)
      if (peer === undefined) return
      Post.datagram(peer, { kind: 'gossip', ...Post.header(turn), updates: this.queue.take(Post.UPDATES_BYTES) }, turn)
    }
  }

  private forget (node: Ids.NodeId, turn: Controllers.Turn): void {
    this.table.remove(node)
    this.synchronization.buckets.set(node, undefined)
    Sections.remove(node, turn)
  }

  private sweep (turn: Controllers.Turn): void {
    this.sweepAt = Clock.add(turn.now, SWEEP_PERIOD)
    const { silent, forgotten } = this.table.expired(turn.now)
    for (const node of silent) this.synchronization.buckets.set(node, undefined)
    for (const node of forgotten) if (node !== turn.board.identity.node) this.forget(node, turn)
    for (const dataCenter of this.silences.longerThan(Tables.ENDED_RETENTION, turn.now)) {
      for (const { node } of this.table.living(dataCenter)) this.forget(node, turn)
    }
    for (const dataCenter of this.silences.longerThan(SILENCE_RETENTION, turn.now)) this.silences.forget(dataCenter)
    for (const node of this.detector.takeChanged()) Sections.noteUnanswered(node, this.detector.unansweredSince(node), turn)
  }
}
