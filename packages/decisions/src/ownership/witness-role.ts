/** What a witness (lease grantor) does: it extends promises for the latest version, ends those for earlier ones, and signs changes. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as PromiseSummaries from './promise-summary.js'
import type * as Messages from './message.js'
import type * as OwnershipRules from './ownership-rules.js'
import type * as Rosters from './roster.js'
import type * as RosterRecords from './roster-record.js'
import * as Transport from './transport.js'
import * as MemberAvailability from './member-availability.js'

export class WitnessRole {
  constructor (private readonly rules: OwnershipRules.OwnershipRules) {}

  /** Extends or ends the promises of this node in every roster that lists it as a witness. */
  tick (context: Controllers.StepContext): void {
    for (const roster of context.board.keys.rosters.byRegion.values()) {
      const changed = roster.versions.filter(version => this.updatePromise(roster, version, context)).length > 0
      if (!changed) continue
      roster.deriveStarts()
      const witnesses = PromiseSummaries.recentVersions(roster, context.now).flatMap(version => version.promises.witnesses.map(witness => witness.node))
      Transport.sendAll(witnesses, PromiseSummaries.summarize(roster, context.now), context)
    }
  }

  /** Returns whether the promise for a version was extended or ended. */
  private updatePromise (roster: Rosters.Roster, version: Rosters.RosterVersion, context: Controllers.StepContext): boolean {
    const { identity } = context.board
    const { promises } = version
    const index = promises.witnesses.findIndex(witness => witness.node === identity.node)
    const witness = promises.witnesses[index]
    if (witness === undefined || witness.incarnation > identity.incarnation) return false
    if (witness.incarnation < identity.incarnation) {
      return promises.ended[index] === 0 && promises.end(index, this.rules.predecessorPromiseBound(context.now))
    }
    const extended = this.rules.mayExtend(version, roster) && promises.extend(index, this.rules.nextPromise(context.now))
    // The promise of a witness that never gave one ends at 1, because 0 means that it may still be extended.
    const ended = version !== roster.latest && promises.end(index, Math.max(1, promises.until[index] ?? 0))
    return extended || ended
  }

  /** Signs a proposed change of the current version, unless a member that it removes is available in this node's view. */
  sign (proposal: Messages.RosterProposal, from: Ids.NodeId, address: Ids.Endpoint, leaving: ReadonlySet<string>, context: Controllers.StepContext): void {
    const { change, id } = proposal
    const roster = context.board.keys.rosters.get(change.region as Ids.Region)
    if (roster?.version !== change.base || !acceptsRemovals(change, leaving, context)) return
    Transport.send(from, address, { kind: 'roster-signature', id, region: change.region, base: change.base }, context)
  }
}

/** Whether this node agrees with all removals. With signatures, one node with a wrong view cannot remove others. */
export function acceptsRemovals (change: RosterRecords.RosterChange, leaving: ReadonlySet<string>, context: Controllers.StepContext): boolean {
  return change.removals.every(({ node, incarnation }) => !MemberAvailability.isAvailable(node as Ids.NodeId, incarnation, leaving, context))
}
