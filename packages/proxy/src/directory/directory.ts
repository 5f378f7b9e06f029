/** All targets that this node knows, from the shared log or from peers. */
import type * as Decisions from '@jasminedale/decisions'
import * as Registrations from './registration.js'

export class Directory {
  private readonly byTarget = new Map<Decisions.Ids.TargetId, Registrations.Registration>()
  private readonly readyByService = new Map<Decisions.Ids.Service, Registrations.Registration[]>()

  /** Takes a registration over if it is newer than what is known; tells whether it was. */
  merge (registration: Registrations.Registration): boolean {
    const known = this.byTarget.get(registration.target)
    if (known !== undefined && !Registrations.isNewer(registration, known)) return false
    this.byTarget.set(registration.target, registration)
    this.reindex(registration.service)
    if (known !== undefined && known.service !== registration.service) this.reindex(known.service)
    return true
  }

  /** Forgets a target whose record was removed from the log. */
  remove (target: Decisions.Ids.TargetId): void {
    const known = this.byTarget.get(target)
    if (known === undefined) return
    this.byTarget.delete(target)
    this.reindex(known.service)
  }

  get (target: Decisions.Ids.TargetId): Registrations.Registration | undefined {
    return this.byTarget.get(target)
  }

  /** Targets of a service that take new work. */
  ready (service: Decisions.Ids.Service): readonly Registrations.Registration[] {
    return this.readyByService.get(service) ?? []
  }

  all (): readonly Registrations.Registration[] {
    return [...this.byTarget.values()]
  }

  /** Number of ready targets, which is the number of nodes that share a budget. */
  get readyCount (): number {
    let count = 0
    for (const targets of this.readyByService.values()) count += targets.length
    return count
  }

  /** A restarted target may have a new id at the same host; only the newest incarnation of a host is listed. */
  private reindex (service: Decisions.Ids.Service): void {
    const byHost = new Map<Decisions.Ids.Endpoint, Registrations.Registration>()
    for (const registration of this.byTarget.values()) {
      const other = byHost.get(registration.host)
      if (other === undefined || registration.incarnation > other.incarnation) byHost.set(registration.host, registration)
    }
    const ready = [...byHost.values()].filter(registration => registration.service === service && registration.state === 'ready')
    this.readyByService.set(service, ready)
  }
}
