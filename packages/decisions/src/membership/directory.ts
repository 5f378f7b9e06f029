/** Keeps the table of targets: authority for those of this node's VM, a copy of what the other hosts say. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import * as HostRecords from './host-record.js'
import * as Tables from './host-table.js'
import * as Announcements from './local-targets.js'
import type * as Messages from './message.js'
import * as Peers from './peers.js'
import * as Synchronizations from './synchronization.js'

/** Targets announced before a host's restart are kept this long, because their servers announce themselves again. */
const RESTART_GRACE = Clock.seconds(5)
/** Records of hosts that do not become members are dropped after this time. */
const UNKNOWN_HOST_RETENTION = Clock.minutes(1)
const SWEEP_PERIOD = Clock.seconds(1)
/** Names kept for sharing; several times the 1,700 services expected. */
const SERVICES_LIMIT = 10_000
/** Place of a target whose host's member entry has not arrived yet; such a target is not selectable. */
const UNKNOWN_PLACE = { dataCenter: Ids.dataCenter('unknown'), region: Ids.region('unknown') }

export class Directory extends Controllers.Controller {
  private readonly peers = new Peers.Peers()
  private readonly table = new Tables.HostTable((update, turn) => { this.learn(update, turn) })
  private readonly synchronization = new Synchronizations.Synchronization(this.table, this.peers)
  private readonly local = new Announcements.LocalTargets(this.table)
  /** Targets of earlier incarnations of a host, dropped at the given time. */
  private readonly inherited = new Map<Ids.NodeId, { readonly targets: Set<Ids.TargetId>, readonly until: Clock.Milliseconds }>()
  private readonly unknownHosts = new Map<Ids.NodeId, Clock.Milliseconds>()
  private readonly services = new Map<Ids.Service, Ids.Service>()
  private sweepAt = Clock.milliseconds(0)

  react (event: Events.Event, turn: Controllers.Turn): void {
    const changed = this.local.react(event, turn)
    if (changed) this.index(turn.board.identity.node, turn)
    switch (event.kind) {
      case 'tick': this.tick(turn); break
      case 'message-received': this.receive(event, turn); break
      case 'member-changed': this.follow(event.node, turn); break
      default: break
    }
  }

  private tick (turn: Controllers.Turn): void {
    this.synchronization.tick(turn)
    if (turn.now < this.sweepAt) return
    this.sweepAt = Clock.add(turn.now, SWEEP_PERIOD)
    for (const [host, { targets, until }] of this.inherited) {
      if (turn.now < until) continue
      for (const target of targets) removeFrom(host, target, turn)
      this.inherited.delete(host)
    }
    for (const [host, since] of this.unknownHosts) {
      if (turn.now - since >= UNKNOWN_HOST_RETENTION) this.forget(host, turn)
    }
  }

  private receive (event: Events.MessageReceived, turn: Controllers.Turn): void {
    const { message } = event
    if ('table' in message) this.synchronization.receive(event, message, turn)
    if (!('updates' in message)) return
    for (const update of message.updates) {
      if (update.kind !== 'targets' || !this.learn(update, turn)) continue
      const [first] = update.targets
      turn.raise({ kind: 'gossip-wanted', key: `targets ${update.host} ${first?.[0] ?? 0}`, update, urgent: false })
    }
  }

  /** Takes a host's update in; returns whether it told anything new. */
  private learn (update: Messages.TargetsUpdate, turn: Controllers.Turn): boolean {
    const { host, incarnation, complete, targets } = update
    const member = turn.board.members.get(host)
    const outdated = member !== undefined &&
      (member.incarnation > incarnation || (member.state === 'left' && member.incarnation === incarnation))
    if (host === turn.board.identity.node || outdated) return false
    const record = this.recordFor(host, incarnation, turn)
    if (record === undefined) return false
    const { news, gone } = complete === undefined ? { news: record.apply(targets), gone: [] } : record.replace(complete, targets)
    for (const target of gone) removeFrom(host, target, turn)
    for (const change of news) this.put(host, change, turn)
    this.index(host, turn)
    return news.length > 0
  }

