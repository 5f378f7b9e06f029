/** The configuration in force on this node, and the age of the last confirmation that it is the newest. */
import * as Decisions from '@jasminedale/decisions'
import * as AccountTables from '../accounts/account-table.js'
import type * as Routes from '../routes/route.js'
import * as RouteTables from '../routes/route-table.js'

/** Covers one long-polling read of the shared log and its timeout. After that a newer configuration may exist unseen. */
const MAXIMUM_CONTACT_AGE = Decisions.Clock.seconds(8)

export class ConfigurationState {
  private routeTable: RouteTables.RouteTable | undefined
  private accountTable: AccountTables.AccountTable | undefined
  private lastContactAt: Decisions.Clock.Milliseconds | undefined
  private replacedAt: Decisions.Clock.Milliseconds | undefined

  get table (): RouteTables.RouteTable | undefined {
    return this.routeTable
  }

  /** Undefined when the configuration in force has no client accounts. */
  get accounts (): AccountTables.AccountTable | undefined {
    return this.accountTable
  }

  get current (): Routes.RouteConfiguration | undefined {
    return this.routeTable?.configuration
  }

  get version (): Decisions.Ids.Version {
    return this.current?.version ?? Decisions.Ids.version(0)
  }

  /** Puts a configuration into force if its version is newer. Returns whether it was. */
  replaceIfNewer (configuration: Routes.RouteConfiguration, now: Decisions.Clock.Milliseconds): boolean {
    if (this.current !== undefined && configuration.version <= this.current.version) return false
    this.routeTable = new RouteTables.RouteTable(configuration)
    this.accountTable = configuration.accounts === undefined ? undefined : new AccountTables.AccountTable(configuration.accounts)
    this.replacedAt = now
    return true
  }

  /** Milliseconds since the configuration came into force on this node; undefined before the first one. */
  inForceFor (now: Decisions.Clock.Milliseconds): number | undefined {
    return this.replacedAt === undefined ? undefined : now - this.replacedAt
  }

  /** Notes that the shared log, or a peer in contact with it, confirmed that no newer configuration exists. */
  recordContact (now: Decisions.Clock.Milliseconds): void {
    this.lastContactAt = now
  }

  /** Milliseconds since the last confirmation; infinite before the first one. */
  contactAge (now: Decisions.Clock.Milliseconds): number {
    return this.lastContactAt === undefined ? Infinity : now - this.lastContactAt
  }

  /** Whether the last confirmation is recent enough to rule out a newer configuration. */
  isCurrent (now: Decisions.Clock.Milliseconds): boolean {
    return this.contactAge(now) <= MAXIMUM_CONTACT_AGE
  }
}
