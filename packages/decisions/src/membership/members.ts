/** Blackboard section `members`: the nodes of the fleet as this node sees them. Written by Membership. */
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
  /** Configuration version that the member last reported as in force. */
  readonly configuration: Ids.Version
  /** When the member reported it; absent when no report arrived since the entry last changed. */
  readonly configurationAt?: Clock.Milliseconds
  /** Time of the first of the consecutive direct probes by this node that the member has not answered. */
  readonly unansweredSince?: Clock.Milliseconds
}

export class Members {
  /** Includes this node. */
  readonly byNode = new Map<Ids.NodeId, Member>()
  /** Incremented when a member's state or incarnation changes, so that readers can cache derived lists. */
  generation = 0

  get (node: Ids.NodeId): Member | undefined {
    return this.byNode.get(node)
  }

  /** Members that may receive work: alive or suspected. */
  usable (): Member[] {
    return [...this.byNode.values()].filter(isUsable)
  }

  /**
   * Usable members whose last report is not older than `reportedSince` and names a version older than `version`.
   * A member that still lags after 4 s says so by gossip, so the absence of a report means that it does not lag.
   */
  withOlderConfiguration (version: Ids.Version, reportedSince: Clock.Milliseconds): Member[] {
    return this.usable().filter(member =>
      member.configuration < version && member.configurationAt !== undefined && member.configurationAt >= reportedSince)
  }
}

/** Whether a member may receive work. */
export function isUsable (member: Member): boolean {
  return member.state === 'alive' || member.state === 'suspect'
}
