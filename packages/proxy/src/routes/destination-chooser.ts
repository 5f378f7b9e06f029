/**
 * Chooses a destination of a route in proportion to the weights. Load pattern: hundreds of nodes that each see few requests
 * of a route, while operators compare the shares over seconds.
 */
import type * as Decisions from '@jasminedale/decisions'
import * as LruCache from 'lru-cache'
import type * as Routes from './route.js'

/** Successive multiples of the golden ratio, modulo 1, spread evenly over every interval of weights. */
const STEP = (Math.sqrt(5) - 1) / 2
const MAXIMUM_ROUTES = 1_000

export class DestinationChooser {
  /** Position of each route in its sequence, from 0 to 1. Starts at random, so that nodes do not choose in step. */
  private readonly positions = new LruCache.LRUCache<string, number>({ max: MAXIMUM_ROUTES })

  constructor (private readonly random: Decisions.Random.Random) {}

  /** The destination of the next request; undefined if the route has none with a weight above zero. */
  choose (route: Routes.Route): Decisions.Ids.Service | undefined {
    const destinations = route.destinations.filter(({ weight }) => weight > 0)
    if (destinations.length <= 1) return destinations[0]?.service
    const position = ((this.positions.get(route.name) ?? this.random.fraction()) + STEP) % 1
    this.positions.set(route.name, position)
    let remainder = position * destinations.reduce((sum, { weight }) => sum + weight, 0)
    for (const { service, weight } of destinations) {
      remainder -= weight
      if (remainder < 0) return service
    }
    return destinations.at(-1)?.service
  }
}
