/**
 * Controller of the target directory. The node on the VM of a backend server is the authority for its targets;
 * the other nodes replicate its record by gossip and periodic synchronization.
 */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import * as HostRecords from './host-record.js'
import * as HostTables from './host-table.js'
import * as LocalTargets from './local-targets.js'
import type * as Messages from './message.js'
import * as PeerSelectors from './peer-selector.js'
import * as Synchronizations from './synchronization.js'

/** Targets of a host's earlier incarnation are kept for this long, since their backend servers announce themselves again. */
const RESTART_GRACE_PERIOD = Clock.seconds(5)
/** Time after which the record of a host that has not become a member is dropped. */
const NON_MEMBER_RETENTION = Clock.minutes(1)
const SWEEP_PERIOD = Clock.seconds(1)
/** Several times the 1,700 services expected. */
const INTERNED_SERVICES_MAXIMUM = 10_000
/** Location of a target whose host's member entry has not arrived yet. Such a target is not selectable. */
const UNKNOWN_LOCATION = { dataCenter: Ids.dataCenter('unknown'), region: Ids.region('unknown') }

export class Directory extends Controllers.Controller {
  private readonly peers = new PeerSelectors.PeerSelector()
  private readonly table = new HostTables.HostTable((update, context) => { this.applyUpdate(update, context) })
  private readonly synchronization = new Synchronizations.Synchronization(this.table, this.peers)
  private readonly localTargets = new LocalTargets.LocalTargets(this.table)
  /** Targets of a host's earlier incarnations that its current one has not announced, and when they are dropped. */
  private readonly unconfirmedTargets = new Map<Ids.NodeId, { readonly targets: Set<Ids.TargetId>, readonly until: Clock.Milliseconds }>()
  /** Hosts with a record but without a member entry, and since when. */
  private readonly nonMemberHosts = new Map<Ids.NodeId, Clock.Milliseconds>()
  private readonly internedServices = new Map<Ids.Service, Ids.Service>()
  private nextSweepAt = Clock.milliseconds(0)

  react (event: Events.Event, context: Controllers.StepContext): void {
    const isOwnRecordChanged = this.localTargets.react(event, context)
    if (isOwnRecordChanged) this.updateDigest(context.board.identity.node, context)
    switch (event.kind) {
      case 'tick': this.tick(context); break
      case 'message-received': this.receive(event, context); break
      case 'member-changed': this.handleMemberChange(event.node, context); break
      default: break
    }
  }

  private tick (context: Controllers.StepContext): void {
    this.synchronization.tick(context)
    if (context.now < this.nextSweepAt) return
    this.nextSweepAt = Clock.add(context.now, SWEEP_PERIOD)
    for (const [host, { targets, until }] of this.unconfirmedTargets) {
      if (context.now < until) continue
      for (const target of targets) removeTargetOfHost(host, target, context)
      this.unconfirmedTargets.delete(host)
    }
    for (const [host, since] of this.nonMemberHosts) {
      if (context.now - since >= NON_MEMBER_RETENTION) this.removeHost(host, context)
    }
  }

  private receive (event: Events.MessageReceived, context: Controllers.StepContext): void {
    const { message } = event
    if ('table' in message) this.synchronization.receive(event, message, context)
    if (!('updates' in message)) return
    for (const update of message.updates) {
      if (update.kind !== 'targets' || !this.applyUpdate(update, context)) continue
      const [first] = update.targets
      context.raise({ kind: 'gossip-wanted', key: `targets ${update.host} ${first?.[0] ?? 0}`, update, urgent: false })
    }
  }

  /** Applies a host's update; returns whether it changed any target. */
  private applyUpdate (update: Messages.TargetsUpdate, context: Controllers.StepContext): boolean {
    const { host, incarnation, complete, targets } = update
    const member = context.board.members.get(host)
    const isOutdated = member !== undefined &&
      (member.incarnation > incarnation || (member.state === 'left' && member.incarnation === incarnation))
    if (host === context.board.identity.node || isOutdated) return false
    const record = this.recordForIncarnation(host, incarnation, context)
    if (record === undefined) return false
    const { newer, removed } = complete === undefined ? { newer: record.applyChanges(targets), removed: [] } : record.applySnapshot(complete, targets)
    for (const target of removed) removeTargetOfHost(host, target, context)
    for (const change of newer) this.putTarget(host, change, context)
    this.updateDigest(host, context)
    return newer.length > 0
  }

