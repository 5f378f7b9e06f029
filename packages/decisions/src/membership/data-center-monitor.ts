/**
 * Detects data centers that are unreachable from this node as a whole. While one is, its members count as dead, but
 * their entries stay as they are: each node decides by its own probes, and only a hint to probe is gossiped. So
 * neither the loss of a data center nor the end of a partition causes an update for each of its members.
 *
 * On the wire and in the journal, an unreachable data center is called silent.
 */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as MemberTables from './member-table.js'

/** In data centers with fewer members, members are suspected one by one. */
const MEMBERS_MINIMUM = 4
/** Members whose probes must fail before the data center can count as unreachable. */
const FAILURES_MINIMUM = 3
const PROBES_WHILE_SUSPECTED = 3
const PROBES_WHILE_UNREACHABLE = 1
const PROBE_PERIOD = Clock.seconds(1)
/** Time from the first failed probe until the members count as dead: probe time-out (1 s) plus suspicion time-out (3 s). */
const UNREACHABLE_TIMEOUT = Clock.seconds(4)
/** Hints are ignored for this long after a member of the data center has answered. */
const HINT_SUPPRESSION = Clock.seconds(2)

interface SuspectedDataCenter {
  /** Start of the suspicion: one probe time-out before the first failure or hint. */
  readonly since: Clock.Milliseconds
  /** Members that were neither dead nor left when the suspicion started. */
  readonly members: readonly MemberTables.MemberEntry[]
  readonly failedMembers: Set<Ids.NodeId>
  nextProbeAt: Clock.Milliseconds
  hasHinted: boolean
  /** Undefined while the data center is only suspected. */
  unreachableSince: Clock.Milliseconds | undefined
}

/** Effects that the Membership controller provides. */
export interface Actions {
  probe (member: MemberTables.MemberEntry, context: Controllers.StepContext): void
  /** Asks other nodes to probe the data center themselves. */
  broadcastHint (dataCenter: Ids.DataCenter, context: Controllers.StepContext): void
  /** Called when the members of the data center start or cease to count as dead. */
  handleReachabilityChange (dataCenter: Ids.DataCenter, context: Controllers.StepContext): void
}

export class DataCenterMonitor {
  private readonly suspected = new Map<Ids.DataCenter, SuspectedDataCenter>()
  private readonly answeredAt = new Map<Ids.DataCenter, Clock.Milliseconds>()

  constructor (private readonly table: MemberTables.MemberTable, private readonly actions: Actions) {}

  /** Time since which the members of the data center count as dead; undefined when they do not. */
  unreachableSince (dataCenter: Ids.DataCenter): Clock.Milliseconds | undefined {
    return this.suspected.get(dataCenter)?.unreachableSince
  }

  /** Records a failed probe; returns whether the data center is suspected, in which case the member is not suspected by itself. */
  recordFailure (member: MemberTables.MemberEntry, context: Controllers.StepContext): boolean {
    const state = this.suspected.get(member.dataCenter) ?? this.startSuspicion(member.dataCenter, context)
    state?.failedMembers.add(member.node)
    return state !== undefined
  }

  /** Records an answer from a member, which ends a suspicion; returns the members to suspect one by one instead. */
  recordAnswer (dataCenter: Ids.DataCenter, context: Controllers.StepContext): readonly Ids.NodeId[] {
    this.answeredAt.set(dataCenter, context.now)
    const state = this.suspected.get(dataCenter)
    if (state === undefined) return []
    this.suspected.delete(dataCenter)
    if (state.unreachableSince === undefined) return [...state.failedMembers]
    context.record({ controller: 'membership', decision: 'data-center-answers', evidence: `${dataCenter}, unreachable for ${context.now - state.unreachableSince} ms` })
    this.actions.handleReachabilityChange(dataCenter, context)
    return []
  }

  /** Handles the hint of another node that the data center did not answer. */
  handleHint (dataCenter: Ids.DataCenter, context: Controllers.StepContext): void {
    const lastAnsweredAt = this.answeredAt.get(dataCenter)
    const hasRecentAnswer = lastAnsweredAt !== undefined && context.now - lastAnsweredAt < HINT_SUPPRESSION
    if (!hasRecentAnswer && !this.suspected.has(dataCenter)) this.startSuspicion(dataCenter, context)
  }

  tick (context: Controllers.StepContext): void {
    for (const [dataCenter, state] of this.suspected) {
      if (context.now >= state.nextProbeAt) this.probeMembers(state, context)
      if (state.failedMembers.size < FAILURES_MINIMUM || state.unreachableSince !== undefined) continue
      if (!state.hasHinted) {
        state.hasHinted = true
        this.actions.broadcastHint(dataCenter, context)
      }
      if (context.now - state.since < UNREACHABLE_TIMEOUT) continue
      state.unreachableSince = context.now
      context.record({ controller: 'membership', decision: 'data-center-silent', evidence: `${dataCenter}, no answer from ${state.failedMembers.size} members` })
      this.actions.handleReachabilityChange(dataCenter, context)
    }
  }

  /** Removes the state of a data center whose members have been removed. */
  remove (dataCenter: Ids.DataCenter): void {
    this.suspected.delete(dataCenter)
  }

  /** Data centers that have been unreachable for longer than `limit`. */
  unreachableLongerThan (limit: Clock.Milliseconds, now: Clock.Milliseconds): Ids.DataCenter[] {
    return [...this.suspected].filter(([, { unreachableSince }]) => unreachableSince !== undefined && now - unreachableSince > limit).map(([name]) => name)
  }

  private startSuspicion (dataCenter: Ids.DataCenter, context: Controllers.StepContext): SuspectedDataCenter | undefined {
    if (dataCenter === context.board.identity.dataCenter) return undefined
    const members = this.table.activeMembers(dataCenter)
    if (members.length < MEMBERS_MINIMUM) return undefined
    const since = Clock.milliseconds(context.now - PROBE_PERIOD)
    const state = { since, members, failedMembers: new Set<Ids.NodeId>(), nextProbeAt: context.now, hasHinted: false, unreachableSince: undefined }
    this.suspected.set(dataCenter, state)
    return state
  }

  private probeMembers (state: SuspectedDataCenter, context: Controllers.StepContext): void {
    state.nextProbeAt = Clock.add(context.now, PROBE_PERIOD)
    const untried = state.members.filter(member => !state.failedMembers.has(member.node))
    const candidates = untried.length > 0 ? untried : state.members
    const probeCount = state.unreachableSince === undefined ? PROBES_WHILE_SUSPECTED : PROBES_WHILE_UNREACHABLE
    const start = context.random.below(candidates.length)
    const chosen = [...candidates.slice(start), ...candidates.slice(0, start)].slice(0, probeCount)
    for (const member of chosen) this.actions.probe(member, context)
    // Every member has failed a probe. Start over, so that all of them are probed again.
    if (untried.length === 0 && state.unreachableSince !== undefined) state.failedMembers.clear()
  }
}
