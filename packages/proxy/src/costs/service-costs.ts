/**
 * Costs of the requests to each service as an entry learns them from the responses of hosts. A host compares its times
 * with them, so that its target's speed is measured against what the same requests cost elsewhere.
 */
import type * as Decisions from '@jasminedale/decisions'
import * as LruCaches from 'lru-cache'
import * as CostTables from './cost-table.js'

const SERVICES_MAXIMUM = 256
/**
 * Exponent of a target's slowness in the cost that is learned from it. With 1, costs and slowness could drift apart
 * without limit, since only their product is measured; below 1, slowness returns to 1 for the average target.
 */
const SLOWNESS_EXPONENT = 0.7

export class ServiceCosts {
  private readonly tables = new LruCaches.LRUCache<string, CostTables.CostTable>({ max: SERVICES_MAXIMUM })

  /** Adds the time in ms of a request at a target of that slowness. */
  learn (service: Decisions.Ids.Service, key: CostTables.CostKey, elapsed: number, slowness: number, now: Decisions.Clock.Milliseconds): void {
    this.table(service).learn(key, elapsed / Math.max(slowness, Number.MIN_VALUE) ** SLOWNESS_EXPONENT, now)
  }

  /** Expected cost in ms of an average target. */
  expected (service: Decisions.Ids.Service, key: CostTables.CostKey, now: Decisions.Clock.Milliseconds): number {
    return this.table(service).expected(key, now)
  }

  /** Mean cost in ms of the requests of the service. */
  mean (service: Decisions.Ids.Service): number {
    return this.table(service).mean
  }

  private table (service: Decisions.Ids.Service): CostTables.CostTable {
    const existing = this.tables.get(service)
    if (existing !== undefined) return existing
    const created = new CostTables.CostTable()
    this.tables.set(service, created)
    return created
  }
}