  /** Record of the host's incarnation, created if needed; undefined for an older incarnation than the known one. */
  private recordForIncarnation (host: Ids.NodeId, incarnation: Ids.Incarnation, context: Controllers.StepContext): HostRecords.HostRecord | undefined {
    const known = this.table.records.get(host)
    if (known !== undefined && known.incarnation > incarnation) return undefined
    if (known?.incarnation === incarnation) return known
    const record = new HostRecords.HostRecord(incarnation)
    this.table.records.set(host, record)
    if (known === undefined) return record
    const targets = new Set([...known.sequences.keys(), ...this.unconfirmedTargets.get(host)?.targets ?? []])
    this.unconfirmedTargets.set(host, { targets, until: Clock.add(context.now, RESTART_GRACE_PERIOD) })
    return record
  }

  private putTarget (host: Ids.NodeId, change: Messages.TargetChange, context: Controllers.StepContext): void {
    const [, target, service, slots, incarnation, state, age] = change
    const { targets, members } = context.board
    this.unconfirmedTargets.get(host)?.targets.delete(target)
    if (state === 'gone') {
      removeTargetOfHost(host, target, context)
      return
    }
    const known = targets.get(target)
    if (known !== undefined && known.host !== host && known.incarnation > incarnation) return
    const member = members.get(host)
    const isSameIncarnation = known?.incarnation === incarnation && known.host === host
    const announcedAt = isSameIncarnation ? known.announcedAt : Clock.milliseconds(context.now - age)
    const location = { dataCenter: member?.dataCenter ?? UNKNOWN_LOCATION.dataCenter, region: member?.region ?? UNKNOWN_LOCATION.region }
    targets.put({ target, service: this.internService(service), host, ...location, slots, incarnation, state, announcedAt, load: 0 })
  }

  /** Shares one string for each service name, since every decoded message holds its own copy. */
  private internService (service: Ids.Service): Ids.Service {
    const known = this.internedServices.get(service)
    if (known !== undefined) return known
    if (this.internedServices.size >= INTERNED_SERVICES_MAXIMUM) this.internedServices.clear()
    this.internedServices.set(service, service)
    return service
  }

  /** Updates the targets of a host: those of a member that left are removed, those of a dead one still count for the floor. */
  private handleMemberChange (host: Ids.NodeId, context: Controllers.StepContext): void {
    if (host === context.board.identity.node) return
    const member = context.board.members.get(host)
    const record = this.table.records.get(host)
    if (member === undefined || (member.state === 'left' && record !== undefined && record.incarnation <= member.incarnation)) {
      this.removeHost(host, context)
      return
    }
    // A host that has no targets left after its restart announces no change, so its old ones are scheduled for removal here.
    if (record !== undefined && record.incarnation < member.incarnation) this.recordForIncarnation(host, member.incarnation, context)
    for (const target of record?.sequences.keys() ?? []) {
      const known = context.board.targets.get(target)
      const { dataCenter, region } = member
      if (known?.host === host && known.dataCenter !== dataCenter) context.board.targets.put({ ...known, dataCenter, region })
    }
    if (context.board.members.byNode.size === 2) this.synchronization.expedite(context.now)
    this.updateDigest(host, context)
  }

  private removeHost (host: Ids.NodeId, context: Controllers.StepContext): void {
    const targets = [...this.table.records.get(host)?.sequences.keys() ?? [], ...this.unconfirmedTargets.get(host)?.targets ?? []]
    for (const target of targets) removeTargetOfHost(host, target, context)
    this.table.records.delete(host)
    this.unconfirmedTargets.delete(host)
    this.nonMemberHosts.delete(host)
    this.synchronization.digests.set(host, undefined)
  }

  /** Updates the host's version in the synchronization digests. Only records of members are synchronized. */
  private updateDigest (host: Ids.NodeId, context: Controllers.StepContext): void {
    const isReplicated = host === context.board.identity.node || context.board.members.get(host) !== undefined
    if (isReplicated) this.nonMemberHosts.delete(host)
    else if (!this.nonMemberHosts.has(host)) this.nonMemberHosts.set(host, context.now)
    this.synchronization.digests.set(host, isReplicated ? this.table.version(host) : undefined)
  }
}

function removeTargetOfHost (host: Ids.NodeId, target: Ids.TargetId, context: Controllers.StepContext): void {
  if (context.board.targets.get(target)?.host === host) context.board.targets.remove(target)
}
