/** Blackboard section `targets`: the targets of the fleet as this node sees them. Written by Directory. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import * as Members from './members.js'

export type TargetState = 'serving' | 'leaving'

export interface Target {
  readonly target: Ids.TargetId
  readonly service: Ids.Service
  /** The node on the VM of the backend server. */
  readonly host: Ids.NodeId
  readonly dataCenter: Ids.DataCenter
  readonly region: Ids.Region
  /** Address of the backend server; known only to its host. */
  readonly address?: Ids.Endpoint
  readonly slots: number
  readonly incarnation: Ids.Incarnation
  readonly state: TargetState
  /** Time of the first announcement of this incarnation, by this node's clock. */
  readonly announcedAt: Clock.Milliseconds
  /** Load that the backend server last reported; 0 for targets of other hosts, since load is not gossiped. */
  readonly load: number
}

export class Targets {
  readonly byId = new Map<Ids.TargetId, Target>()
  readonly byService = new Map<Ids.Service, Set<Ids.TargetId>>()

  get (target: Ids.TargetId): Target | undefined {
    return this.byId.get(target)
  }

  ofService (service: Ids.Service): Target[] {
    const ids = this.byService.get(service) ?? new Set<Ids.TargetId>()
    return [...ids].flatMap(id => this.byId.get(id) ?? [])
  }

  /**
   * Targets that may receive work: those that serve, on a host that is a usable member and answers this node.
   * When none of the hosts answers this node directly, the targets of all usable hosts are returned.
   */
  selectable (service: Ids.Service, members: Members.Members): Target[] {
    const usable = this.ofService(service).filter(target => {
      const host = members.get(target.host)
      return target.state === 'serving' && host !== undefined && Members.isUsable(host)
    })
    const answering = usable.filter(target => members.get(target.host)?.unansweredSince === undefined)
    return answering.length > 0 ? answering : usable
  }

  /**
   * Targets that count toward the capacity floor: all that are not known to be leaving or to have left.
   * Targets of a dead host are included until its entry is removed (1 h) or the host is known to have left.
   */
  countedForFloor (service: Ids.Service): Target[] {
    return this.ofService(service).filter(target => target.state === 'serving')
  }

  put (target: Target): void {
    const known = this.byId.get(target.target)
    if (known !== undefined && known.service !== target.service) this.remove(target.target)
    this.byId.set(target.target, target)
    const ids = this.byService.get(target.service) ?? new Set<Ids.TargetId>()
    ids.add(target.target)
    this.byService.set(target.service, ids)
  }

  remove (target: Ids.TargetId): void {
    const known = this.byId.get(target)
    if (known === undefined) return
    this.byId.delete(target)
    const ids = this.byService.get(known.service)
    ids?.delete(target)
    if (ids?.size === 0) this.byService.delete(known.service)
  }
}
