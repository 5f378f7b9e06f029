/** Lists of the other nodes, derived anew only when Membership changes: a wave each second must not filter thousands of members. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as Members from '../membership/members.js'

/** Members that left own keys until the next roster starts. */
const LEAVING = Clock.seconds(30)

export class Peers {
  /** Usable members of this node's region. */
  local: readonly Members.Member[] = []
  /** Usable members of other regions. */
  remote: readonly Members.Member[] = []
  all: readonly Members.Member[] = []
  /** Members of this node's region that may own keys: usable or just left. */
  owners: readonly Members.Member[] = []
  /** Regions with members, this node's own included. */
  regions: ReadonlySet<Ids.Region> = new Set()
  private generation = -1
  private refreshAt = 0

  refresh (turn: Controllers.Turn): this {
    const { identity, members } = turn.board
    if (members.generation === this.generation && Math.abs(this.refreshAt - turn.now) <= LEAVING) return this
    this.generation = members.generation
    this.refreshAt = turn.now
    const others = [...members.byNode.values()].filter(member => member.node !== identity.node)
    this.all = others.filter(Members.isUsable)
    this.local = this.all.filter(member => member.region === identity.region)
    this.remote = this.all.filter(member => member.region !== identity.region)
    const left = others.filter(member => member.state === 'left' && member.region === identity.region && turn.now - member.stateSince < LEAVING)
    this.regions = new Set([identity.region, ...this.remote.map(member => member.region)])
    this.owners = [...this.local, ...left]
    return this
  }
}
