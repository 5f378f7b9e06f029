/** Registrations of all targets known to this node, from the shared log or from peers, with indexes of the ready ones. */
import type * as Decisions from '@jasminedale/decisions'
import * as Registrations from './registration.js'

type RegistrationsByTarget = Map<Decisions.Ids.TargetId, Registrations.Registration>

export class Directory {
  private readonly byTarget = new Map<Decisions.Ids.TargetId, Registrations.Registration>()
  /** The newest registration of each host. A target may get a new id on a restart, so one host may have had several targets. */
  private readonly byHost = new Map<Decisions.Ids.Endpoint, Registrations.Registration>()
  private readonly byService = new Map<Decisions.Ids.Service, RegistrationsByTarget>()
  /** Arrays returned by `readyTargets`, cached until a ready target of the service changes. */
  private readonly readyLists = new Map<Decisions.Ids.Service, readonly Registrations.Registration[]>()
  private readonly byDataCenter = new Map<Decisions.Ids.DataCenter, RegistrationsByTarget>()
  private readyTotal = 0
  private readyRevision = 0

  /** Stores a registration unless a newer one of the same target is known. Returns whether it was stored. */
  merge (registration: Registrations.Registration): boolean {
    const known = this.byTarget.get(registration.target)
    if (known !== undefined && !Registrations.isNewer(registration, known)) return false
    this.byTarget.set(registration.target, registration)
    const current = this.byHost.get(registration.host)
    if (current !== undefined && current.target !== registration.target && current.incarnation > registration.incarnation) return true
    if (known !== undefined) this.removeReady(known)
    if (current !== undefined) this.removeReady(current)
    this.byHost.set(registration.host, registration)
    this.addReady(registration)
    return true
  }

  /** Removes a target whose record was deleted from the shared log. */
  remove (target: Decisions.Ids.TargetId): void {
    const known = this.byTarget.get(target)
    if (known === undefined) return
    this.byTarget.delete(target)
    this.removeReady(known)
    if (this.byHost.get(known.host)?.target === target) this.byHost.delete(known.host)
  }

  get (target: Decisions.Ids.TargetId): Registrations.Registration | undefined {
    return this.byTarget.get(target)
  }

  /** The newest registration of a host, in whatever state. */
  newestAtHost (host: Decisions.Ids.Endpoint): Registrations.Registration | undefined {
    return this.byHost.get(host)
  }

  /** Registrations of the targets of a service that accept new requests. */
  readyTargets (service: Decisions.Ids.Service): readonly Registrations.Registration[] {
    const cachedList = this.readyLists.get(service)
    if (cachedList !== undefined) return cachedList
    const targets = [...this.byService.get(service)?.values() ?? []]
    this.readyLists.set(service, targets)
    return targets
  }

  /** Registrations of the ready targets of a data center, for all services. */
  readyTargetsInDataCenter (dataCenter: Decisions.Ids.DataCenter): readonly Registrations.Registration[] {
    return [...this.byDataCenter.get(dataCenter)?.values() ?? []]
  }

  allTargets (): readonly Registrations.Registration[] {
    return [...this.byTarget.values()]
  }

  /** Number of ready targets. One node runs on the VM of each target, so this is also the number of nodes that share a budget. */
  get readyCount (): number {
    return this.readyTotal
  }

  /** Changes whenever a ready target is added or removed. */
  get revision (): number {
    return this.readyRevision
  }

  private addReady (registration: Registrations.Registration): void {
    if (registration.state !== 'ready') return
    const serviceTargets = this.byService.get(registration.service) ?? new Map<Decisions.Ids.TargetId, Registrations.Registration>()
    this.byService.set(registration.service, serviceTargets)
    serviceTargets.set(registration.target, registration)
    const dataCenterTargets = this.byDataCenter.get(registration.dataCenter) ?? new Map<Decisions.Ids.TargetId, Registrations.Registration>()
    this.byDataCenter.set(registration.dataCenter, dataCenterTargets)
    dataCenterTargets.set(registration.target, registration)
    this.readyTotal += 1
    this.readyRevision += 1
    this.readyLists.delete(registration.service)
  }

  private removeReady (registration: Registrations.Registration): void {
    if (this.byService.get(registration.service)?.delete(registration.target) !== true) return
    this.byDataCenter.get(registration.dataCenter)?.delete(registration.target)
    this.readyTotal -= 1
    this.readyRevision += 1
    this.readyLists.delete(registration.service)
  }
}
