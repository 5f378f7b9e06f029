/** Admission fractions of the services that the local target calls, as this node applies them. */
import type * as Decisions from '@jasminedale/decisions'
import * as ServiceFractions from './service-fraction.js'

/** Time in ms for which a combined fraction is used again, which bounds the work per request. */
const CACHE_LIFETIME_MS = 50
/** Mean time in ms between the admission of a parent and its calls. */
const CALL_LAG_MS = 300
const SERVICES_MAXIMUM = 256

interface Entry {
  current: ServiceFractions.ServiceFraction
  /** Mean of the fractions by which the parents were admitted that send calls now. */
  lagged: number
  updatedAt: Decisions.Clock.Milliseconds
}

export type ReportSource = (service: Decisions.Ids.Service, now: Decisions.Clock.Milliseconds) => Iterable<ServiceFractions.FractionReport>

export class FractionTable {
  private readonly byService = new Map<Decisions.Ids.Service, Entry>()

  constructor (private readonly reportsOf: ReportSource) {}

  /** By which parents are admitted now. */
  current (service: Decisions.Ids.Service, now: Decisions.Clock.Milliseconds): ServiceFractions.ServiceFraction {
    return this.refresh(service, now).current
  }

  /** By which the parents of the present calls were admitted. */
  lagged (service: Decisions.Ids.Service, now: Decisions.Clock.Milliseconds): number {
    return this.refresh(service, now).lagged
  }

  private refresh (service: Decisions.Ids.Service, now: Decisions.Clock.Milliseconds): Entry {
    const known = this.byService.get(service)
    if (known !== undefined && now - known.updatedAt < CACHE_LIFETIME_MS) return known
    const current = ServiceFractions.combine(this.reportsOf(service, now))
    if (known === undefined) {
      if (this.byService.size >= SERVICES_MAXIMUM) this.byService.clear()
      const created: Entry = { current, lagged: 1, updatedAt: now }
      this.byService.set(service, created)
      return created
    }
    known.lagged += (known.current.fraction - known.lagged) * (1 - Math.exp((known.updatedAt - now) / CALL_LAG_MS))
    known.current = current
    known.updatedAt = now
    return known
  }
}
