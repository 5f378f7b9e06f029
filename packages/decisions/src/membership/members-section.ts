/** Writes member entries to blackboard section `members` and raises `member-changed`. */
import type * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import * as Ids from '../core/ids.js'
import * as MemberTables from './member-table.js'

/**
 * Writes one entry. The event is raised when the member is new or its state or incarnation has changed.
 * When the member's data center is unreachable as a whole (`unreachableSince`), the member counts as dead.
 */
export function writeMember (entry: MemberTables.MemberEntry, unreachableSince: Clock.Milliseconds | undefined, context: Controllers.StepContext): void {
  const { members } = context.board
  const known = members.get(entry.node)
  const { node, address, dataCenter, region, incarnation, behindAt } = entry
  const isUnreachable = unreachableSince !== undefined && !MemberTables.isDeadOrLeft(entry)
  const { state, stateSince: since } = isUnreachable ? { state: 'dead', stateSince: unreachableSince } as const : entry
  const isNewIncarnation = known?.incarnation !== incarnation
  const isStateChanged = isNewIncarnation || known.state !== state
  const configuration = behindAt ?? (isNewIncarnation ? Ids.version(0) : known.configuration)
  const report = behindAt === undefined ? {} : { configurationAt: context.now }
  const stateSince = isStateChanged ? since : known.stateSince
  members.byNode.set(node, { node, address, dataCenter, region, incarnation, state, stateSince, configuration, ...report })
  if (!isStateChanged) return
  members.generation += 1
  context.raise({ kind: 'member-changed', node })
}

export function removeMember (node: Ids.NodeId, context: Controllers.StepContext): void {
  context.board.members.byNode.delete(node)
  context.board.members.generation += 1
  context.raise({ kind: 'member-changed', node })
}

/** Sets or clears `unansweredSince` of a member; an earlier time is kept. */
export function setUnansweredSince (node: Ids.NodeId, since: Clock.Milliseconds | undefined, context: Controllers.StepContext): void {
  const known = context.board.members.get(node)
  if (known === undefined || known.unansweredSince === since) return
  const { unansweredSince: previous, ...rest } = known
  context.board.members.byNode.set(node, since === undefined ? rest : { ...rest, unansweredSince: previous ?? since })
}
