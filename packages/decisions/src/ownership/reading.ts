/** Reads log stream `roster` on a few nodes of each data center. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'
import type * as Members from '../membership/members.js'
import * as Records from './roster-record.js'

const READERS_PER_DATA_CENTER = 3
const READ_INTERVAL = Clock.milliseconds(500)
const UNAVAILABLE_INTERVAL = Clock.seconds(2)
/** After this time an unanswered read counts as failed. */
const READ_LIMIT = Clock.seconds(10)
const ROLE_INTERVAL = Clock.seconds(2)

/** Nodes of a region that read the log; the first one proposes, the others take over in turn. */
export function readers (region: Ids.Region, members: readonly Members.Member[]): Ids.NodeId[] {
  const byDataCenter = new Map<Ids.DataCenter, Ids.NodeId[]>()
  for (const member of members) {
    if (member.region === region) byDataCenter.set(member.dataCenter, [...byDataCenter.get(member.dataCenter) ?? [], member.node])
  }
  const chosen = [...byDataCenter.values()].flatMap(nodes => Rendezvous.rank('roster-reader', nodes).slice(0, READERS_PER_DATA_CENTER))
  return Rendezvous.rank(`proposer ${region}`, chosen)
}

export class Reading {
  /** Readers of this node's region in the order in which they propose. */
  order: readonly Ids.NodeId[] = []
  /** Offset up to which this node has read; -1 before the first read. */
  position = -1
  /** The last read reached the end of the log. */
  caughtUp = false
  /** Log time of the newest record that holds a whole state of a region. */
  readonly wholeAt = new Map<string, number>()
  logTime = 0
  retention = Infinity
  private start = 0
  private asked: { readonly at: number, readonly from: number } | undefined
  private nextAt = 0
  private roleAt = 0
  private generation = -1
  private readonly founders = new Map<string, { record: Records.Genesis, offset: number }>()

  isReader (node: Ids.NodeId): boolean {
    return this.order.includes(node)
  }

  tick (turn: Controllers.Turn): void {
    const { identity, members } = turn.board
    if (members.generation !== this.generation && (turn.now >= this.roleAt || turn.now < this.roleAt - ROLE_INTERVAL)) {
      this.roleAt = turn.now + ROLE_INTERVAL
      this.generation = members.generation
      this.order = readers(identity.region, members.usable())
    }
    const overdue = this.asked !== undefined && Math.abs(turn.now - this.asked.at) > READ_LIMIT
    const waits = turn.now < this.nextAt && this.nextAt - turn.now <= UNAVAILABLE_INTERVAL
    if ((this.asked !== undefined && !overdue) || waits || !this.isReader(identity.node)) return
    const from = this.from(turn)
    this.asked = { at: turn.now, from }
    turn.emit({ kind: 'read-log', stream: 'roster', from })
  }

  /** A roster that came from a peer may end before this node's position; those records are read again for it. */
  private from (turn: Controllers.Turn): number {
    const offsets = [...turn.board.keys.rosters.byRegion.values()].map(roster => roster.offset).filter(offset => offset >= this.start)
    return Math.min(Math.max(this.position, 0), ...offsets)
  }

  unavailable (turn: Controllers.Turn): void {
    this.asked = undefined
    this.caughtUp = false
    this.nextAt = turn.now + UNAVAILABLE_INTERVAL
  }

  finished (event: Events.LogRead, turn: Controllers.Turn): void {
    const { asked } = this
    if (asked === undefined) return
    this.asked = undefined
    this.nextAt = turn.now + READ_INTERVAL
    this.start = event.start
    this.logTime = event.logTime
    this.retention = event.retention
    const complete = Math.max(asked.from, event.start)
    for (const record of event.records) this.record(record, complete, event.start, turn)
    const next = Math.max(complete, (event.records.at(-1)?.offset ?? -1) + 1)
    this.position = Math.max(this.position, next)
    this.caughtUp = next >= event.end
    for (const roster of turn.board.keys.rosters.byRegion.values()) {
      if (roster.offset >= complete) roster.offset = Math.max(roster.offset, next)
    }
    if (this.caughtUp) this.found(turn)
  }

  private record (record: Events.LogRecord, complete: number, start: number, turn: Controllers.Turn): void {
    const { rosters } = turn.board.keys
    const content = Records.parse(record.body)
    switch (content?.kind) {
      case 'genesis':
        this.wholeAt.set(content.region, record.appendedAt)
        // An earlier genesis may have been dropped from the log; a snapshot tells then.
        if (start === 0) rosters.found(content, record.offset)
        else if (!this.founders.has(content.region)) this.founders.set(content.region, { record: content, offset: record.offset })
        break
      case 'change': rosters.change(content, record.offset, complete); break
      case 'snapshot':
        this.wholeAt.set(content.state.region, record.appendedAt)
        if (content.state.offset >= complete) rosters.adopt(content.state)
        break
      case undefined: break
    }
  }

  private found (turn: Controllers.Turn): void {
    for (const { record, offset } of this.founders.values()) turn.board.keys.rosters.found(record, offset)
    this.founders.clear()
  }
}
