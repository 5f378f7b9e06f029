/** Whether the members of a roster are available, in this node's view. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'

/** Text that identifies a node incarnation in sets. */
export function incarnationKey (node: string, incarnation: number): string {
  return `${node} ${incarnation}`
}

/** False for a member that is dead, has left, has restarted since, is stopping (in `leaving`), or is unknown. */
export function isAvailable (node: Ids.NodeId, incarnation: number, leaving: ReadonlySet<string>, context: Controllers.StepContext): boolean {
  const member = context.board.members.get(node)
  if (member === undefined || member.incarnation > incarnation) return false
  if (leaving.has(incarnationKey(node, incarnation))) return false
  return member.state === 'alive' || member.state === 'suspect'
}
