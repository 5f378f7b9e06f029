/** Whether members of a roster still work, in this node's view. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'

/** Name of a node incarnation in sets. */
export function name (node: string, incarnation: number): string {
  return `${node} ${incarnation}`
}

/** False for a member that is dead, has left, was restarted, is stopping, or is not known at all. */
export function isWorking (node: Ids.NodeId, incarnation: number, leaving: ReadonlySet<string>, turn: Controllers.Turn): boolean {
  const member = turn.board.members.get(node)
  if (member === undefined || member.incarnation > incarnation) return false
  if (leaving.has(name(node, incarnation))) return false
  return member.state === 'alive' || member.state === 'suspect'
}
