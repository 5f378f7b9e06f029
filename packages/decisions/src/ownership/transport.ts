/** Sends control messages by datagram if they fit into one, else by stream. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as Messages from './message.js'

/** JSON size of a message that fits into a datagram of 1,200 bytes with the JSON-RPC envelope. */
const DATAGRAM_BYTES_MAXIMUM = 1_050

export function send (to: Ids.NodeId, address: Ids.Endpoint, message: Messages.OwnershipMessage, context: Controllers.StepContext): void {
  const channel = JSON.stringify(message).length <= DATAGRAM_BYTES_MAXIMUM ? 'datagram' : 'stream'
  context.emit({ kind: 'send', to, address, channel, message })
}

/** Sends a message to the given nodes, except this one and those whose addresses are unknown. */
export function sendAll (nodes: Iterable<string>, message: Messages.OwnershipMessage, context: Controllers.StepContext): void {
  for (const node of new Set(nodes)) {
    const member = context.board.members.get(node as Ids.NodeId)
    if (member !== undefined && node !== context.board.identity.node) send(member.node, member.address, message, context)
  }
}
