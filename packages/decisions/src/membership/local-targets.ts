/** Tracks the targets on this node's VM and broadcasts their changes. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as HostRecords from './host-record.js'
import type * as HostTables from './host-table.js'
import type * as Messages from './message.js'
import type * as Targets from './targets.js'

/** Corresponds to three missed announcements. */
const ANNOUNCEMENT_TIMEOUT = Clock.seconds(3)
/** New targets are batched for this long, so that the start of a node causes few messages. */
const BATCH_DELAY = Clock.milliseconds(500)
/** Maximum JSON size of the changes in one update, which leaves room for other updates in the datagram. */
const UPDATE_CHANGES_BYTES = 600
const encoder = new TextEncoder()

export class LocalTargets {
  private readonly lastAnnouncedAt = new Map<Ids.TargetId, Clock.Milliseconds>()
  private pendingChanges: Messages.TargetChange[] = []
  private flushAt: Clock.Milliseconds | undefined
  private sequence = 0
  private isNodeLeaving = false

  constructor (private readonly table: HostTables.HostTable) {}

  /** Handles one event; returns whether the node's record changed. */
  react (event: Events.Event, context: Controllers.StepContext): boolean {
    const sequenceBefore = this.sequence
    // A host without targets publishes an empty record, which tells it from a host whose record has not arrived.
    const isRecordCreated = event.kind === 'tick' && !this.table.records.has(context.board.identity.node)
    if (isRecordCreated) this.ownRecord(context)
    switch (event.kind) {
      case 'target-announced': this.handleAnnouncement(event, context); break
      case 'target-leaving': this.markLeaving(event.target, context); break
      case 'target-gone': this.removeTarget(event.target, context); break
      case 'drain-requested': this.handleDrain(event.target, context); break
      case 'tick': this.tick(context); break
      default: break
    }
    return isRecordCreated || this.sequence !== sequenceBefore
  }

  private handleAnnouncement (event: Events.TargetAnnounced, context: Controllers.StepContext): void {
    const { identity, targets } = context.board
    const known = targets.get(event.target)
    const own = known?.host === identity.node ? known : undefined
    if (own !== undefined && own.incarnation > event.incarnation) return
    const isNewIncarnation = own?.incarnation !== event.incarnation
    const { target, service, address, slots, incarnation, load = 0 } = event
    const { node: host, dataCenter, region } = identity
    const state = this.isNodeLeaving ? 'leaving' : isNewIncarnation ? 'serving' : own.state
    const announcedAt = isNewIncarnation ? context.now : own.announcedAt
    this.lastAnnouncedAt.set(target, context.now)
    const announced: Targets.Target = { target, service, host, dataCenter, region, address, slots, incarnation, state, announcedAt, load }
    targets.put(announced)
    if (isNewIncarnation || own.service !== service || own.slots !== slots) this.addChange(announced, state, context)
  }

  private markLeaving (target: Ids.TargetId, context: Controllers.StepContext): void {
    const known = context.board.targets.get(target)
    if (known === undefined || !this.lastAnnouncedAt.has(target) || known.state === 'leaving') return
    context.board.targets.put({ ...known, state: 'leaving' })
    this.addChange(known, 'leaving', context)
  }

  /**
   * For a drain of the whole node, its targets are only marked locally, for admission: the node's own `left` entry
   * removes them from the other nodes.
   */
  private handleDrain (target: Ids.TargetId | undefined, context: Controllers.StepContext): void {
    if (target !== undefined) {
      this.markLeaving(target, context)
      return
    }
    this.isNodeLeaving = true
    for (const local of this.lastAnnouncedAt.keys()) {
      const known = context.board.targets.get(local)
      if (known !== undefined) context.board.targets.put({ ...known, state: 'leaving' })
    }
  }

  private removeTarget (target: Ids.TargetId, context: Controllers.StepContext): void {
    if (!this.lastAnnouncedAt.delete(target)) return
    const known = context.board.targets.get(target)
    if (known?.host !== context.board.identity.node) return
    context.board.targets.remove(target)
    this.addChange(known, 'gone', context)
  }

  private tick (context: Controllers.StepContext): void {
    for (const [target, at] of this.lastAnnouncedAt) {
      if (context.now - at < ANNOUNCEMENT_TIMEOUT) continue
      const isCrash = context.board.targets.get(target)?.state !== 'leaving'
      context.record({ controller: 'directory', decision: 'target-gone', evidence: `no announcement for ${ANNOUNCEMENT_TIMEOUT} ms`, target })
      context.raise({ kind: 'target-gone', target, crashed: isCrash })
    }
    if (this.flushAt !== undefined && context.now >= this.flushAt) this.flush(context, false)
  }

  /** Numbers and records a change. Changes other than new targets are broadcast at once. */
  private addChange (target: Targets.Target, state: Messages.TargetChange[5], context: Controllers.StepContext): void {
    this.sequence += 1
    const change: Messages.TargetChange = [this.sequence, target.target, target.service, target.slots, target.incarnation, state, 0]
    this.ownRecord(context).applyChanges([change])
    this.pendingChanges.push(change)
    if (state === 'serving') this.flushAt ??= Clock.add(context.now, BATCH_DELAY)
    else this.flush(context, true)
  }

  private ownRecord (context: Controllers.StepContext): HostRecords.HostRecord {
    const { node, incarnation } = context.board.identity
    const record = this.table.records.get(node) ?? new HostRecords.HostRecord(incarnation)
    this.table.records.set(node, record)
    return record
  }

  /** Broadcasts the pending changes, in updates of limited size. */
  private flush (context: Controllers.StepContext, isUrgent: boolean): void {
    const { node: host, incarnation } = context.board.identity
    const changes = this.pendingChanges
    this.pendingChanges = []
    this.flushAt = undefined
    if (this.isNodeLeaving) return
    for (let from = 0; from < changes.length;) {
      let to = from + 1
      const size = (end: number): number => encoder.encode(JSON.stringify(changes.slice(from, end))).length
      while (to < changes.length && size(to + 1) <= UPDATE_CHANGES_BYTES) to += 1
      const targets = changes.slice(from, to)
      const update = { kind: 'targets', host, incarnation, targets } as const
      context.raise({ kind: 'gossip-wanted', key: `targets ${host} ${targets[0]?.[0] ?? 0}`, update, urgent: isUrgent })
      from = to
    }
  }
}
