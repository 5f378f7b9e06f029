/** The witness's part: promises for the latest version, final promises for earlier ones, signatures. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as Summaries from './summary.js'
import type * as Messages from './message.js'
import type * as OwnershipRules from './ownership-rules.js'
import type * as Roster from './roster.js'
import type * as Records from './roster-record.js'
import * as Sending from './sending.js'
import * as Standing from './standing.js'

export class Witnessing {
  constructor (private readonly rules: OwnershipRules.OwnershipRules) {}

  /** Extends or finishes this node's promises in every roster that names it as a witness. */
  tick (turn: Controllers.Turn): void {
    for (const roster of turn.board.keys.rosters.byRegion.values()) {
      const changed = roster.versions.filter(version => this.renew(roster, version, turn)).length > 0
      if (!changed) continue
      roster.close()
      const witnesses = Summaries.recent(roster, turn.now).flatMap(version => version.promises.witnesses.map(witness => witness.node))
      Sending.sendAll(witnesses, Summaries.of(roster, turn.now), turn)
    }
  }

  private renew (roster: Roster.Roster, version: Roster.RosterVersion, turn: Controllers.Turn): boolean {
    const { identity } = turn.board
    const { promises } = version
    const index = promises.witnesses.findIndex(witness => witness.node === identity.node)
    const witness = promises.witnesses[index]
    if (witness === undefined || witness.incarnation > identity.incarnation) return false
    if (witness.incarnation < identity.incarnation) {
      return promises.ended[index] === 0 && promises.end(index, this.rules.predecessorPromise(turn.now))
    }
    const extended = this.rules.mayExtend(version, roster) && promises.extend(index, this.rules.promise(turn.now))
    // A witness that never promised ends at 1, because 0 stands for "may still rise".
    const ended = version !== roster.latest && promises.end(index, Math.max(1, promises.until[index] ?? 0))
    return extended || ended
  }

  /** Signs a proposal unless this node sees a removed member working. */
  sign (proposal: Messages.RosterProposal, from: Ids.NodeId, address: Ids.Endpoint, leaving: ReadonlySet<string>, turn: Controllers.Turn): void {
    const { change, id } = proposal
    const roster = turn.board.keys.rosters.get(change.region as Ids.Region)
    if (roster?.version !== change.base || !agrees(change, leaving, turn)) return
    Sending.send(from, address, { kind: 'roster-signature', id, region: change.region, base: change.base }, turn)
  }
}

/** Whether every removal is plausible here. Signatures keep one node with a wrong view from removing others. */
export function agrees (change: Records.Change, leaving: ReadonlySet<string>, turn: Controllers.Turn): boolean {
  return change.removals.every(({ node, incarnation }) => !Standing.isWorking(node as Ids.NodeId, incarnation, leaving, turn))
}
