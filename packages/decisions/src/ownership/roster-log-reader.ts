/** Reads log stream `roster` on a few nodes of each data center and applies its records to the rosters. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'
import type * as Members from '../membership/members.js'
import * as RosterRecords from './roster-record.js'

const READERS_PER_DATA_CENTER = 3
const READ_INTERVAL = Clock.milliseconds(500)
const UNAVAILABLE_RETRY_DELAY = Clock.seconds(2)
/** A read that has not been answered after this time has failed. */
const READ_TIMEOUT = Clock.seconds(10)
const SELECTION_INTERVAL = Clock.seconds(2)

/** Nodes of a region that read the log. The first one proposes roster changes; the others take over in this order. */
export function selectReaders (region: Ids.Region, members: readonly Members.Member[]): Ids.NodeId[] {
  const byDataCenter = new Map<Ids.DataCenter, Ids.NodeId[]>()
  for (const member of members) {
    if (member.region === region) byDataCenter.set(member.dataCenter, [...byDataCenter.get(member.dataCenter) ?? [], member.node])
  }
  const chosen = [...byDataCenter.values()].flatMap(nodes => Rendezvous.rank('roster-reader', nodes).slice(0, READERS_PER_DATA_CENTER))
  return Rendezvous.rank(`proposer ${region}`, chosen)
}

export class RosterLogReader {
  /** Readers of this node's region, in the order in which they propose. */
  readers: readonly Ids.NodeId[] = []
  /** Offset after the last record that was read; -1 before the first read. */
  nextOffset = -1
  /** Whether the last read reached the end of the log. */
  isCaughtUp = false
  /** By region: log time of the newest record that contains the complete roster, which is a genesis or a snapshot. */
  readonly snapshotTimes = new Map<string, number>()
  /** Time of the log service at the last read. */
  logTime = 0
  /** Time for which the log keeps records. */
  retention = Infinity
  /** Offset of the oldest record in the log. */
  private logStart = 0
  private pendingRead: { readonly at: number, readonly from: number } | undefined
  private nextReadAt = 0
  private nextSelectionAt = 0
  private generation = -1
  /** By region: the first genesis in a log whose oldest records are gone. */
  private readonly unappliedGeneses = new Map<string, { record: RosterRecords.Genesis, offset: number }>()

  isReader (node: Ids.NodeId): boolean {
    return this.readers.includes(node)
  }

  tick (context: Controllers.StepContext): void {
    const { identity, members } = context.board
    if (members.generation !== this.generation && (context.now >= this.nextSelectionAt || context.now < this.nextSelectionAt - SELECTION_INTERVAL)) {
      this.nextSelectionAt = context.now + SELECTION_INTERVAL
      this.generation = members.generation
      this.readers = selectReaders(identity.region, members.usable())
    }
    const isOverdue = this.pendingRead !== undefined && Math.abs(context.now - this.pendingRead.at) > READ_TIMEOUT
    const isDelayed = context.now < this.nextReadAt && this.nextReadAt - context.now <= UNAVAILABLE_RETRY_DELAY
    if ((this.pendingRead !== undefined && !isOverdue) || isDelayed || !this.isReader(identity.node)) return
    const from = this.nextReadOffset(context)
    this.pendingRead = { at: context.now, from }
    context.emit({ kind: 'read-log', stream: 'roster', from })
  }

  /** A roster received from a peer may end before the records that this node has read; these are read again for it. */
  private nextReadOffset (context: Controllers.StepContext): number {
    const offsets = [...context.board.keys.rosters.byRegion.values()].map(roster => roster.offset).filter(offset => offset >= this.logStart)
    return Math.min(Math.max(this.nextOffset, 0), ...offsets)
  }

  handleUnavailable (context: Controllers.StepContext): void {
    this.pendingRead = undefined
    this.isCaughtUp = false
    this.nextReadAt = context.now + UNAVAILABLE_RETRY_DELAY
  }

  handleRead (event: Events.LogRead, context: Controllers.StepContext): void {
    const { pendingRead } = this
    if (pendingRead === undefined) return
    this.pendingRead = undefined
    this.nextReadAt = context.now + READ_INTERVAL
    this.logStart = event.start
    this.logTime = event.logTime
    this.retention = event.retention
    // Records between the requested offset and the start of the log were dropped before this node could read them.
    const completeFrom = Math.max(pendingRead.from, event.start)
    for (const record of event.records) this.applyRecord(record, completeFrom, event.start, context)
    const next = Math.max(completeFrom, (event.records.at(-1)?.offset ?? -1) + 1)
    this.nextOffset = Math.max(this.nextOffset, next)
    this.isCaughtUp = next >= event.end
    for (const roster of context.board.keys.rosters.byRegion.values()) {
      if (roster.offset >= completeFrom) roster.offset = Math.max(roster.offset, next)
    }
    if (this.isCaughtUp) this.applyGeneses(context)
  }

  private applyRecord (record: Events.LogRecord, completeFrom: number, logStart: number, context: Controllers.StepContext): void {
    const { rosters } = context.board.keys
    const content = RosterRecords.parse(record.body)
    switch (content?.kind) {
      case 'genesis':
        this.snapshotTimes.set(content.region, record.appendedAt)
        // The log may have dropped an earlier genesis. In that case it contains a snapshot, which takes precedence.
        if (logStart === 0) rosters.applyGenesis(content, record.offset)
        else if (!this.unappliedGeneses.has(content.region)) this.unappliedGeneses.set(content.region, { record: content, offset: record.offset })
        break
      case 'change': rosters.applyChange(content, record.offset, completeFrom); break
      case 'snapshot':
        this.snapshotTimes.set(content.state.region, record.appendedAt)
        if (content.state.offset >= completeFrom) rosters.adoptState(content.state)
        break
      case undefined: break
    }
  }

  /** Called when the log was read to its end: a genesis applies if no snapshot has created the roster. */
  private applyGeneses (context: Controllers.StepContext): void {
    for (const { record, offset } of this.unappliedGeneses.values()) context.board.keys.rosters.applyGenesis(record, offset)
    this.unappliedGeneses.clear()
  }
}
