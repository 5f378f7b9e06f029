/** All targets that this node knows, from the shared log or from peers. */
import type * as Decisions from '@jasminedale/decisions'
import * as Registrations from './registration.js'

type Ready = Map<Decisions.Ids.TargetId, Registrations.Registration>

export class Directory {
  private readonly byTarget = new Map<Decisions.Ids.TargetId, Registrations.Registration>()
  /** The newest target of each host: a restarted target may have a new id at the same host. */
  private readonly byHost = new Map<Decisions.Ids.Endpoint, Registrations.Registration>()
  private readonly byService = new Map<Decisions.Ids.Service, Ready>()
  /** Lists of ready targets, made when asked for. */
  private readonly lists = new Map<Decisions.Ids.Service, readonly Registrations.Registration[]>()
  private readonly byDataCenter = new Map<Decisions.Ids.DataCenter, Ready>()
  private readyTotal = 0

  /** Takes a registration over if it is newer than what is known; tells whether it was. */
  merge (registration: Registrations.Registration): boolean {
    const known = this.byTarget.get(registration.target)
    if (known !== undefined && !Registrations.isNewer(registration, known)) return false
    this.byTarget.set(registration.target, registration)
    const current = this.byHost.get(registration.host)
    if (current !== undefined && current.target !== registration.target && current.incarnation > registration.incarnation) return true
    if (known !== undefined) this.unlist(known)
    if (current !== undefined) this.unlist(current)
    this.byHost.set(registration.host, registration)
    this.list(registration)
    return true
  }

  /** Forgets a target whose record was removed from the log. */
  remove (target: Decisions.Ids.TargetId): void {
    const known = this.byTarget.get(target)
    if (known === undefined) return
    this.byTarget.delete(target)
    this.unlist(known)
    if (this.byHost.get(known.host)?.target === target) this.byHost.delete(known.host)
  }

  get (target: Decisions.Ids.TargetId): Registrations.Registration | undefined {
    return this.byTarget.get(target)
  }

  /** The newest target of a host. */
  newestAtHost (host: Decisions.Ids.Endpoint): Registrations.Registration | undefined {
    return this.byHost.get(host)
  }

  /** Targets of a service that take new work. */
  readyTargets (service: Decisions.Ids.Service): readonly Registrations.Registration[] {
    const known = this.lists.get(service)
    if (known !== undefined) return known
    const list = [...this.byService.get(service)?.values() ?? []]
    this.lists.set(service, list)
    return list
  }

  /** Ready targets of a data center, of all services. */
  readyTargetsInDataCenter (dataCenter: Decisions.Ids.DataCenter): readonly Registrations.Registration[] {
    return [...this.byDataCenter.get(dataCenter)?.values() ?? []]
  }

  allTargets (): readonly Registrations.Registration[] {
    return [...this.byTarget.values()]
  }

  /** Number of ready targets, which is the number of nodes that share a budget. */
  get readyCount (): number {
    return this.readyTotal
  }

  private list (registration: Registrations.Registration): void {
    if (registration.state !== 'ready') return
    const ready = this.byService.get(registration.service) ?? new Map<Decisions.Ids.TargetId, Registrations.Registration>()
    this.byService.set(registration.service, ready)
    ready.set(registration.target, registration)
    const near = this.byDataCenter.get(registration.dataCenter) ?? new Map<Decisions.Ids.TargetId, Registrations.Registration>()
    this.byDataCenter.set(registration.dataCenter, near)
    near.set(registration.target, registration)
    this.readyTotal += 1
    this.lists.delete(registration.service)
  }

  private unlist (registration: Registrations.Registration): void {
    if (this.byService.get(registration.service)?.delete(registration.target) !== true) return
    this.byDataCenter.get(registration.dataCenter)?.delete(registration.target)
    this.readyTotal -= 1
    this.lists.delete(registration.service)
  }
}
