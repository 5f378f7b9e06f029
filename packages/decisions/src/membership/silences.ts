/**
 * Data centers that do not answer this node as a whole. Each node finds this out by its own probes and overlays it
 * on the table of members: nothing is spread but a hint to probe, so neither the loss of a data center nor the end
 * of a partition causes an update for each of its members.
 */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as Tables from './member-table.js'

/** Smaller data centers are left to the suspicion of single members. */
const MEMBERS_MINIMUM = 4
/** Members that must fail to answer. */
const FAILURES_MINIMUM = 3
const PROBES_WHILE_DOUBTED = 3
const PROBES_WHILE_SILENT = 1
const PROBE_PERIOD = Clock.seconds(1)
/** From the first lost probe to the members counting as dead: a probe's time and the suspicion time. */
const DOUBT = Clock.seconds(4)
/** How long a hint is ignored after a member of the data center has answered. */
const ANSWER_VALIDITY = Clock.seconds(2)

interface Silence {
  readonly since: Clock.Milliseconds
  readonly members: readonly Tables.Entry[]
  readonly failed: Set<Ids.NodeId>
  nextAt: Clock.Milliseconds
  hinted: boolean
  silentSince: Clock.Milliseconds | undefined
}

export interface Actions {
  probe (member: Tables.Entry, turn: Controllers.Turn): void
  /** Tells other nodes to look for themselves. */
  hint (dataCenter: Ids.DataCenter, turn: Controllers.Turn): void
  /** The members of the data center count as dead from now on, or no longer. */
  changed (dataCenter: Ids.DataCenter, turn: Controllers.Turn): void
}

export class Silences {
  private readonly states = new Map<Ids.DataCenter, Silence>()
  private readonly answeredAt = new Map<Ids.DataCenter, Clock.Milliseconds>()

  constructor (private readonly table: Tables.MemberTable, private readonly actions: Actions) {}

  /** Since when the members of the data center count as dead; undefined when they do not. */
  silentSince (dataCenter: Ids.DataCenter): Clock.Milliseconds | undefined {
    return this.states.get(dataCenter)?.silentSince
  }

  /** Notes a failed probe; returns whether the data center is in doubt, so that no single member is to be suspected yet. */
  probeFailed (member: Tables.Entry, turn: Controllers.Turn): boolean {
    const state = this.states.get(member.dataCenter) ?? this.begin(member.dataCenter, turn)
    state?.failed.add(member.node)
    return state !== undefined
  }

  /** Notes an answer from a member; returns those that did not answer and are now to be suspected singly. */
  answered (dataCenter: Ids.DataCenter, turn: Controllers.Turn): readonly Ids.NodeId[] {
    this.answeredAt.set(dataCenter, turn.now)
    const state = this.states.get(dataCenter)
    if (state === undefined) return []
    this.states.delete(dataCenter)
    if (state.silentSince === undefined) return [...state.failed]
    turn.record({ controller: 'membership', decision: 'data-center-answers', evidence: `${dataCenter}, silent for ${turn.now - state.silentSince} ms` })
    this.actions.changed(dataCenter, turn)
    return []
  }

  /** Another node had no answer from the data center. */
  hinted (dataCenter: Ids.DataCenter, turn: Controllers.Turn): void {
    const answered = this.answeredAt.get(dataCenter)
    const recent = answered !== undefined && turn.now - answered < ANSWER_VALIDITY
    if (!recent && !this.states.has(dataCenter)) this.begin(dataCenter, turn)
  }

  tick (turn: Controllers.Turn): void {
    for (const [dataCenter, state] of this.states) {
      if (turn.now >= state.nextAt) this.probe(state, turn)
      if (state.failed.size < FAILURES_MINIMUM || state.silentSince !== undefined) continue
      if (!state.hinted) {
        state.hinted = true
        this.actions.hint(dataCenter, turn)
      }
      if (turn.now - state.since < DOUBT) continue
      state.silentSince = turn.now
      turn.record({ controller: 'membership', decision: 'data-center-silent', evidence: `${dataCenter}, no answer from ${state.failed.size} members` })
      this.actions.changed(dataCenter, turn)
    }
  }

  /** Forgets a data center whose members have been removed. */
  forget (dataCenter: Ids.DataCenter): void {
    this.states.delete(dataCenter)
  }

  /** Data centers silent for longer than `limit`. */
  longerThan (limit: Clock.Milliseconds, now: Clock.Milliseconds): Ids.DataCenter[] {
    return [...this.states].filter(([, { silentSince }]) => silentSince !== undefined && now - silentSince > limit).map(([name]) => name)
  }

  private begin (dataCenter: Ids.DataCenter, turn: Controllers.Turn): Silence | undefined {
    if (dataCenter === turn.board.identity.dataCenter) return undefined
    const members = this.table.living(dataCenter)
    if (members.length < MEMBERS_MINIMUM) return undefined
    const since = Clock.milliseconds(turn.now - PROBE_PERIOD)
    const state = { since, members, failed: new Set<Ids.NodeId>(), nextAt: turn.now, hinted: false, silentSince: undefined }
    this.states.set(dataCenter, state)
    return state
  }

  private probe (state: Silence, turn: Controllers.Turn): void {
    state.nextAt = Clock.add(turn.now, PROBE_PERIOD)
    const untried = state.members.filter(member => !state.failed.has(member.node))
    const candidates = untried.length > 0 ? untried : state.members
    const wanted = state.silentSince === undefined ? PROBES_WHILE_DOUBTED : PROBES_WHILE_SILENT
    const start = turn.random.below(candidates.length)
    const chosen = [...candidates.slice(start), ...candidates.slice(0, start)].slice(0, wanted)
    for (const member of chosen) this.actions.probe(member, turn)
    // All members were tried in vain; the next ones are tried again.
    if (untried.length === 0 && state.silentSince !== undefined) state.failed.clear()
  }
}
