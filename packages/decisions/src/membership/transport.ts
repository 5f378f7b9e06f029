/** Headers and sending of the control messages of membership and publication. */
import type * as Controllers from '../core/controller.js'
import * as Ids from '../core/ids.js'
import type * as Messages from '../core/message.js'

/** JSON size of the updates that fit into a datagram of 1,200 bytes with the envelope and the other fields. */
export const UPDATES_BYTES_MAXIMUM = 870

/** Upper bound for the JSON size of one member entry. */
export const MEMBER_ENTRY_BYTES = 300

/** Fields of every message that describe its sender. */
export interface Header {
  readonly address: Ids.Endpoint
  readonly incarnation: Ids.Incarnation
  readonly configuration: Ids.Version
}

export interface Receiver { readonly node: Ids.NodeId, readonly address: Ids.Endpoint }

export function header (context: Controllers.StepContext): Header {
  const { identity, configuration } = context.board
  return { address: identity.address, incarnation: identity.incarnation, configuration: configuration.current.version }
}

/** Receiver for a seed, whose node id is unknown before its first answer and is replaced by the text of its address. */
export function seedReceiver (address: Ids.Endpoint): Receiver {
  return { node: Ids.nodeId(address), address }
}

export function sendDatagram (to: Receiver, message: Messages.Message, context: Controllers.StepContext): void {
  context.emit({ kind: 'send', to: to.node, address: to.address, channel: 'datagram', message })
}

export function sendStream (to: Receiver, message: Messages.Message, context: Controllers.StepContext): void {
  context.emit({ kind: 'send', to: to.node, address: to.address, channel: 'stream', message })
}
