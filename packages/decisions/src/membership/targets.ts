/** Section `targets`: the backend servers this node knows. Written by Directory. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'

export type TargetState = 'serving' | 'leaving'

export interface Target {
  readonly target: Ids.TargetId
  readonly service: Ids.Service
  /** Node on the backend server's VM. */
  readonly host: Ids.NodeId
  readonly dataCenter: Ids.DataCenter
  readonly region: Ids.Region
  /** Known only on the host. */
  readonly address?: Ids.Endpoint
  readonly slots: number
  readonly incarnation: Ids.Incarnation
  readonly state: TargetState
  /** First announcement of this incarnation, by this node's clock. */
  readonly announcedAt: Clock.Milliseconds
  /** Load as the backend server last reported it. */
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

  put (target: Target): void {
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
