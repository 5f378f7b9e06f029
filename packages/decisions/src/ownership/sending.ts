/** Sends control messages over the channel that fits their size. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as Messages from './message.js'

/** Leaves room for the JSON-RPC envelope in a datagram of 1,200 bytes. */
const DATAGRAM_BYTES = 1_050

export function send (to: Ids.NodeId, address: Ids.Endpoint, message: Messages.OwnershipMessage, turn: Controllers.Turn): void {
  const channel = JSON.stringify(message).length <= DATAGRAM_BYTES ? 'datagram' : 'stream'
  turn.emit({ kind: 'send', to, address, channel, message })
}

/** Sends to each node whose address is known, except this one. */
export function sendAll (nodes: Iterable<string>, message: Messages.OwnershipMessage, turn: Controllers.Turn): void {
  for (const node of new Set(nodes)) {
    const member = turn.board.members.get(node as Ids.NodeId)
    if (member !== undefined && node !== turn.board.identity.node) send(member.node, member.address, message, turn)
  }
}
