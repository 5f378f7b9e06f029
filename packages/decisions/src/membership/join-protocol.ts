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

  tick (own: MemberTables.MemberEntry, context: Controllers.StepContext): void {
    if (own.state === 'left') return
    if (this.peers.count(context) === 0 && context.now >= this.nextJoinAt) {
      this.nextJoinAt = Clock.add(context.now, JOIN_PERIOD)
      const seeds = context.board.identity.seeds.filter(seed => seed !== own.address)
      const start = context.random.below(seeds.length + 1)
      const chosen = [...seeds.slice(start), ...seeds.slice(0, start)].slice(0, SEEDS_PER_ATTEMPT)
      for (const seed of chosen) this.sendJoinPing(Transport.seedReceiver(seed), own, context)
    }
    this.nextRejoinAt ??= Clock.milliseconds(context.now + context.random.below(REJOIN_PERIOD))
    if (context.now < this.nextRejoinAt) return
    this.nextRejoinAt = Clock.add(context.now, REJOIN_PERIOD)
    const usable = new Set(context.board.members.usable().map(member => member.address))
    const seed = context.random.pick(context.board.identity.seeds.filter(address => !usable.has(address)))
    if (seed !== undefined && seed !== own.address) this.sendJoinPing(Transport.seedReceiver(seed), own, context)
    const dead = this.table.pickDead(context)
    if (dead !== undefined) this.sendJoinPing(dead, own, context)
  }

  /** Sends this node's entry and asks for the receiver's. A receiver that counts as dead or left is told, so that it can refute it. */
  sendJoinPing (to: Transport.Receiver, own: MemberTables.MemberEntry, context: Controllers.StepContext): void {
    const receiverEntry = this.table.entries.get(to.node)
    const claims = receiverEntry !== undefined && MemberTables.isDeadOrLeft(receiverEntry) ? [MemberTables.toUpdate(receiverEntry, context.now)] : []
    const updates = [MemberTables.toUpdate(own, context.now), ...claims]
    const sequence = context.random.below(SEQUENCE_LIMIT)
    Transport.sendDatagram(to, { kind: 'ping', ...Transport.header(context), sequence, joining: true, updates }, context)
  }
}
