/** What target selection needs of the members, refreshed at most once per interval. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'
import type * as Subsets from './subset.js'

/** Walking 5,200 members takes well under a millisecond, so once a second is below 0.1 % of a core. */
const REFRESH_INTERVAL = Clock.seconds(1)
/** Changes of members in a large fleet come many at a time. */
const CHANGE_INTERVAL = Clock.milliseconds(100)
/** Failures in a row to one region, without a success, after which it counts as cut. */
const CUT_FAILURES = 3
/** Hosts that these failures concern at least; one frozen host is no cut region. */
const CUT_HOSTS = 2
/** Time for which failures of this node's own attempts count a region as cut. */
const CUT_HOLD = Clock.seconds(5)

interface RegionFailures {
  consecutive: number
  readonly hosts: Set<Ids.NodeId>
  until: Clock.Milliseconds
}

export class Topology {
  private refreshedAt: Clock.Milliseconds | undefined
  private generation = -1
  private aliveRegions = new Set<Ids.Region>()
  private ownPlace: Subsets.EntryPosition | undefined
  private readonly failures = new Map<Ids.Region, RegionFailures>()

  /** This node's place among the usable nodes of its data center. */
  place (turn: Controllers.Turn): Subsets.EntryPosition {
    this.refresh(turn)
    return this.ownPlace ?? { entry: turn.board.identity.node, index: 0, entries: 1 }
  }

  /** A region is cut when no member in it is alive or this node's own attempts to it fail in a row. */
  isCut (region: Ids.Region, turn: Controllers.Turn): boolean {
    if (region === turn.board.identity.region) return false
    this.refresh(turn)
    return !this.aliveRegions.has(region) || (this.failures.get(region)?.until ?? 0) > turn.now
  }

  reached (region: Ids.Region): void {
    this.failures.delete(region)
  }

  missed (region: Ids.Region, host: Ids.NodeId, now: Clock.Milliseconds): void {
    const entry = this.failures.get(region) ?? { consecutive: 0, hosts: new Set(), until: Clock.milliseconds(0) }
    entry.consecutive += 1
    entry.hosts.add(host)
    if (entry.consecutive >= CUT_FAILURES && entry.hosts.size >= CUT_HOSTS) entry.until = Clock.add(now, CUT_HOLD)
    this.failures.set(region, entry)
  }

  private refresh (turn: Controllers.Turn): void {
    const { identity, members } = turn.board
    const interval = members.generation === this.generation ? REFRESH_INTERVAL : CHANGE_INTERVAL
    if (this.refreshedAt !== undefined && turn.now - this.refreshedAt < interval) return
    this.refreshedAt = turn.now
    this.generation = members.generation
    const usable = members.usable()
    this.aliveRegions = new Set(usable.filter(member => member.state === 'alive').map(member => member.region))
    const neighbours = usable.filter(member => member.dataCenter === identity.dataCenter).map(member => member.node)
    const before = precedence(identity.node)
    const others = neighbours.filter(node => node !== identity.node)
    const index = others.filter(node => precedence(node) < before).length
    this.ownPlace = { entry: identity.node, index, entries: others.length + 1 }
  }
}

/** Orders nodes by hash, so that neighbours in the order are spread over racks. The name breaks ties. */
function precedence (node: Ids.NodeId): string {
  return `${Rendezvous.hash(node).toString(16).padStart(8, '0')}${node}`
}
