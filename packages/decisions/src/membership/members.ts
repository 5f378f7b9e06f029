/** Section `members`: the nodes this node knows. Written by Membership. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

export type MemberState = 'alive' | 'suspect' | 'dead' | 'left'

export interface Member {
  readonly node: Ids.NodeId
  readonly address: Ids.Endpoint
  readonly dataCenter: Ids.DataCenter
  readonly region: Ids.Region
  readonly incarnation: Ids.Incarnation
  readonly state: MemberState
  readonly stateSince: Clock.Milliseconds
  /** Last configuration version that the member said is in force on it. */
  readonly configuration: Ids.Version
}

export class Members {
  /** This node included. */
  readonly byNode = new Map<Ids.NodeId, Member>()

  get (node: Ids.NodeId): Member | undefined {
    return this.byNode.get(node)
  }

  /** Members that may receive work: alive or only suspected. */
  usable (): Member[] {
    return [...this.byNode.values()].filter(member => member.state === 'alive' || member.state === 'suspect')
  }
}
