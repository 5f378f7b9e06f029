/** Proposes roster changes, collects signatures and appends to the log. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import type * as Members from '../membership/members.js'
import type * as Messages from './message.js'
import type * as Reading from './reading.js'
import type * as Roster from './roster.js'
import type * as Records from './roster-record.js'
import * as Sending from './sending.js'
import * as Standing from './standing.js'
import * as Witnessing from './witnessing.js'
import * as Witnesses from './witnesses.js'

/** Removals are urgent: fresh keys of a lost owner are not served until it is removed. */
const REMOVAL_DELAY = Clock.milliseconds(300)
/** Joins wait for company: at 11,000 restarts a day they would otherwise double the appends. */
const JOIN_DELAY = Clock.seconds(30)
/** The next reader in order takes over after this time. */
const TAKE_OVER = Clock.seconds(3)
const RESEND_INTERVAL = Clock.milliseconds(500)
/** A proposal that gets no majority, or whose append shows no effect, is made anew. */
const PROPOSAL_LIMIT = Clock.seconds(3)
/** Comparing the roster with all members takes about a millisecond at 2,600 nodes. */
const REVIEW_INTERVAL = Clock.milliseconds(500)
const FAILED_APPEND_DELAY = Clock.seconds(2)
/** Before a genesis the peers have time to tell of an existing roster. */
const FOUNDING_DELAY = Clock.seconds(5)

interface Proposal {
  readonly id: string
  readonly change: Records.Change
  readonly signatures: Set<string>
  readonly madeAt: number
  sentAt: number
  appended: boolean
}

export class Proposing {
  readonly leaving = new Set<string>()
  private proposal: Proposal | undefined
  private startedAt: number | undefined
  private removalSince: number | undefined
  private joinSince: number | undefined
  private quietUntil = 0
  private reviewAt = 0
  private tokens = new Set<string>()

  constructor (private readonly reading: Reading.Reading) {}

  tick (turn: Controllers.Turn): void {
    this.startedAt ??= turn.now
    const { identity, keys } = turn.board
    const place = this.reading.order.indexOf(identity.node)
    if (place < 0 || !this.reading.caughtUp) {
      this.proposal = undefined
      return
    }
    if (turn.now < this.quietUntil && this.quietUntil - turn.now <= PROPOSAL_LIMIT) return
    const roster = keys.rosters.get(identity.region)
    if (roster === undefined) {
      this.found(place, turn)
      return
    }
    this.snapshot(roster, place, turn)
    if (this.proposal !== undefined) {
      this.pursue(this.proposal, roster, turn)
      return
    }
    if (turn.now < this.reviewAt && this.reviewAt - turn.now <= REVIEW_INTERVAL) return
    this.reviewAt = turn.now + REVIEW_INTERVAL
    this.review(roster, place, turn)
  }

  /** Nodes that asked to leave are remembered while Membership knows their incarnation. */
  forgetLeavers (turn: Controllers.Turn): void {
    const known = new Set([...turn.board.members.byNode.values()].map(member => Standing.name(member.node, member.incarnation)))
    for (const leaver of this.leaving) if (!known.has(leaver)) this.leaving.delete(leaver)
  }

  private review (roster: Roster.Roster, place: number, turn: Controllers.Turn): void {
    const change = this.wanted(roster, turn)
    this.removalSince = change.removals.length > 0 || change.repairs ? this.removalSince ?? turn.now : undefined
    this.joinSince = change.joins.length > 0 ? this.joinSince ?? turn.now : undefined
    const waited = Math.max(
      this.removalSince === undefined ? -Infinity : turn.now - this.removalSince - REMOVAL_DELAY,
      this.joinSince === undefined ? -Infinity : turn.now - this.joinSince - JOIN_DELAY
    )
    if (waited >= place * TAKE_OVER) this.propose(roster, change, turn)
  }

  signed (id: string, from: Ids.NodeId, turn: Controllers.Turn): void {
    if (this.proposal?.id !== id) return
    this.proposal.signatures.add(from)
    const roster = turn.board.keys.rosters.get(turn.board.identity.region)
    if (roster !== undefined) this.pursue(this.proposal, roster, turn)
  }

  /** Only a certain failure is acted on at once; an unknown one shows in the log or is repeated, which does no harm. */
  appended (event: Events.AppendFinished, turn: Controllers.Turn): void {
    if (!this.tokens.delete(event.token) || event.result !== 'failed') return
    this.proposal = undefined
    this.quietUntil = turn.now + FAILED_APPEND_DELAY
  }

