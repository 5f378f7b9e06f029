/** Requests of one kind (call or direct, priority, route) in a fair queue, and what starts before one of them. */
import type * as RecentWorks from './recent-work.js'
import type * as RequestQueues from './request-queue.js'
import type * as StartMixes from './start-mix.js'

export interface Waiting<Kind = RequestQueues.QueuedRequest> {
  readonly request: Kind
  /** Expected service time in ms. */
  readonly cost: number
  readonly account: RecentWorks.Flow | undefined
  /** Weighted recent work of the account, including what waited when the request came; zero without accounts. */
  readonly rank: number
  /** Arrival plus cost: short requests go before long ones that came a little earlier. */
  readonly order: number
}

export interface Lane {
  readonly isCall: boolean
  readonly priority: number
  /** Recent work of the route. */
  readonly flow: RecentWorks.Flow
  /** In the order in which they start. */
  readonly entries: Waiting[]
  /** Total cost of the entries. */
  work: number
}

/** Requests, and their total cost in ms. */
export interface Amount {
  readonly work: number
  readonly count: number
}

/** Minimum shares, as intervals of starts. */
export interface Shares {
  readonly direct: number
  readonly lessUrgent: number
}

export function positionOf (lane: Lane, waiting: Waiting<unknown>): number {
  const index = lane.entries.findIndex(other => waiting.rank < other.rank || (waiting.rank === other.rank && waiting.order < other.order))
  return index < 0 ? lane.entries.length : index
}

export function insert (lane: Lane, waiting: Waiting): void {
  lane.entries.splice(positionOf(lane, waiting), 0, waiting)
  lane.work += waiting.cost
}

export function removeAt (lane: Lane, index: number): Waiting | undefined {
  const [removed] = lane.entries.splice(index, 1)
  if (removed !== undefined) lane.work -= removed.cost
  return removed
}

/** Total cost of the entries before a position. */
export function workBefore (lane: Lane, position: number): number {
  let work = 0
  for (let index = 0; index < position; index += 1) work += lane.entries[index]?.cost ?? 0
  return work
}

export function firstOrder (lane: Lane): number {
  return lane.entries[0]?.order ?? Infinity
}

/**
 * What is expected to start before a request with `ahead` of its own lane before it.
 *
 * Calls and direct requests that arrive in the meantime are expected in the proportion of the recent starts.
 *
 * @param lead Recent work in ms of the request's route beyond that of another lane, which the other lane may make up.
 */
export function amountAhead (own: Lane, ahead: Amount, lanes: readonly Lane[], lead: (other: Lane) => number, shares: Shares, mix: StartMixes.StartMix): Amount {
  let level = ahead
  let urgent = NOTHING
  let lessUrgent = NOTHING
  let others = NOTHING
  for (const lane of lanes) {
    const all = { work: lane.work, count: lane.entries.length }
    if (lane.isCall !== own.isCall) others = plus(others, all)
    else if (lane.priority < own.priority) urgent = plus(urgent, all)
    else if (lane.priority > own.priority) lessUrgent = plus(lessUrgent, all)
    else if (lane.flow !== own.flow) level = plus(level, part(all, Math.max(0, ahead.work + lead(lane)) / Math.max(all.work, 1)))
  }
  const withUrgent = plus(level, atMost(urgent, (shares.lessUrgent - 1) * (level.count + 1)))
  const group = plus(withUrgent, atMost(lessUrgent, withUrgent.count / (shares.lessUrgent - 1)))
  const limit = own.isCall ? group.count / (shares.direct - 1) : (group.count + 1) * (shares.direct - 1)
  const expected = mix.othersFor(own.isCall, group.count + 1)
  const count = Math.min(Math.max(others.count, expected), limit)
  const cost = others.count > 0 ? others.work / others.count : mix.costOf(!own.isCall)
  return plus(group, { work: count * cost, count })
}

const NOTHING: Amount = { work: 0, count: 0 }

function plus (left: Amount, right: Amount): Amount {
  return { work: left.work + right.work, count: left.count + right.count }
}

function part ({ work, count }: Amount, fraction: number): Amount {
  const factor = Math.min(fraction, 1)
  return { work: work * factor, count: count * factor }
}

function atMost (amount: Amount, count: number): Amount {
  return amount.count <= count ? amount : part(amount, count / amount.count)
}
