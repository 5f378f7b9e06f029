/** Contacts seeds at the start, and seeds and dead members later to find out whether a partition healed. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import * as Tables from './member-table.js'
import type * as Peers from './peers.js'
import * as Post from './post.js'

const JOIN_PERIOD = Clock.seconds(1)
const REJOIN_PERIOD = Clock.seconds(10)
const SEEDS_AT_ONCE = 3
const SEQUENCE_LIMIT = 0x3fffffff

export class Rejoining {
  private joinAt = Clock.milliseconds(0)
  private rejoinAt: Clock.Milliseconds | undefined

  constructor (private readonly table: Tables.MemberTable, private readonly peers: Peers.Peers) {}

  tick (self: Tables.Entry, turn: Controllers.Turn): void {
    if (self.state === 'left') return
    if (this.peers.count(turn) === 0 && turn.now >= this.joinAt) {
      this.joinAt = Clock.add(turn.now, JOIN_PERIOD)
      const seeds = turn.board.identity.seeds.filter(seed => seed !== self.address)
      const start = turn.random.below(seeds.length + 1)
      const chosen = [...seeds.slice(start), ...seeds.slice(0, start)].slice(0, SEEDS_AT_ONCE)
      for (const seed of chosen) this.introduce(Post.seed(seed), self, turn)
    }
    this.rejoinAt ??= Clock.milliseconds(turn.now + turn.random.below(REJOIN_PERIOD))
    if (turn.now < this.rejoinAt) return
    this.rejoinAt = Clock.add(turn.now, REJOIN_PERIOD)
    const usable = new Set(turn.board.members.usable().map(member => member.address))
    const seed = turn.random.pick(turn.board.identity.seeds.filter(address => !usable.has(address)))
    if (seed !== undefined && seed !== self.address) this.introduce(Post.seed(seed), self, turn)
    const dead = this.table.someDead(turn)
    if (dead !== undefined) this.introduce(dead, self, turn)
  }

  /** Sends this node's entry and asks for the receiver's; a receiver held for dead learns that too. */
  introduce (to: Post.Receiver, self: Tables.Entry, turn: Controllers.Turn): void {
    const theirs = this.table.entries.get(to.node)
    const refutable = theirs !== undefined && Tables.isEnded(theirs) ? [Tables.asUpdate(theirs, turn.now)] : []
    const updates = [Tables.asUpdate(self, turn.now), ...refutable]
    const sequence = turn.random.below(SEQUENCE_LIMIT)
    Post.datagram(to, { kind: 'ping', ...Post.header(turn), sequence, joining: true, updates }, turn)
  }
}
