/**
 * Expected cost of requests in ms of an average target: by route, refined by the size of the body and by account as far
 * as the samples bear that out.
 *
 * Load pattern: requests of 0.2 s and 0.65 s that only their route, size or account tells apart; 3 in 100 take 7 times as long.
 */
import type * as Decisions from '@jasminedale/decisions'
import * as LruCaches from 'lru-cache'
import * as CostCells from './cost-cell.js'

/** What the cost of a request is learned by. */
export interface CostKey {
  readonly route: string
  readonly account: Decisions.Ids.Account | undefined
  /** See `sizeClassOf`. */
  readonly sizeClass: number
}

export interface Estimate {
  readonly mean: number
  /** Expected absolute deviation of a single request from the mean. */
  readonly deviation: number
}

/** Mean before the first sample; of the same order as the service times of the users' requests. */
const INITIAL_MEAN_MS = 150
const ROUTES_MAXIMUM = 512
const ACCOUNTS_PER_ROUTE_MAXIMUM = 128
const SIZE_CLASS_MAXIMUM = 31
/** Samples of a route that weigh as much as the mean over all routes. */
const ROUTE_PRIOR_SAMPLES = 2
/** Expected relative difference between sizes, or accounts, of one route. A smaller one is left to chance until many samples show it. */
const SPREAD = 0.3
/** Standard errors of a finer class's mean that are put down to chance. */
const CHANCE_DEVIATIONS = 1.5

interface RouteCosts {
  readonly all: CostCells.CostCell
  /** Means relative to those of the route. */
  readonly bySize: (CostCells.CostCell | undefined)[]
  readonly byAccount: LruCaches.LRUCache<string, CostCells.CostCell>
}

/** Class of a body by its length: the number of binary digits. */
export function sizeClassOf (length: number): number {
  return length <= 0 ? 0 : Math.min(SIZE_CLASS_MAXIMUM, 32 - Math.clz32(length))
}

export class CostTable {
  private overall: CostCells.CostCell | undefined
  private readonly routes = new LruCaches.LRUCache<string, RouteCosts>({ max: ROUTES_MAXIMUM })

  /** Mean over all requests. */
  get mean (): number {
    return this.overall?.mean ?? INITIAL_MEAN_MS
  }

  /** Adds the time of a request at an average target. */
  learn (key: CostKey, cost: number, now: Decisions.Clock.Milliseconds): void {
    this.overall ??= new CostCells.CostCell(INITIAL_MEAN_MS, now)
    const route = this.routes.get(key.route) ?? this.addRoute(key.route, now)
    const routeMean = this.routeMean(route, now)
    const size = route.bySize[key.sizeClass] ??= new CostCells.CostCell(1, now)
    const sizeFactor = factorOf(size, route.all, now)
    size.add(cost / routeMean, now)
    if (key.account !== undefined) {
      const account = route.byAccount.get(key.account) ?? new CostCells.CostCell(1, now)
      route.byAccount.set(key.account, account)
      account.add(cost / (routeMean * sizeFactor), now)
    }
    route.all.add(cost, now)
    this.overall.add(cost, now)
  }

  /** Expected cost in ms of an average target. */
  expected (key: CostKey, now: Decisions.Clock.Milliseconds): number {
    const route = this.routes.get(key.route)
    return route === undefined ? this.mean : this.routeMean(route, now) * this.refinement(route, key, now)
  }

  /** The expected cost and how far single requests deviate from it. */
  estimate (key: CostKey, now: Decisions.Clock.Milliseconds): Estimate {
    const mean = this.expected(key, now)
    const cell = this.routes.get(key.route)?.all ?? this.overall
    return { mean, deviation: cell === undefined || cell.mean === 0 ? mean / 2 : mean * cell.deviation / cell.mean }
  }

  private addRoute (name: string, now: Decisions.Clock.Milliseconds): RouteCosts {
    const added: RouteCosts = { all: new CostCells.CostCell(this.mean, now), bySize: [], byAccount: new LruCaches.LRUCache({ max: ACCOUNTS_PER_ROUTE_MAXIMUM }) }
    this.routes.set(name, added)
    return added
  }

  private routeMean ({ all }: RouteCosts, now: Decisions.Clock.Milliseconds): number {
    const weight = all.weight(now)
    return (weight * all.mean + ROUTE_PRIOR_SAMPLES * this.mean) / (weight + ROUTE_PRIOR_SAMPLES)
  }

  private refinement (route: RouteCosts, { sizeClass, account }: CostKey, now: Decisions.Clock.Milliseconds): number {
    const accountCell = account === undefined ? undefined : route.byAccount.get(account)
    return factorOf(route.bySize[sizeClass], route.all, now) * factorOf(accountCell, route.all, now)
  }
}

/** Factor of a finer class, shrunk to 1 by the scatter of the route and the number of samples. */
function factorOf (cell: CostCells.CostCell | undefined, route: CostCells.CostCell, now: Decisions.Clock.Milliseconds): number {
  if (cell === undefined || route.mean <= 0) return 1
  const weight = cell.weight(now)
  const scatter = Math.max(cell.deviation, route.deviation / route.mean)
  const difference = cell.mean - 1
  const chance = CHANCE_DEVIATIONS * scatter / Math.sqrt(weight + 1)
  if (Math.abs(difference) <= chance) return 1
  return 1 + difference * (1 - (chance / difference) ** 2) * weight / (weight + (scatter / SPREAD) ** 2)
}