  private wanted (roster: Roster.Roster, turn: Controllers.Turn): { joins: Records.Member[], removals: Records.Change['removals'], repairs: boolean } {
    const current = roster.members()
    const isWorking = (node: Ids.NodeId, incarnation: number): boolean => Standing.isWorking(node, incarnation, this.leaving, turn)
    const listed = new Set(current.map(member => Standing.name(member.node, member.incarnation)))
    const removals = current.filter(member => !isWorking(member.node, member.incarnation))
    const joins = this.candidates(turn).filter(member =>
      member.region === roster.region && member.state === 'alive' && !listed.has(Standing.name(member.node, member.incarnation)))
    const { witnesses } = roster.latest.promises
    const repairs = witnesses.some(witness => !isWorking(witness.node as Ids.NodeId, witness.incarnation)) ||
      (witnesses.length < Witnesses.WITNESSES && Witnesses.choose(roster.region, this.candidates(turn), witnesses).length > witnesses.length)
    return {
      removals: removals.map(({ node, incarnation }) => ({ node, incarnation })),
      joins: joins.map(({ node, incarnation, dataCenter }) => ({ node, incarnation, dataCenter })),
      repairs
    }
  }

  private candidates (turn: Controllers.Turn): Members.Member[] {
    return turn.board.members.usable().filter(member => !this.leaving.has(Standing.name(member.node, member.incarnation)))
  }

  private propose (roster: Roster.Roster, wanted: Pick<Records.Change, 'joins' | 'removals'>, turn: Controllers.Turn): void {
    const witnesses = Witnesses.choose(roster.region, this.candidates(turn), roster.latest.promises.witnesses)
    if (witnesses.length === 0) return
    const { joins, removals } = wanted
    const change: Records.Change = { kind: 'change', region: roster.region, base: roster.version, joins, removals, witnesses, signatures: [] }
    this.proposal = { id: turn.freshId(), change, signatures: new Set(), madeAt: turn.now, sentAt: -Infinity, appended: false }
    this.removalSince = undefined
    this.joinSince = undefined
    this.pursue(this.proposal, roster, turn)
  }

  private pursue (proposal: Proposal, roster: Roster.Roster, turn: Controllers.Turn): void {
    const age = turn.now - proposal.madeAt
    if (roster.version !== proposal.change.base || age > PROPOSAL_LIMIT || age < 0) {
      this.proposal = undefined
      return
    }
    if (proposal.appended) return
    const { witnesses, majority } = roster.latest.promises
    const { node } = turn.board.identity
    if (witnesses.some(witness => witness.node === node) && Witnessing.agrees(proposal.change, this.leaving, turn)) proposal.signatures.add(node)
    if (witnesses.filter(witness => proposal.signatures.has(witness.node)).length >= majority) {
      proposal.appended = true
      this.append({ ...proposal.change, signatures: [...proposal.signatures].sort() }, turn)
      return
    }
    if (turn.now - proposal.sentAt < RESEND_INTERVAL) return
    proposal.sentAt = turn.now
    const message: Messages.OwnershipMessage = { kind: 'roster-proposal', id: proposal.id, change: proposal.change }
    Sending.sendAll(witnesses.map(witness => witness.node).filter(witness => !proposal.signatures.has(witness)), message, turn)
  }

  private append (record: Records.RosterRecord, turn: Controllers.Turn): void {
    const token = turn.freshId()
    this.tokens.add(token)
    turn.emit({ kind: 'append-log', stream: 'roster', token, body: JSON.stringify(record) })
  }

  private found (place: number, turn: Controllers.Turn): void {
    const { region } = turn.board.identity
    const age = turn.now - (this.startedAt ?? turn.now)
    if (age < FOUNDING_DELAY + place * TAKE_OVER) return
    const usable = this.candidates(turn)
    const members = usable.filter(member => member.region === region)
    const witnesses = Witnesses.choose(region, usable, [])
    if (witnesses.length === 0) return
    this.append({
      kind: 'genesis',
      region,
      effective: turn.now,
      shared: [...new Set(usable.map(member => member.region))].sort(),
      members: members.map(({ node, incarnation, dataCenter }) => ({ node, incarnation, dataCenter })),
      witnesses
    }, turn)
    this.quietUntil = turn.now + PROPOSAL_LIMIT
  }

  /** Keeps a whole state of the region in the log: at half the retention, so that two outages fit in between. */
  private snapshot (roster: Roster.Roster, place: number, turn: Controllers.Turn): void {
    const { wholeAt, logTime, retention, position } = this.reading
    const age = logTime - (wholeAt.get(roster.region) ?? -Infinity)
    if (age < retention / 2 + place * TAKE_OVER || roster.offset < position) return
    this.append({ kind: 'snapshot', state: roster.state() }, turn)
    this.quietUntil = turn.now + PROPOSAL_LIMIT
  }
}
