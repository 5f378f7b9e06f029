/** Table of member entries as they are gossiped and synchronized, ordered by incarnation, revision and state. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as BucketDigests from './bucket-digests.js'
import type * as Messages from './message.js'
import * as Synchronizations from './synchronization.js'

/**
 * How long entries of dead and left members are kept. It must exceed the duration of partitions (minutes), since
 * a node contacts only members with an entry to find out whether a partition has healed.
 */
export const DEAD_OR_LEFT_RETENTION = Clock.hours(1)
/** Entries this close to the end of retention are not exchanged, so that no node restores one that others have removed. */
const EXCHANGE_MARGIN = Clock.minutes(1)
const ENTRIES_PER_MESSAGE = 400

const STATE_RANK = { alive: 0, suspect: 1, dead: 2, left: 3 } as const

export interface MemberEntry extends Omit<Messages.MemberUpdate, 'kind' | 'age'> {
  /** By this node's clock. */
  readonly stateSince: Clock.Milliseconds
}

/** Positive when `left` supersedes `right`. */
export function comparePrecedence (left: Messages.MemberUpdate | MemberEntry, right: Messages.MemberUpdate | MemberEntry): number {
  return left.incarnation - right.incarnation || left.revision - right.revision ||
    STATE_RANK[left.state] - STATE_RANK[right.state]
}

export function isDeadOrLeft (entry: Pick<MemberEntry, 'state'>): boolean {
  return entry.state === 'dead' || entry.state === 'left'
}

/** The Membership controller applies received updates, since these have effects besides the table. */
export class MemberTable extends Synchronizations.ReplicatedTable {
  readonly table = 'members'
  readonly entriesPerMessage = ENTRIES_PER_MESSAGE
  readonly entries = new Map<Ids.NodeId, MemberEntry>()
  private readonly deadOrLeft = new Set<Ids.NodeId>()

  constructor (private readonly applyUpdate: (update: Messages.MemberUpdate, context: Controllers.StepContext) => void) {
    super()
  }

  put (entry: MemberEntry): void {
    this.entries.set(entry.node, entry)
    if (isDeadOrLeft(entry)) this.deadOrLeft.add(entry.node)
    else this.deadOrLeft.delete(entry.node)
  }

  /** A suspicion does not change the version: it is short-lived and must not cause synchronization. */
  version (key: Ids.NodeId): BucketDigests.Version | undefined {
    const entry = this.entries.get(key)
    return entry && [entry.incarnation, entry.revision, isDeadOrLeft(entry) ? STATE_RANK[entry.state] : 0]
  }

  entry (key: Ids.NodeId, context: Controllers.StepContext): Messages.MemberUpdate | undefined {
    const entry = this.entries.get(key)
    return entry && toUpdate(entry, context.now)
  }

  merge (entry: Messages.Update, context: Controllers.StepContext): void {
    if (entry.kind === 'member') this.applyUpdate(entry, context)
  }

  /** Entries of dead and left members: those not to be exchanged any more (withheld) and those to be removed. */
  expiredEntries (now: Clock.Milliseconds): { readonly withheld: Ids.NodeId[], readonly removable: Ids.NodeId[] } {
    const age = (node: Ids.NodeId): number => now - (this.entries.get(node)?.stateSince ?? 0)
    const withheld = [...this.deadOrLeft].filter(node => age(node) > DEAD_OR_LEFT_RETENTION - EXCHANGE_MARGIN)
    return { withheld, removable: withheld.filter(node => age(node) > DEAD_OR_LEFT_RETENTION) }
  }

  remove (node: Ids.NodeId): void {
    this.entries.delete(node)
    this.deadOrLeft.delete(node)
  }

  /** Members of a data center whose own entries are neither dead nor left. */
  activeMembers (dataCenter: Ids.DataCenter): MemberEntry[] {
    return [...this.entries.values()].filter(entry => entry.dataCenter === dataCenter && !isDeadOrLeft(entry))
  }

  /** A random dead member to contact, in case that a partition has healed. */
  pickDead (context: Controllers.StepContext): MemberEntry | undefined {
    const dead = [...this.deadOrLeft].flatMap(node => this.entries.get(node) ?? []).filter(entry => entry.state === 'dead')
    return context.random.pick(dead)
  }
}

/** Whether a received dead or left entry is too old to be applied. */
export function isExpired (update: Messages.MemberUpdate): boolean {
  return isDeadOrLeft(update) && (update.age ?? 0) > DEAD_OR_LEFT_RETENTION - EXCHANGE_MARGIN
}

/** The wire form of an entry; the age of a dead or left one is measured at `now`. */
export function toUpdate (entry: MemberEntry, now: Clock.Milliseconds): Messages.MemberUpdate {
  const { stateSince, ...rest } = entry
  const age = now - stateSince
  return { kind: 'member', ...rest, ...(isDeadOrLeft(entry) && age > 0 ? { age } : {}) }
}

/** The entry for a received update, with `state` in place of the update's own. */
export function fromUpdate (update: Messages.MemberUpdate, state: MemberEntry['state'], now: Clock.Milliseconds): MemberEntry {
  const { node, address, dataCenter, region, incarnation, revision, behindAt } = update
  const stateSince = Clock.milliseconds(now - (update.age ?? 0))
  return { node, address, dataCenter, region, incarnation, revision, state, stateSince, ...(behindAt === undefined ? {} : { behindAt }) }
}
