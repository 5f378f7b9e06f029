/** Member entries as they are spread, ordered by incarnation, revision and state. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as Buckets from './buckets.js'
import type * as Messages from './message.js'
import * as Synchronizations from './synchronization.js'

/**
 * How long dead and left members are kept. It must exceed the partitions that happen (minutes), since
 * only a remembered member is contacted again.
 */
export const ENDED_RETENTION = Clock.hours(1)
/** Entries this close to the end of retention are no longer exchanged, so that no node brings them back. */
const EXCHANGE_MARGIN = Clock.minutes(1)
const ENTRIES_LIMIT = 400

const STATE_RANK = { alive: 0, suspect: 1, dead: 2, left: 3 } as const

export interface Entry extends Omit<Messages.MemberUpdate, 'kind' | 'age'> {
  readonly since: Clock.Milliseconds
}

/** Positive when `left` replaces `right`. */
export function precedence (left: Messages.MemberUpdate | Entry, right: Messages.MemberUpdate | Entry): number {
  return left.incarnation - right.incarnation || left.revision - right.revision ||
    STATE_RANK[left.state] - STATE_RANK[right.state]
}

export function isEnded (entry: Pick<Entry, 'state'>): boolean {
  return entry.state === 'dead' || entry.state === 'left'
}

/** Table of member entries. `merge` is the controller's, since it has effects besides the table. */
export class MemberTable extends Synchronizations.Replica {
  readonly table = 'members'
  readonly entriesLimit = ENTRIES_LIMIT
  readonly entries = new Map<Ids.NodeId, Entry>()
  private readonly ended = new Set<Ids.NodeId>()

  constructor (private readonly learn: (update: Messages.MemberUpdate, turn: Controllers.Turn) => void) {
    super()
  }

  put (entry: Entry): void {
    this.entries.set(entry.node, entry)
    if (isEnded(entry)) this.ended.add(entry.node)
    else this.ended.delete(entry.node)
  }

  /** Suspicions are short-lived and left out, so that they cause no synchronization. */
  version (key: Ids.NodeId): Buckets.Version | undefined {
    const entry = this.entries.get(key)
    return entry && [entry.incarnation, entry.revision, isEnded(entry) ? STATE_RANK[entry.state] : 0]
  }

  entry (key: Ids.NodeId, turn: Controllers.Turn): Messages.MemberUpdate | undefined {
    const entry = this.entries.get(key)
    return entry && asUpdate(entry, turn.now)
  }

  merge (entry: Messages.Update, turn: Controllers.Turn): void {
    if (entry.kind === 'member') this.learn(entry, turn)
  }

  /** Ended entries that are no longer exchanged, and those to forget. */
  expired (now: Clock.Milliseconds): { readonly silent: Ids.NodeId[], readonly forgotten: Ids.NodeId[] } {
    const age = (node: Ids.NodeId): number => now - (this.entries.get(node)?.since ?? 0)
    const old = [...this.ended].filter(node => age(node) > ENDED_RETENTION - EXCHANGE_MARGIN)
    return { silent: old, forgotten: old.filter(node => age(node) > ENDED_RETENTION) }
  }

  remove (node: Ids.NodeId): void {
    this.entries.delete(node)
    this.ended.delete(node)
  }

  /** Members of a data center that are neither dead nor left by their own entries. */
  living (dataCenter: Ids.DataCenter): Entry[] {
    return [...this.entries.values()].filter(entry => entry.dataCenter === dataCenter && !isEnded(entry))
  }

  /** A random dead member, to find out whether a partition has healed. */
  someDead (turn: Controllers.Turn): Entry | undefined {
    const dead = [...this.ended].flatMap(node => this.entries.get(node) ?? []).filter(entry => entry.state === 'dead')
    return turn.random.pick(dead)
  }
}

/** Whether an ended entry from elsewhere is too old to take. */
export function isExpired (update: Messages.MemberUpdate): boolean {
  return isEnded(update) && (update.age ?? 0) > ENDED_RETENTION - EXCHANGE_MARGIN
}

export function asUpdate (entry: Entry, now: Clock.Milliseconds): Messages.MemberUpdate {
  const { since, ...rest } = entry
  const age = now - since
  return { kind: 'member', ...rest, ...(isEnded(entry) && age > 0 ? { age } : {}) }
}

export function fromUpdate (update: Messages.MemberUpdate, state: Entry['state'], now: Clock.Milliseconds): Entry {
  const { node, address, dataCenter, region, incarnation, revision, behindAt } = update
  const since = Clock.milliseconds(now - (update.age ?? 0))
  return { node, address, dataCenter, region, incarnation, revision, state, since, ...(behindAt === undefined ? {} : { behindAt }) }
}
