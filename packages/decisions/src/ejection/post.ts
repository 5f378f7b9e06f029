/** Sends ejection messages; those to this node itself are delivered within the same step. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as Messages from './message.js'

/** Room in a 1,200-byte datagram beside the JSON-RPC envelope. */
const DATAGRAM_BYTES = 1_000

export class Post {
  private readonly toSelf: Messages.EjectionMessage[] = []

  send (to: Ids.NodeId, message: Messages.EjectionMessage, turn: Controllers.Turn): void {
    if (to === turn.board.identity.node) {
      this.toSelf.push(message)
      return
    }
    const address = turn.board.members.get(to)?.address
    if (address === undefined) return
    const channel = JSON.stringify(message).length <= DATAGRAM_BYTES ? 'datagram' : 'stream'
    turn.emit({ kind: 'send', to, address, channel, message })
  }

  next (): Messages.EjectionMessage | undefined {
    return this.toSelf.shift()
  }
}

/** Groups targets by the node that hosts them. */
export function byHost (ids: readonly Ids.TargetId[], turn: Controllers.Turn): Map<Ids.NodeId, Ids.TargetId[]> {
  const groups = new Map<Ids.NodeId, Ids.TargetId[]>()
  for (const id of ids) {
    const host = turn.board.targets.get(id)?.host
    if (host === undefined) continue
    const group = groups.get(host) ?? []
    group.push(id)
    groups.set(host, group)
  }
  return groups
}
