/** Sends ejection messages. Messages to this node itself are queued and handled in the same step. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as Messages from './message.js'

/** Space in a 1,200-byte datagram without the JSON-RPC envelope; longer messages are sent over a stream. */
const DATAGRAM_BYTES = 1_000

export class MessageSender {
  private readonly localQueue: Messages.EjectionMessage[] = []

  send (to: Ids.NodeId, message: Messages.EjectionMessage, context: Controllers.StepContext): void {
    if (to === context.board.identity.node) {
      this.localQueue.push(message)
      return
    }
    const address = context.board.members.get(to)?.address
    if (address === undefined) return
    const channel = JSON.stringify(message).length <= DATAGRAM_BYTES ? 'datagram' : 'stream'
    context.emit({ kind: 'send', to, address, channel, message })
  }

  /** Removes the first message from this node to itself. */
  takeLocal (): Messages.EjectionMessage | undefined {
    return this.localQueue.shift()
  }
}

/** Groups targets by their host; unknown targets are left out. */
export function groupByHost (ids: readonly Ids.TargetId[], context: Controllers.StepContext): Map<Ids.NodeId, Ids.TargetId[]> {
  const groups = new Map<Ids.NodeId, Ids.TargetId[]>()
  for (const id of ids) {
    const host = context.board.targets.get(id)?.host
    if (host === undefined) continue
    const group = groups.get(host) ?? []
    group.push(id)
    groups.set(host, group)
  }
  return groups
}
