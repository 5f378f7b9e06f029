/** One region's rosters: who owns which keys at which key time. A function of the log and of promises. */
import * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'
import type * as Messages from './message.js'
import * as Promises from './promises.js'
import type * as Records from './roster-record.js'

/** The versions in which a node incarnation is a member: `since` up to, not including, `until`. */
export interface Tenure {
  readonly node: Ids.NodeId
  readonly incarnation: Ids.Incarnation
  readonly dataCenter: Ids.DataCenter
  readonly since: number
  readonly until: number
  readonly hash: number
}

export interface RosterVersion {
  readonly version: number
  readonly promises: Promises.Promises
  /** First key time that the version governs; undefined until the version before it is closed. */
  start: Clock.Milliseconds | undefined
}

interface AppliedChange { readonly offset: number, readonly change: Records.Change }

/** Changes kept for nodes that are a few versions behind; others get the whole state. */
const CHANGES_KEPT = 64
const MULTIPLIER = 0x85ebca6b
const SECOND_MULTIPLIER = 0xc2b2ae35

/** Mixes two 32-bit hashes (the finalizer of MurmurHash3), so that a key is hashed once, not once for each member. */
function mix (left: number, right: number): number {
  let value = (left ^ right) >>> 0
  value = Math.imul(value ^ (value >>> 16), MULTIPLIER)
  value = Math.imul(value ^ (value >>> 13), SECOND_MULTIPLIER)
  return (value ^ (value >>> 16)) >>> 0
}

function tenureOf (member: Records.Member, since: number, until = Infinity): Tenure {
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
  readonly recent: AppliedChange[] = []
  private tenures: Tenure[] = []

  private constructor (readonly region: Ids.Region, readonly shared: readonly Ids.Region[], public offset: number) {}

  static fromGenesis (record: Records.Genesis, shared: readonly Ids.Region[], offset: number): Roster {
    const roster = new Roster(record.region as Ids.Region, shared, offset + 1)
    roster.tenures = record.members.map(member => tenureOf(member, 0))
    roster.versions.push({ version: 0, promises: new Promises.Promises(record.witnesses), start: Clock.milliseconds(record.effective) })
    return roster
  }

  static fromState (state: Records.RosterState): Roster {
    const roster = new Roster(state.region as Ids.Region, state.shared as Ids.Region[], state.offset)
    roster.tenures = state.tenures.map(tenure => tenureOf(tenure, tenure.since, tenure.until))
    for (const [version, start] of state.starts.filter(entry => entry[0] < state.version)) {
      roster.versions.push({ version, promises: new Promises.Promises([]), start: Clock.milliseconds(start) })
    }
    const start = state.starts.find(entry => entry[0] === state.version)?.[1]
    const promises = new Promises.Promises(state.witnesses)
    promises.merge(state)
    roster.versions.push({ version: state.version, promises, start: start === undefined ? undefined : Clock.milliseconds(start) })
    return roster
  }

  /** The version that the log decided last; it may not govern any key yet. */
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

  /** Applies a record with the latest version as its base. Returns false for a record that every reader skips. */
  apply (change: Records.Change, offset: number): boolean {
    const { latest } = this
    if (change.base !== latest.version) return false
    const signers = latest.promises.witnesses.filter(witness => change.signatures.includes(witness.node))
    if (signers.length < latest.promises.majority) return false
    const version = latest.version + 1
    const removed = new Set(change.removals.map(entry => `${entry.node}\u0000${entry.incarnation}`))
    this.tenures = this.tenures.map(tenure =>
      tenure.until === Infinity && removed.has(`${tenure.node}\u0000${tenure.incarnation}`) ? { ...tenure, until: version } : tenure)
    const present = new Set(this.members(version).map(tenure => `${tenure.node}\u0000${tenure.incarnation}`))
    this.tenures.push(...change.joins.filter(member => !present.has(`${member.node}\u0000${member.incarnation}`)).map(member => tenureOf(member, version)))
    this.versions.push({ version, promises: new Promises.Promises(change.witnesses), start: undefined })
    this.recent.push({ offset, change })
    if (this.recent.length > CHANGES_KEPT) this.recent.shift()
    this.offset = Math.max(this.offset, offset + 1)
    this.close()
    return true
  }

  /** Takes in promises and starts heard from another node. Returns whether anything was new. */
  merge (heard: Messages.VersionPromises): boolean {
    const known = this.versions.find(version => version.version === heard.version)
    if (known === undefined) return false
    let changed = known.promises.merge(heard)
    if (heard.start !== undefined && heard.start < (known.start ?? Infinity)) {
      known.start = Clock.milliseconds(heard.start)
      changed = true
    }
    if (changed) this.close()
    return changed
  }

  /**
   * Derives the start of each version from the ended promises of the one before it.
   * Nodes may derive different starts; each is above every key time that an earlier version can govern.
   */
  close (): void {
    for (const [index, next] of this.versions.entries()) {
      const previous = this.versions[index - 1]
      const closed = previous?.promises.closedAt()
      if (previous?.start === undefined || closed === undefined) continue
      const start = Math.max(previous.start, closed + 1)
      if (start < (next.start ?? Infinity)) next.start = Clock.milliseconds(start)
    }
  }

  /** The version that governs a key time, as far as this node knows. */
  versionAt (time: Clock.Milliseconds): RosterVersion | undefined {
    return this.versions.findLast(version => version.start !== undefined && version.start <= time)
  }

  /** The member with the highest weight for a service's key. */
  owner (version: number, service: Ids.Service, key: Ids.IdempotencyKey): Tenure | undefined {
    const keyHash = Rendezvous.hash(`${service}\u0000${key}`)
    let best: Tenure | undefined
    let bestWeight = -1
    for (const tenure of this.tenures) {
      if (tenure.since > version || version >= tenure.until) continue
      const weight = mix(keyHash, tenure.hash)
      if (weight > bestWeight || (weight === bestWeight && best !== undefined && tenure.node < best.node)) {
        best = tenure
        bestWeight = weight
      }
    }
    return best
  }

  /** Forgets versions that govern only key times before `horizon`. */
  forget (horizon: Clock.Milliseconds): void {
    while (this.versions.length > 1 && (this.versions[1]?.start ?? Infinity) < horizon) this.versions.shift()
    const oldest = this.versions[0]?.version ?? 0
    this.tenures = this.tenures.filter(tenure => tenure.until > oldest)
  }

  state (): Records.RosterState {
    return {
      region: this.region,
      offset: this.offset,
      version: this.version,
      shared: [...this.shared],
      tenures: this.tenures.map(({ node, incarnation, dataCenter, since, until }) =>
        ({ node, incarnation, dataCenter, since, ...(until === Infinity ? {} : { until }) })),
      starts: this.versions.flatMap(({ version, start }) => start === undefined ? [] : [[version, start] as [number, number]]),
      witnesses: [...this.latest.promises.witnesses],
      until: [...this.latest.promises.until],
      ended: [...this.latest.promises.ended]
    }
  }
}
