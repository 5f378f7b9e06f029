/** Targets of this node's VM: their announcements, departures, and the changes to spread. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as HostRecords from './host-record.js'
import type * as Tables from './host-table.js'
import type * as Messages from './message.js'
import type * as Targets from './targets.js'

/** Three announcements missed. */
const ANNOUNCEMENT_LIMIT = Clock.seconds(3)
/** New targets are collected this long, so that a node that starts spreads few messages. */
const COLLECTING = Clock.milliseconds(500)
/** JSON of the changes in one update; more would leave no room for other updates in a datagram. */
const CHANGES_BYTES = 600
const encoder = new TextEncoder()

export class LocalTargets {
  private readonly announcedAt = new Map<Ids.TargetId, Clock.Milliseconds>()
  private pending: Messages.TargetChange[] = []
  private flushAt: Clock.Milliseconds | undefined
  private sequence = 0
  private leaving = false

  constructor (private readonly table: Tables.HostTable) {}

  /** Handles one event; returns whether the node's record changed. */
  react (event: Events.Event, turn: Controllers.Turn): boolean {
    const before = this.sequence
    // A host without targets has a record too, which tells the others that there are none.
    const created = event.kind === 'tick' && !this.table.records.has(turn.board.identity.node)
    if (created) this.record(turn)
    switch (event.kind) {
      case 'target-announced': this.announce(event, turn); break
      case 'target-leaving': this.leave(event.target, turn); break
      case 'target-gone': this.remove(event.target, turn); break
      case 'drain-requested': this.drain(event.target, turn); break
      case 'tick': this.tick(turn); break
      default: break
    }
    return created || this.sequence !== before
  }

  private announce (event: Events.TargetAnnounced, turn: Controllers.Turn): void {
    const { identity, targets } = turn.board
    const known = targets.get(event.target)
    const own = known?.host === identity.node ? known : undefined
    if (own !== undefined && own.incarnation > event.incarnation) return
    const restarted = own?.incarnation !== event.incarnation
    const { target, service, address, slots, incarnation, load = 0 } = event
    const { node: host, dataCenter, region } = identity
    const state = this.leaving ? 'leaving' : restarted ? 'serving' : own.state
    const announcedAt = restarted ? turn.now : own.announcedAt
    this.announcedAt.set(target, turn.now)
    const next: Targets.Target = { target, service, host, dataCenter, region, address, slots, incarnation, state, announcedAt, load }
    targets.put(next)
    if (restarted || own.service !== service || own.slots !== slots) this.change(next, state, turn)
  }

  private leave (target: Ids.TargetId, turn: Controllers.Turn): void {
    const known = turn.board.targets.get(target)
    if (known === undefined || !this.announcedAt.has(target) || known.state === 'leaving') return
    turn.board.targets.put({ ...known, state: 'leaving' })
    this.change(known, 'leaving', turn)
  }

  /** A leaving node says so itself, which covers its targets; they are marked here for the host's admission. */
  private drain (target: Ids.TargetId | undefined, turn: Controllers.Turn): void {
    if (target !== undefined) {
      this.leave(target, turn)
      return
    }
    this.leaving = true
    for (const local of this.announcedAt.keys()) {
      const known = turn.board.targets.get(local)
      if (known !== undefined) turn.board.targets.put({ ...known, state: 'leaving' })
    }
  }

  private remove (target: Ids.TargetId, turn: Controllers.Turn): void {
    if (!this.announcedAt.delete(target)) return
    const known = turn.board.targets.get(target)
    if (known?.host !== turn.board.identity.node) return
    turn.board.targets.remove(target)
    this.change(known, 'gone', turn)
  }

  private tick (turn: Controllers.Turn): void {
    for (const [target, at] of this.announcedAt) {
      if (turn.now - at < ANNOUNCEMENT_LIMIT) continue
      const crashed = turn.board.targets.get(target)?.state !== 'leaving'
      turn.record({ controller: 'directory', decision: 'target-gone', evidence: `no announcement for ${ANNOUNCEMENT_LIMIT} ms`, target })
      turn.raise({ kind: 'target-gone', target, crashed })
    }
    if (this.flushAt !== undefined && turn.now >= this.flushAt) this.flush(turn, false)
  }

  private change (target: Targets.Target, state: Messages.TargetChange[5], turn: Controllers.Turn): void {
    this.sequence += 1
    const change: Messages.TargetChange = [this.sequence, target.target, target.service, target.slots, target.incarnation, state, 0]
    this.record(turn).apply([change])
    this.pending.push(change)
    if (state === 'serving') this.flushAt ??= Clock.add(turn.now, COLLECTING)
    else this.flush(turn, true)
  }

  private record (turn: Controllers.Turn): HostRecords.HostRecord {
    const { node, incarnation } = turn.board.identity
    const record = this.table.records.get(node) ?? new HostRecords.HostRecord(incarnation)
    this.table.records.set(node, record)
    return record
  }

  private flush (turn: Controllers.Turn, urgent: boolean): void {
    const { node: host, incarnation } = turn.board.identity
    const pending = this.pending
    this.pending = []
    this.flushAt = undefined
    if (this.leaving) return
    for (let from = 0; from < pending.length;) {
      let to = from + 1
      const size = (end: number): number => encoder.encode(JSON.stringify(pending.slice(from, end))).length
      while (to < pending.length && size(to + 1) <= CHANGES_BYTES) to += 1
      const targets = pending.slice(from, to)
      const update = { kind: 'targets', host, incarnation, targets } as const
      turn.raise({ kind: 'gossip-wanted', key: `targets ${host} ${targets[0]?.[0] ?? 0}`, update, urgent })
      from = to
    }
  }
}
