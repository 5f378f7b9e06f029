/** The rosters of all regions that are known to this node. */
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'
import type * as IdempotencyKeys from './idempotency-key.js'
import * as Rosters from './roster.js'
import type * as RosterRecords from './roster-record.js'

export class RosterTable {
  readonly byRegion = new Map<Ids.Region, Rosters.Roster>()

  get (region: Ids.Region): Rosters.Roster | undefined {
    return this.byRegion.get(region)
  }

  /**
   * Region of a key. Keys without a region prefix are hashed over a list of regions that the first genesis in the log
   * fixes permanently: hashing over the regions that a node currently knows could give two nodes different owners.
   */
  regionOf (key: IdempotencyKeys.ParsedKey): Ids.Region | undefined {
    if (key.region !== undefined) return key.region
    const regions = this.sharedRegions()
    return regions === undefined ? undefined : Rendezvous.rank(key.text, regions)[0]
  }

  sharedRegions (): readonly Ids.Region[] | undefined {
    return this.byRegion.values().next().value?.sharedRegions
  }

  /** Replaces the roster by a state from a peer or a snapshot if that has a later version. Returns whether it did. */
  adoptState (state: RosterRecords.RosterState): boolean {
    const region = state.region as Ids.Region
    const known = this.byRegion.get(region)
    if (known !== undefined && known.version >= state.version) return false
    this.byRegion.set(region, Rosters.Roster.fromState(state))
    return true
  }

  /** Creates the roster of a region. Returns false if there is one already: the first genesis in the log wins. */
  applyGenesis (record: RosterRecords.Genesis, offset: number): boolean {
    const region = record.region as Ids.Region
    if (this.byRegion.has(region)) return false
    this.byRegion.set(region, Rosters.Roster.fromGenesis(record, this.sharedRegions() ?? record.shared as Ids.Region[], offset))
    return true
  }

  /**
   * Applies a change from the log or from a peer. Returns whether it took effect. The source is complete from
   * offset `completeFrom` on. A roster that ends before it is left as it is, since it may lack an earlier change.
   */
  applyChange (record: RosterRecords.RosterChange, offset: number, completeFrom: number): boolean {
    const roster = this.byRegion.get(record.region as Ids.Region)
    return roster !== undefined && roster.offset >= completeFrom && offset >= roster.offset && roster.apply(record, offset)
  }
}
