/** Builds what every control message of membership and publication carries, and sends it. */
import type * as Controllers from '../core/controller.js'
import * as Ids from '../core/ids.js'
import type * as Messages from '../core/message.js'

/** Bytes of updates that fit a datagram of 1,200 bytes besides the envelope and the other fields. */
export const UPDATES_BYTES = 870

/** Room for one member entry. */
export const ENTRY_BYTES = 300

export interface Header {
  readonly address: Ids.Endpoint
  readonly incarnation: Ids.Incarnation
  readonly configuration: Ids.Version
}

export interface Receiver { readonly node: Ids.NodeId, readonly address: Ids.Endpoint }

export function header (turn: Controllers.Turn): Header {
  const { identity, configuration } = turn.board
  return { address: identity.address, incarnation: identity.incarnation, configuration: configuration.current.version }
}

/** A seed's node id is unknown before its first answer; the endpoint's text stands in for it. */
export function seed (address: Ids.Endpoint): Receiver {
  return { node: Ids.nodeId(address), address }
}

export function datagram (to: Receiver, message: Messages.Message, turn: Controllers.Turn): void {
  turn.emit({ kind: 'send', to: to.node, address: to.address, channel: 'datagram', message })
}

export function stream (to: Receiver, message: Messages.Message, turn: Controllers.Turn): void {
  turn.emit({ kind: 'send', to: to.node, address: to.address, channel: 'stream', message })
}
