/** Finds the route of a request. */
import type * as Routes from './route.js'

/** Routes of one host name. */
interface HostTable {
  /** Distinct lengths of the path prefixes, longest first. */
  readonly lengths: readonly number[]
  readonly byPrefix: ReadonlyMap<string, Routes.Route>
}

function createHostTable (routes: readonly Routes.Route[]): HostTable {
  const byPrefix = new Map(routes.map(route => [route.pathPrefix, route]))
  const lengths = [...new Set(routes.map(route => route.pathPrefix.length))].sort((left, right) => right - left)
  return { lengths, byPrefix }
}

export class RouteTable {
  private readonly byHost = new Map<string, HostTable>()

  constructor (readonly configuration: Routes.RouteConfiguration) {
    const routesByHost = new Map<string, Routes.Route[]>()
    for (const route of configuration.routes) {
      const group = routesByHost.get(route.host) ?? []
      group.push(route)
      routesByHost.set(route.host, group)
    }
    for (const [host, routes] of routesByHost) this.byHost.set(host, createHostTable(routes))
  }

  /** The route of `host` with the longest prefix of `path`. */
  match (host: string, path: string): Routes.Route | undefined {
    const table = this.byHost.get(host)
    for (const length of table?.lengths ?? []) {
      const route = table?.byPrefix.get(path.slice(0, length))
      if (route !== undefined) return route
    }
    return undefined
  }
}
