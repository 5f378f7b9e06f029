/**
 * The roster of one region: its versions, and the owner of each key at each key time.
 * The members follow from the log alone, the starts of versions from the promises.
 */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'
import type * as Messages from './message.js'
import * as WitnessPromises from './witness-promises.js'
import type * as RosterRecords from './roster-record.js'

/** The versions in which a node incarnation is a member: `since` up to, not including, `until`. */
export interface Tenure {
  readonly node: Ids.NodeId
  readonly incarnation: Ids.Incarnation
  readonly dataCenter: Ids.DataCenter
  readonly since: number
  readonly until: number
  /** Hash of the node incarnation for rendezvous hashing. */
  readonly hash: number
}

export interface RosterVersion {
  readonly version: number
  readonly promises: WitnessPromises.WitnessPromises
  /** First key time that the version governs; undefined until the last key time of the version before it is known. */
  start: Clock.Milliseconds | undefined
}

interface AppliedChange { readonly offset: number, readonly change: RosterRecords.RosterChange }

/** Changes kept for nodes that are a few versions behind; nodes further behind receive the complete state. */
const RECENT_CHANGES_MAXIMUM = 64
const FIRST_MULTIPLIER = 0x85ebca6b
const SECOND_MULTIPLIER = 0xc2b2ae35

/** Combines two 32-bit hashes with the finalizer of MurmurHash3, so that a key is hashed once rather than once per member. */
function mixHashes (left: number, right: number): number {
  let value = (left ^ right) >>> 0
  value = Math.imul(value ^ (value >>> 16), FIRST_MULTIPLIER)
  value = Math.imul(value ^ (value >>> 13), SECOND_MULTIPLIER)
  return (value ^ (value >>> 16)) >>> 0
}

function createTenure (member: RosterRecords.Member, since: number, until = Infinity): Tenure {
  return {
    node: member.node as Ids.NodeId,
    incarnation: member.incarnation as Ids.Incarnation,
    dataCenter: member.dataCenter as Ids.DataCenter,
    since,
    until,
    hash: Rendezvous.hash(`${member.node}\u0000${member.incarnation}`)
  }
}

export class Roster {
  readonly versions: RosterVersion[] = []
  /** The changes that were applied last, oldest first. */
  readonly recentChanges: AppliedChange[] = []
  private tenures: Tenure[] = []

  /** `offset` is the log offset up to which all records have been applied. */
  private constructor (readonly region: Ids.Region, readonly sharedRegions: readonly Ids.Region[], public offset: number) {}

  static fromGenesis (record: RosterRecords.Genesis, shared: readonly Ids.Region[], offset: number): Roster {
    const roster = new Roster(record.region as Ids.Region, shared, offset + 1)
    roster.tenures = record.members.map(member => createTenure(member, 0))
    roster.versions.push({ version: 0, promises: new WitnessPromises.WitnessPromises(record.witnesses), start: Clock.milliseconds(record.effective) })
    return roster
  }

  static fromState (state: RosterRecords.RosterState): Roster {
    const roster = new Roster(state.region as Ids.Region, state.shared as Ids.Region[], state.offset)
    roster.tenures = state.tenures.map(tenure => createTenure(tenure, tenure.since, tenure.until))
    for (const [version, start] of state.starts.filter(entry => entry[0] < state.version)) {
      roster.versions.push({ version, promises: new WitnessPromises.WitnessPromises([]), start: Clock.milliseconds(start) })
    }
    const start = state.starts.find(entry => entry[0] === state.version)?.[1]
    const promises = new WitnessPromises.WitnessPromises(state.witnesses)
    promises.merge(state)
    roster.versions.push({ version: state.version, promises, start: start === undefined ? undefined : Clock.milliseconds(start) })
    return roster
  }

  /** The newest version in the log. It may not govern any key yet. */
  get latest (): RosterVersion {
    const last = this.versions.at(-1)
    if (last === undefined) throw new RangeError('a roster has at least one version')
    return last
  }

  get version (): number {
    return this.latest.version
  }

  members (version = this.version): Tenure[] {
    return this.tenures.filter(tenure => tenure.since <= version && version < tenure.until)
  }

