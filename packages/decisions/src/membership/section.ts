/** Writes member entries into section `members` and raises `member-changed`. */
import type * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import * as Ids from '../core/ids.js'
import * as Tables from './member-table.js'

/**
 * Writes one entry; the event is raised when the member is new or its state or incarnation changed.
 * Members of a data center that is silent since `silentSince` count as dead.
 */
export function write (entry: Tables.Entry, silentSince: Clock.Milliseconds | undefined, turn: Controllers.Turn): void {
  const { members } = turn.board
  const known = members.get(entry.node)
  const { node, address, dataCenter, region, incarnation, behindAt } = entry
  const silent = silentSince !== undefined && !Tables.isEnded(entry)
  const { state, since } = silent ? { state: 'dead', since: silentSince } as const : entry
  const restarted = known?.incarnation !== incarnation
  const changed = restarted || known.state !== state
  const configuration = behindAt ?? (restarted ? Ids.version(0) : known.configuration)
  const stated = behindAt === undefined ? {} : { configurationAt: turn.now }
  const stateSince = changed ? since : known.stateSince
  members.byNode.set(node, { node, address, dataCenter, region, incarnation, state, stateSince, configuration, ...stated })
  if (!changed) return
  members.generation += 1
  turn.raise({ kind: 'member-changed', node })
}

export function remove (node: Ids.NodeId, turn: Controllers.Turn): void {
  turn.board.members.byNode.delete(node)
  turn.board.members.generation += 1
  turn.raise({ kind: 'member-changed', node })
}

/** Brings `unansweredSince` of a member up to date. */
export function noteUnanswered (node: Ids.NodeId, since: Clock.Milliseconds | undefined, turn: Controllers.Turn): void {
  const known = turn.board.members.get(node)
  if (known === undefined || known.unansweredSince === since) return
  const { unansweredSince: before, ...rest } = known
  turn.board.members.byNode.set(node, since === undefined ? rest : { ...rest, unansweredSince: before ?? since })
}