  private recordFor (host: Ids.NodeId, incarnation: Ids.Incarnation, turn: Controllers.Turn): HostRecords.HostRecord | undefined {
    const known = this.table.records.get(host)
    if (known !== undefined && known.incarnation > incarnation) return undefined
    if (known?.incarnation === incarnation) return known
    const record = new HostRecords.HostRecord(incarnation)
    this.table.records.set(host, record)
    if (known === undefined) return record
    const targets = new Set([...known.sequences.keys(), ...this.inherited.get(host)?.targets ?? []])
    this.inherited.set(host, { targets, until: Clock.add(turn.now, RESTART_GRACE) })
    return record
  }

  private put (host: Ids.NodeId, change: Messages.TargetChange, turn: Controllers.Turn): void {
    const [, target, service, slots, incarnation, state, age] = change
    const { targets, members } = turn.board
    this.inherited.get(host)?.targets.delete(target)
    if (state === 'gone') {
      removeFrom(host, target, turn)
      return
    }
    const known = targets.get(target)
    if (known !== undefined && known.host !== host && known.incarnation > incarnation) return
    const member = members.get(host)
    const same = known?.incarnation === incarnation && known.host === host
    const announcedAt = same ? known.announcedAt : Clock.milliseconds(turn.now - age)
    const place = { dataCenter: member?.dataCenter ?? UNKNOWN_PLACE.dataCenter, region: member?.region ?? UNKNOWN_PLACE.region }
    targets.put({ target, service: this.interned(service), host, ...place, slots, incarnation, state, announcedAt, load: 0 })
  }

  /** One copy of each name; every received message has its own. */
  private interned (service: Ids.Service): Ids.Service {
    const known = this.services.get(service)
    if (known !== undefined) return known
    if (this.services.size >= SERVICES_LIMIT) this.services.clear()
    this.services.set(service, service)
    return service
  }

  /** Follows the state of a host: a member that left takes its targets along, a dead one keeps them for the floor. */
  private follow (host: Ids.NodeId, turn: Controllers.Turn): void {
    if (host === turn.board.identity.node) return
    const member = turn.board.members.get(host)
    const record = this.table.records.get(host)
    if (member === undefined || (member.state === 'left' && record !== undefined && record.incarnation <= member.incarnation)) {
      this.forget(host, turn)
      return
    }
    // A restarted host that has no targets any more sends no change that would say so.
    if (record !== undefined && record.incarnation < member.incarnation) this.recordFor(host, member.incarnation, turn)
    for (const target of record?.sequences.keys() ?? []) {
      const known = turn.board.targets.get(target)
      const { dataCenter, region } = member
      if (known?.host === host && known.dataCenter !== dataCenter) turn.board.targets.put({ ...known, dataCenter, region })
    }
    if (turn.board.members.byNode.size === 2) this.synchronization.hasten(turn.now)
    this.index(host, turn)
  }

  private forget (host: Ids.NodeId, turn: Controllers.Turn): void {
    const targets = [...this.table.records.get(host)?.sequences.keys() ?? [], ...this.inherited.get(host)?.targets ?? []]
    for (const target of targets) removeFrom(host, target, turn)
    this.table.records.delete(host)
    this.inherited.delete(host)
    this.unknownHosts.delete(host)
    this.synchronization.buckets.set(host, undefined)
  }

  /** Offers the record to other nodes, once its host is a member. */
  private index (host: Ids.NodeId, turn: Controllers.Turn): void {
    const offered = host === turn.board.identity.node || turn.board.members.get(host) !== undefined
    if (offered) this.unknownHosts.delete(host)
    else if (!this.unknownHosts.has(host)) this.unknownHosts.set(host, turn.now)
    this.synchronization.buckets.set(host, offered ? this.table.version(host) : undefined)
  }
}

function removeFrom (host: Ids.NodeId, target: Ids.TargetId, turn: Controllers.Turn): void {
  if (turn.board.targets.get(target)?.host === host) turn.board.targets.remove(target)
}
