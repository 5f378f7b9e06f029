/** Random selection of peers. Gossip prefers this node's region, since traffic between regions is paid by volume. */
import type * as Controllers from '../core/controller.js'
import * as BroadcastQueues from './broadcast-queue.js'
import type * as Members from './members.js'

/** Mean number of copies of an update that cross into other regions. */
const INTER_REGION_COPIES = 24
const INTER_REGION_SHARE_MINIMUM = 0.1
const INTER_REGION_SHARE_MAXIMUM = 0.5

export class PeerSelector {
  private generation = -1
  private sameRegion: readonly Members.Member[] = []
  private otherRegions: readonly Members.Member[] = []

  /** Number of usable members, without this node. */
  count (context: Controllers.StepContext): number {
    this.refresh(context)
    return this.sameRegion.length + this.otherRegions.length
  }

  /** A random member of this data center; if there is none, a gossip receiver. */
  pickNearest (context: Controllers.StepContext): Members.Member | undefined {
    this.refresh(context)
    const { identity } = context.board
    const local = this.sameRegion.filter(member => member.dataCenter === identity.dataCenter)
    return context.random.pick(local) ?? this.pickGossipReceiver(context)
  }

  /** A random receiver of gossip; the share of other regions depends on the number of nodes in this region. */
  pickGossipReceiver (context: Controllers.StepContext): Members.Member | undefined {
    this.refresh(context)
    const wantedShare = INTER_REGION_COPIES / (BroadcastQueues.transmissionLimit(this.sameRegion.length) * (this.sameRegion.length + 1))
    const interRegionShare = Math.min(INTER_REGION_SHARE_MAXIMUM, Math.max(INTER_REGION_SHARE_MINIMUM, wantedShare))
    const [first, second] = context.random.fraction() < interRegionShare ? [this.otherRegions, this.sameRegion] : [this.sameRegion, this.otherRegions]
    return context.random.pick(first) ?? context.random.pick(second)
  }

  /** Up to `count` distinct members other than `excluded`, drawn uniformly from all regions. */
  sample (context: Controllers.StepContext, count: number, excluded?: Members.Member['node']): Members.Member[] {
    this.refresh(context)
    const chosen = new Set<Members.Member>()
    const total = this.sameRegion.length + this.otherRegions.length
    // A draw may repeat a member, so there are more draws than members wanted, but a bounded number.
    for (let attempt = 0; attempt < count * 4 && chosen.size < count && total > 0; attempt += 1) {
      const index = context.random.below(total)
      const member = this.sameRegion[index] ?? this.otherRegions[index - this.sameRegion.length]
      if (member !== undefined && member.node !== excluded) chosen.add(member)
    }
    return [...chosen]
  }

  private refresh (context: Controllers.StepContext): void {
    const { members, identity } = context.board
    if (members.generation === this.generation) return
    this.generation = members.generation
    const others = members.usable().filter(member => member.node !== identity.node)
    this.sameRegion = others.filter(member => member.region === identity.region)
    this.otherRegions = others.filter(member => member.region !== identity.region)
  }
}
