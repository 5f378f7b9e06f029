/** Finds the route of a request and the destination among its parts. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Routes from './route.js'

/** Prefixes of one host name by their length, longest first. */
interface HostTable {
  readonly lengths: readonly number[]
  readonly byPrefix: ReadonlyMap<string, Routes.Route>
}

function tableOf (routes: readonly Routes.Route[]): HostTable {
  const byPrefix = new Map(routes.map(route => [route.pathPrefix, route]))
  const lengths = [...new Set(routes.map(route => route.pathPrefix.length))].sort((left, right) => right - left)
  return { lengths, byPrefix }
}

export class RouteTable {
  private readonly byHost = new Map<string, HostTable>()

  constructor (readonly configuration: Routes.RouteConfiguration) {
    const grouped = new Map<string, Routes.Route[]>()
    for (const route of configuration.routes) {
      const group = grouped.get(route.host) ?? []
      group.push(route)
      grouped.set(route.host, group)
    }
    for (const [host, routes] of grouped) this.byHost.set(host, tableOf(routes))
  }

  /** The route with the longest prefix of `path` among those of `host`. */
  match (host: string, path: string): Routes.Route | undefined {
    const table = this.byHost.get(host)
    for (const length of table?.lengths ?? []) {
      const route = table?.byPrefix.get(path.slice(0, length))
      if (route !== undefined) return route
    }
    return undefined
  }
}

/** Draws a destination in proportion to the weights. */
export function chooseDestination (route: Routes.Route, random: Decisions.Random.Random): Decisions.Ids.Service | undefined {
  const total = route.destinations.reduce((sum, destination) => sum + destination.weight, 0)
  if (total <= 0) return route.destinations[0]?.service
  let rest = random.fraction() * total
  for (const destination of route.destinations) {
    rest -= destination.weight
    if (rest < 0) return destination.service
  }
  return route.destinations.at(-1)?.service
}
