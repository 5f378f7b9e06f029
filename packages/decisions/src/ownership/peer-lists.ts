/**
 * Lists of the other nodes, cached until Membership changes or members that have left may have become too old to be listed.
 * Gossip runs every second and must not filter thousands of members each time.
 */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as Members from '../membership/members.js'

/** Members that have left own keys until the next roster version starts. */
const LEFT_OWNER_RETENTION = Clock.seconds(30)

export class PeerLists {
  /** Usable members of this node's region. */
  local: readonly Members.Member[] = []
  /** Usable members of other regions. */
  remote: readonly Members.Member[] = []
  /** Usable members of all regions. */
  all: readonly Members.Member[] = []
  /** Members of this node's region that may own keys: usable ones and those that left recently. */
  possibleOwners: readonly Members.Member[] = []
  /** Regions with usable members, and the region of this node. */
  regions: ReadonlySet<Ids.Region> = new Set()
  private generation = -1
  private refreshedAt = 0

  refresh (context: Controllers.StepContext): this {
    const { identity, members } = context.board
    if (members.generation === this.generation && Math.abs(this.refreshedAt - context.now) <= LEFT_OWNER_RETENTION) return this
    this.generation = members.generation
    this.refreshedAt = context.now
    const others = [...members.byNode.values()].filter(member => member.node !== identity.node)
    this.all = others.filter(Members.isUsable)
    this.local = this.all.filter(member => member.region === identity.region)
    this.remote = this.all.filter(member => member.region !== identity.region)
    const recentlyLeft = others.filter(member => member.state === 'left' && member.region === identity.region && context.now - member.stateSince < LEFT_OWNER_RETENTION)
    this.regions = new Set([identity.region, ...this.remote.map(member => member.region)])
    this.possibleOwners = [...this.local, ...recentlyLeft]
    return this
  }
}
