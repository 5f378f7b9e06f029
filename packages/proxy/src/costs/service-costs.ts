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
/** Gives most of the weight to the last fifty reports, of any target of the service. */
const WORK_SMOOTHING = 0.02

export class ServiceCosts {
  /** Mean work in ms that a request at a target has left, by service. */
  private readonly workLeft = new LruCaches.LRUCache<string, number>({ max: SERVICES_MAXIMUM })
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

  /** Adds the work in ms that a target reports for the requests that it has. */
  learnWork (service: Decisions.Ids.Service, left: number, requests: number): void {
    if (requests < 1) return
    const known = this.workLeft.get(service)
    const each = left / requests
    this.workLeft.set(service, known === undefined ? each : known + WORK_SMOOTHING * (each - known))
  }

  /**
   * Mean work in ms that a request at a target has left. Beyond the mean cost when some requests take many times longer
   * than others, since those are at a target for longer.
   */
  meanLeft (service: Decisions.Ids.Service): number {
    return Math.max(this.workLeft.get(service) ?? this.mean(service), Number.MIN_VALUE)
  }

  private table (service: Decisions.Ids.Service): CostTables.CostTable {
    const existing = this.tables.get(service)
    if (existing !== undefined) return existing
    const created = new CostTables.CostTable()
    this.tables.set(service, created)
    return created
  }
}
