/** The rosters of all regions that this node knows. */
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'
import type * as IdempotencyKeys from './idempotency-key.js'
import * as Roster from './roster.js'
import type * as Records from './roster-record.js'

export class Rosters {
  readonly byRegion = new Map<Ids.Region, Roster.Roster>()

  get (region: Ids.Region): Roster.Roster | undefined {
    return this.byRegion.get(region)
  }

  /**
   * Region of a key. Keys without a prefix are shared by a list of regions that the first
   * genesis in the log fixes for good: if nodes hashed over the regions that they happen
   * to know, two of them could choose different owners.
   */
  regionOf (key: IdempotencyKeys.ParsedKey): Ids.Region | undefined {
    if (key.region !== undefined) return key.region
    const shared = this.shared()
    return shared === undefined ? undefined : Rendezvous.rank(key.text, shared)[0]
  }

  shared (): readonly Ids.Region[] | undefined {
    return this.byRegion.values().next().value?.shared
  }

  /** Takes over a state from a peer or a snapshot if it is ahead of what is known. */
  adopt (state: Records.RosterState): boolean {
    const region = state.region as Ids.Region
    const known = this.byRegion.get(region)
    if (known !== undefined && known.version >= state.version) return false
    this.byRegion.set(region, Roster.Roster.fromState(state))
    return true
  }

  found (record: Records.Genesis, offset: number): boolean {
    const region = record.region as Ids.Region
    if (this.byRegion.has(region)) return false
    this.byRegion.set(region, Roster.Roster.fromGenesis(record, this.shared() ?? record.shared as Ids.Region[], offset))
    return true
  }

  /**
   * Applies a change from the log or from a peer. `from` is the offset from which no record is missing:
   * a state that ends before it may lack the change that won.
   */
  change (record: Records.Change, offset: number, from: number): boolean {
    const roster = this.byRegion.get(record.region as Ids.Region)
    return roster !== undefined && roster.offset >= from && offset >= roster.offset && roster.apply(record, offset)
  }
}
