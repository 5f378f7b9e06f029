/** Proposes roster changes, collects the signatures of witnesses, and appends changes, geneses and snapshots to the log. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import type * as Members from '../membership/members.js'
import type * as Messages from './message.js'
import type * as RosterLogReaders from './roster-log-reader.js'
import type * as Rosters from './roster.js'
import type * as RosterRecords from './roster-record.js'
import * as Transport from './transport.js'
import * as MemberAvailability from './member-availability.js'
import * as WitnessRoles from './witness-role.js'
import * as WitnessSelection from './witness-selection.js'

/** Removals are urgent: new keys of a failed owner are not served until it is removed. */
const REMOVAL_DELAY = Clock.milliseconds(300)
/** Joins are batched: at 11,000 restarts a day, single joins would double the appends. */
const JOIN_DELAY = Clock.seconds(30)
/** Each reader waits this much longer than the reader before it, so that it only acts if that one does not. */
const TAKEOVER_DELAY = Clock.seconds(3)
const RESEND_INTERVAL = Clock.milliseconds(500)
/** A proposal without a majority of signatures, or without an effect of its append, is discarded after this time. */
const PROPOSAL_TIMEOUT = Clock.seconds(3)
/** Comparing the roster with all members takes about a millisecond at 2,600 nodes. */
const REVIEW_INTERVAL = Clock.milliseconds(500)
const APPEND_RETRY_DELAY = Clock.seconds(2)
/** Before a genesis is appended, peers have this time to send an existing roster. */
const GENESIS_DELAY = Clock.seconds(5)

interface Proposal {
  readonly id: string
  readonly change: RosterRecords.RosterChange
  readonly signatures: Set<string>
  readonly createdAt: number
  sentAt: number
  isAppended: boolean
}

export class RosterProposer {
  /** Node incarnations that are stopping and asked to be removed. */
  readonly leavingMembers = new Set<string>()
  private proposal: Proposal | undefined
  private startedAt: number | undefined
  /** Since when a removal or a replacement of witnesses has been needed. */
  private removalNeededSince: number | undefined
  private joinNeededSince: number | undefined
  private pausedUntil = 0
  private nextReviewAt = 0
  /** Tokens of the appends that have not been answered. */
  private pendingAppends = new Set<string>()

  constructor (private readonly logReader: RosterLogReaders.RosterLogReader) {}

  tick (context: Controllers.StepContext): void {
    this.startedAt ??= context.now
    const { identity, keys } = context.board
    const rank = this.logReader.readers.indexOf(identity.node)
    if (rank < 0 || !this.logReader.isCaughtUp) {
      this.proposal = undefined
      return
    }
    if (context.now < this.pausedUntil && this.pausedUntil - context.now <= PROPOSAL_TIMEOUT) return
    const roster = keys.rosters.get(identity.region)
    if (roster === undefined) {
      this.appendGenesis(rank, context)
      return
    }
    this.appendSnapshot(roster, rank, context)
    if (this.proposal !== undefined) {
      this.advanceProposal(this.proposal, roster, context)
      return
    }
    if (context.now < this.nextReviewAt && this.nextReviewAt - context.now <= REVIEW_INTERVAL) return
    this.nextReviewAt = context.now + REVIEW_INTERVAL
    this.review(roster, rank, context)
  }

  /** Removes leaving members whose incarnation Membership no longer knows. */
  pruneLeavingMembers (context: Controllers.StepContext): void {
    const known = new Set([...context.board.members.byNode.values()].map(member => MemberAvailability.incarnationKey(member.node, member.incarnation)))
    for (const member of this.leavingMembers) if (!known.has(member)) this.leavingMembers.delete(member)
  }

  private review (roster: Rosters.Roster, rank: number, context: Controllers.StepContext): void {
    const change = this.requiredChange(roster, context)
    this.removalNeededSince = change.removals.length > 0 || change.replacesWitnesses ? this.removalNeededSince ?? context.now : undefined
    this.joinNeededSince = change.joins.length > 0 ? this.joinNeededSince ?? context.now : undefined
    const overdue = Math.max(
      this.removalNeededSince === undefined ? -Infinity : context.now - this.removalNeededSince - REMOVAL_DELAY,
      this.joinNeededSince === undefined ? -Infinity : context.now - this.joinNeededSince - JOIN_DELAY
    )
    if (overdue >= rank * TAKEOVER_DELAY) this.propose(roster, change, context)
  }

  addSignature (id: string, from: Ids.NodeId, context: Controllers.StepContext): void {
    if (this.proposal?.id !== id) return
    this.proposal.signatures.add(from)
    const roster = context.board.keys.rosters.get(context.board.identity.region)
    if (roster !== undefined) this.advanceProposal(this.proposal, roster, context)
  }

  /**
   * Only handles a certain failure. If the result is unknown, either the change appears in the log or it is proposed
   * again, which is harmless because only one change of a version takes effect.
   */
  handleAppendFinished (event: Events.AppendFinished, context: Controllers.StepContext): void {
    if (!this.pendingAppends.delete(event.token) || event.result !== 'failed') return
    this.proposal = undefined
    this.pausedUntil = context.now + APPEND_RETRY_DELAY
  }

