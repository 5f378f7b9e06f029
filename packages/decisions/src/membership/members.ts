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
  /** When the member said so; absent before its first message. */
  readonly configurationAt?: Clock.Milliseconds
  /** Since when direct probes of this node are not answered although indirect ones are. */
  readonly unansweredSince?: Clock.Milliseconds
}

export class Members {
  /** This node included. */
  readonly byNode = new Map<Ids.NodeId, Member>()
  /** Rises with every change of a member's state or incarnation; lets readers keep derived lists. */
  generation = 0

  get (node: Ids.NodeId): Member | undefined {
    return this.byNode.get(node)
  }

  /** Members that may receive work: alive or only suspected. */
  usable (): Member[] {
    return [...this.byNode.values()].filter(isUsable)
  }

  /**
   * Usable members that said after `since` that a version older than `version` is in force.
   * A member that stays behind announces it by gossip, so silence after some seconds means it is not.
   */
  withOlderConfiguration (version: Ids.Version, since: Clock.Milliseconds): Member[] {
    return this.usable().filter(member =>
      member.configuration < version && member.configurationAt !== undefined && member.configurationAt >= since)
  }
}

/** Whether a member may receive work. */
export function isUsable (member: Member): boolean {
  return member.state === 'alive' || member.state === 'suspect'
}