  /**
   * Adds a version. Returns false for a record that every reader skips: one that is not based on the latest version,
   * or that fewer than a majority of its witnesses have signed.
   */
  apply (change: RosterRecords.RosterChange, offset: number): boolean {
    const { latest } = this
    if (change.base !== latest.version) return false
    const signers = latest.promises.witnesses.filter(witness => change.signatures.includes(witness.node))
    if (signers.length < latest.promises.majority) return false
    const version = latest.version + 1
    const removedMembers = new Set(change.removals.map(entry => `${entry.node}\u0000${entry.incarnation}`))
    this.tenures = this.tenures.map(tenure =>
      tenure.until === Infinity && removedMembers.has(`${tenure.node}\u0000${tenure.incarnation}`) ? { ...tenure, until: version } : tenure)
    const currentMembers = new Set(this.members(version).map(tenure => `${tenure.node}\u0000${tenure.incarnation}`))
    this.tenures.push(...change.joins.filter(member => !currentMembers.has(`${member.node}\u0000${member.incarnation}`)).map(member => createTenure(member, version)))
    this.versions.push({ version, promises: new WitnessPromises.WitnessPromises(change.witnesses), start: undefined })
    this.recentChanges.push({ offset, change })
    if (this.recentChanges.length > RECENT_CHANGES_MAXIMUM) this.recentChanges.shift()
    this.offset = Math.max(this.offset, offset + 1)
    this.deriveStarts()
    return true
  }

  /** Merges the promises and the start of a version received from another node. Returns whether anything changed. */
  merge (received: Messages.VersionPromises): boolean {
    const known = this.versions.find(version => version.version === received.version)
    if (known === undefined) return false
    let changed = known.promises.merge(received)
    if (received.start !== undefined && received.start < (known.start ?? Infinity)) {
      known.start = Clock.milliseconds(received.start)
      changed = true
    }
    if (changed) this.deriveStarts()
    return changed
  }

  /**
   * Derives the start of each version from the final promises for the version before it. Nodes may derive different
   * starts, but each start is later than every key time that an earlier version can govern.
   */
  deriveStarts (): void {
    for (const [index, next] of this.versions.entries()) {
      const previous = this.versions[index - 1]
      const lastGovernedTime = previous?.promises.lastGovernedTime()
      if (previous?.start === undefined || lastGovernedTime === undefined) continue
      const start = Math.max(previous.start, lastGovernedTime + 1)
      if (start < (next.start ?? Infinity)) next.start = Clock.milliseconds(start)
    }
  }

  /** The version that governs a key time, to the knowledge of this node. */
  versionAt (time: Clock.Milliseconds): RosterVersion | undefined {
    return this.versions.findLast(version => version.start !== undefined && version.start <= time)
  }

  /** The owner of a service's key in a version: the member with the highest rendezvous weight. */
  owner (version: number, service: Ids.Service, key: Ids.IdempotencyKey): Tenure | undefined {
    const keyHash = Rendezvous.hash(`${service}\u0000${key}`)
    let best: Tenure | undefined
    let bestWeight = -1
    for (const tenure of this.tenures) {
      if (tenure.since > version || version >= tenure.until) continue
      const weight = mixHashes(keyHash, tenure.hash)
      if (weight > bestWeight || (weight === bestWeight && best !== undefined && tenure.node < best.node)) {
        best = tenure
        bestWeight = weight
      }
    }
    return best
  }

  /** Removes the versions that only govern key times before `oldestKeyTime`, and the tenures that ended with them. */
  prune (oldestKeyTime: Clock.Milliseconds): void {
    while (this.versions.length > 1 && (this.versions[1]?.start ?? Infinity) < oldestKeyTime) this.versions.shift()
    const oldest = this.versions[0]?.version ?? 0
    this.tenures = this.tenures.filter(tenure => tenure.until > oldest)
  }

  toState (): RosterRecords.RosterState {
    return {
      region: this.region,
      offset: this.offset,
      version: this.version,
      shared: [...this.sharedRegions],
      tenures: this.tenures.map(({ node, incarnation, dataCenter, since, until }) =>
        ({ node, incarnation, dataCenter, since, ...(until === Infinity ? {} : { until }) })),
      starts: this.versions.flatMap(({ version, start }) => start === undefined ? [] : [[version, start] as [number, number]]),
      witnesses: [...this.latest.promises.witnesses],
      until: [...this.latest.promises.until],
      ended: [...this.latest.promises.ended]
    }
  }
}
