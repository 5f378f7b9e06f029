/** Identity of this node, from its process settings. */
import type * as Ids from './ids.js'

export interface Identity {
  readonly node: Ids.NodeId
  /** Address for callers, other nodes' requests and control messages. */
  readonly address: Ids.Endpoint
  readonly dataCenter: Ids.DataCenter
  readonly region: Ids.Region
  readonly incarnation: Ids.Incarnation
  /** Addresses of the nodes that are contacted to join the fleet. */
  readonly seeds: readonly Ids.Endpoint[]
}
