/** Contacts seeds in order to join the fleet, and later seeds and dead members in order to rejoin them after a partition. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import * as MemberTables from './member-table.js'
import type * as PeerSelectors from './peer-selector.js'
import * as Transport from './transport.js'

const JOIN_PERIOD = Clock.seconds(1)
const REJOIN_PERIOD = Clock.seconds(10)
const SEEDS_PER_ATTEMPT = 3
const SEQUENCE_LIMIT = 0x3fffffff

export class JoinProtocol {
  private nextJoinAt = Clock.milliseconds(0)
  private nextRejoinAt: Clock.Milliseconds | undefined

  constructor (private readonly table: MemberTables.MemberTable, private readonly peers: PeerSelectors.PeerSelector) {}

  tick (own: MemberTables.MemberEntry, turn: Controllers.Turn): void {
    if (own.state === 'left') return
    if (this.peers.count(turn) === 0 && turn.now >= this.nextJoinAt) {
      this.nextJoinAt = Clock.add(turn.now, JOIN_PERIOD)
      const seeds = turn.board.identity.seeds.filter(seed => seed !== own.address)
      const start = turn.random.below(seeds.length + 1)
      const chosen = [...seeds.slice(start), ...seeds.slice(0, start)].slice(0, SEEDS_PER_ATTEMPT)
      for (const seed of chosen) this.sendJoinPing(Transport.seedReceiver(seed), own, turn)
    }
    this.nextRejoinAt ??= Clock.milliseconds(turn.now + turn.random.below(REJOIN_PERIOD))
    if (turn.now < this.nextRejoinAt) return
    this.nextRejoinAt = Clock.add(turn.now, REJOIN_PERIOD)
    const usable = new Set(turn.board.members.usable().map(member => member.address))
    const seed = turn.random.pick(turn.board.identity.seeds.filter(address => !usable.has(address)))
    if (seed !== undefined && seed !== own.address) this.sendJoinPing(Transport.seedReceiver(seed), own, turn)
    const dead = this.table.pickDead(turn)
    if (dead !== undefined) this.sendJoinPing(dead, own, turn)
  }

  /** Sends this node's entry and asks for the receiver's. A receiver that counts as dead or left is told, so that it can refute it. */
  sendJoinPing (to: Transport.Receiver, own: MemberTables.MemberEntry, turn: Controllers.Turn): void {
    const receiverEntry = this.table.entries.get(to.node)
    const claims = receiverEntry !== undefined && MemberTables.isDeadOrLeft(receiverEntry) ? [MemberTables.toUpdate(receiverEntry, turn.now)] : []
    const updates = [MemberTables.toUpdate(own, turn.now), ...claims]
    const sequence = turn.random.below(SEQUENCE_LIMIT)
    Transport.sendDatagram(to, { kind: 'ping', ...Transport.header(turn), sequence, joining: true, updates }, turn)
  }
}