  /** Difference between the roster and the members, and whether witnesses must be replaced or added. */
  private requiredChange (roster: Rosters.Roster, context: Controllers.StepContext): { joins: RosterRecords.Member[], removals: RosterRecords.RosterChange['removals'], replacesWitnesses: boolean } {
    const current = roster.members()
    const isAvailable = (node: Ids.NodeId, incarnation: number): boolean => MemberAvailability.isAvailable(node, incarnation, this.leavingMembers, context)
    const listedMembers = new Set(current.map(member => MemberAvailability.incarnationKey(member.node, member.incarnation)))
    const removals = current.filter(member => !isAvailable(member.node, member.incarnation))
    const joins = this.availableMembers(context).filter(member =>
      member.region === roster.region && member.state === 'alive' && !listedMembers.has(MemberAvailability.incarnationKey(member.node, member.incarnation)))
    const { witnesses } = roster.latest.promises
    const replacesWitnesses = witnesses.some(witness => !isAvailable(witness.node as Ids.NodeId, witness.incarnation)) ||
      (witnesses.length < WitnessSelection.WITNESS_COUNT && WitnessSelection.select(roster.region, this.availableMembers(context), witnesses).length > witnesses.length)
    return {
      removals: removals.map(({ node, incarnation }) => ({ node, incarnation })),
      joins: joins.map(({ node, incarnation, dataCenter }) => ({ node, incarnation, dataCenter })),
      replacesWitnesses
    }
  }

  private availableMembers (context: Controllers.StepContext): Members.Member[] {
    return context.board.members.usable().filter(member => !this.leavingMembers.has(MemberAvailability.incarnationKey(member.node, member.incarnation)))
  }

  private propose (roster: Rosters.Roster, required: Pick<RosterRecords.RosterChange, 'joins' | 'removals'>, context: Controllers.StepContext): void {
    const witnesses = WitnessSelection.select(roster.region, this.availableMembers(context), roster.latest.promises.witnesses)
    if (witnesses.length === 0) return
    const { joins, removals } = required
    const change: RosterRecords.RosterChange = { kind: 'change', region: roster.region, base: roster.version, joins, removals, witnesses, signatures: [] }
    this.proposal = { id: context.freshId(), change, signatures: new Set(), createdAt: context.now, sentAt: -Infinity, isAppended: false }
    this.removalNeededSince = undefined
    this.joinNeededSince = undefined
    this.advanceProposal(this.proposal, roster, context)
  }

  /** Appends the change once a majority of the witnesses has signed it; until then, sends it to the others again. */
  private advanceProposal (proposal: Proposal, roster: Rosters.Roster, context: Controllers.StepContext): void {
    const age = context.now - proposal.createdAt
    if (roster.version !== proposal.change.base || age > PROPOSAL_TIMEOUT || age < 0) {
      this.proposal = undefined
      return
    }
    if (proposal.isAppended) return
    const { witnesses, majority } = roster.latest.promises
    const { node } = context.board.identity
    if (witnesses.some(witness => witness.node === node) && WitnessRoles.acceptsRemovals(proposal.change, this.leavingMembers, context)) proposal.signatures.add(node)
    if (witnesses.filter(witness => proposal.signatures.has(witness.node)).length >= majority) {
      proposal.isAppended = true
      this.append({ ...proposal.change, signatures: [...proposal.signatures].sort() }, context)
      return
    }
    if (context.now - proposal.sentAt < RESEND_INTERVAL) return
    proposal.sentAt = context.now
    const message: Messages.OwnershipMessage = { kind: 'roster-proposal', id: proposal.id, change: proposal.change }
    Transport.sendAll(witnesses.map(witness => witness.node).filter(witness => !proposal.signatures.has(witness)), message, context)
  }

  private append (record: RosterRecords.RosterRecord, context: Controllers.StepContext): void {
    const token = context.freshId()
    this.pendingAppends.add(token)
    context.emit({ kind: 'append-log', stream: 'roster', token, body: JSON.stringify(record) })
  }

  private appendGenesis (rank: number, context: Controllers.StepContext): void {
    const { region } = context.board.identity
    const age = context.now - (this.startedAt ?? context.now)
    if (age < GENESIS_DELAY + rank * TAKEOVER_DELAY) return
    const usable = this.availableMembers(context)
    const members = usable.filter(member => member.region === region)
    const witnesses = WitnessSelection.select(region, usable, [])
    if (witnesses.length === 0) return
    this.append({
      kind: 'genesis',
      region,
      effective: context.now,
      shared: [...new Set(usable.map(member => member.region))].sort(),
      members: members.map(({ node, incarnation, dataCenter }) => ({ node, incarnation, dataCenter })),
      witnesses
    }, context)
    this.pausedUntil = context.now + PROPOSAL_TIMEOUT
  }

  /**
   * Appends a snapshot when the last complete state in the log is half the log retention old, so that two log outages
   * fit in before that state is dropped.
   */
  private appendSnapshot (roster: Rosters.Roster, rank: number, context: Controllers.StepContext): void {
    const { snapshotTimes, logTime, retention, nextOffset } = this.logReader
    const age = logTime - (snapshotTimes.get(roster.region) ?? -Infinity)
    if (age < retention / 2 + rank * TAKEOVER_DELAY || roster.offset < nextOffset) return
    this.append({ kind: 'snapshot', state: roster.toState() }, context)
    this.pausedUntil = context.now + PROPOSAL_TIMEOUT
  }
}
