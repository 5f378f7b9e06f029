/** Random choice of other nodes, mostly in the own region because links between regions are paid by volume. */
import type * as Controllers from '../core/controller.js'
import * as Broadcasts from './broadcasts.js'
import type * as Members from './members.js'

/** Copies of an update that should cross into other regions in the mean. */
const CROSSINGS = 24
const REMOTE_SHARE_MINIMUM = 0.1
const REMOTE_SHARE_MAXIMUM = 0.5

export class Peers {
  private generation = -1
  private near: readonly Members.Member[] = []
  private far: readonly Members.Member[] = []

  /** Other usable members. */
  count (turn: Controllers.Turn): number {
    this.refresh(turn)
    return this.near.length + this.far.length
  }

  /** Members of the own data center, else of the region, else any. */
  nearest (turn: Controllers.Turn): Members.Member | undefined {
    this.refresh(turn)
    const { identity } = turn.board
    const local = this.near.filter(member => member.dataCenter === identity.dataCenter)
    return turn.random.pick(local) ?? this.gossip(turn)
  }

  /** A receiver of gossip. */
  gossip (turn: Controllers.Turn): Members.Member | undefined {
    this.refresh(turn)
    const wanted = CROSSINGS / (Broadcasts.transmissions(this.near.length) * (this.near.length + 1))
    const share = Math.min(REMOTE_SHARE_MAXIMUM, Math.max(REMOTE_SHARE_MINIMUM, wanted))
    const [first, second] = turn.random.fraction() < share ? [this.far, this.near] : [this.near, this.far]
    return turn.random.pick(first) ?? turn.random.pick(second)
  }

  /** Up to `count` different members other than `except`, evenly from all. */
  sample (turn: Controllers.Turn, count: number, except?: Members.Member['node']): Members.Member[] {
    this.refresh(turn)
    const chosen = new Set<Members.Member>()
    const total = this.near.length + this.far.length
    for (let attempt = 0; attempt < count * 4 && chosen.size < count && total > 0; attempt += 1) {
      const index = turn.random.below(total)
      const member = this.near[index] ?? this.far[index - this.near.length]
      if (member !== undefined && member.node !== except) chosen.add(member)
    }
    return [...chosen]
  }

  private refresh (turn: Controllers.Turn): void {
    const { members, identity } = turn.board
    if (members.generation === this.generation) return
    this.generation = members.generation
    const others = members.usable().filter(member => member.node !== identity.node)
    this.near = others.filter(member => member.region === identity.region)
    this.far = others.filter(member => member.region !== identity.region)
  }
}
