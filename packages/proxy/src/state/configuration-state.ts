/** The configuration in force on this node and how old the knowledge is. */
import * as Decisions from '@jasminedale/decisions'
import type * as Routes from '../routes/route.js'
import * as RouteTables from '../routes/route-table.js'

/** Age of the last contact beyond which a newer configuration may exist unseen: one read of the log and its timeout. */
const CONTACT_LIMIT = Decisions.Clock.seconds(8)

export class ConfigurationState {
  private routeTable: RouteTables.RouteTable | undefined
  private contactAt: Decisions.Clock.Milliseconds | undefined

  get table (): RouteTables.RouteTable | undefined {
    return this.routeTable
  }

  get current (): Routes.RouteConfiguration | undefined {
    return this.routeTable?.configuration
  }

  get version (): Decisions.Ids.Version {
    return this.current?.version ?? Decisions.Ids.version(0)
  }

  /** Takes a configuration over if it is newer; an older one never replaces it. */
  replaceIfNewer (configuration: Routes.RouteConfiguration): boolean {
    if (this.current !== undefined && configuration.version <= this.current.version) return false
    this.routeTable = new RouteTables.RouteTable(configuration)
    return true
  }

  /** The log, or a peer in touch with it, confirmed that nothing newer exists. */
  recordContact (now: Decisions.Clock.Milliseconds): void {
    this.contactAt = now
  }

  /** Milliseconds since the last confirmation; infinite before the first. */
  contactAge (now: Decisions.Clock.Milliseconds): number {
    return this.contactAt === undefined ? Infinity : now - this.contactAt
  }

  isCurrent (now: Decisions.Clock.Milliseconds): boolean {
    return this.contactAge(now) <= CONTACT_LIMIT
  }
}
