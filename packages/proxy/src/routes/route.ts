/** The routes, services and caller limits of one accepted configuration. */
import type * as Decisions from '@jasminedale/decisions'

/** One destination of a route and its share of the requests. */
export interface Destination {
  readonly service: Decisions.Ids.Service
  /** Relative to the other destinations of the route. */
  readonly weight: number
}

export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  /** Whether a request may run more than once. */
  readonly repeatable: boolean
  /** Longest time for which a caller is kept waiting. */
  readonly timeout: Decisions.Clock.Milliseconds
  /** Latency within which a response is fully useful. */
  readonly latencyObjective: Decisions.Clock.Milliseconds
  /** Rank under overload; 0 is the most urgent. */
  readonly priority: number
  /** Largest number of targets on which one request may run. */
  readonly attempts: number
  readonly destinations: readonly Destination[]
}

export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  /** Longest time for the head of a request to arrive. */
  readonly headerTimeout: Decisions.Clock.Milliseconds
  /** Longest time for which a connection may stay idle. */
  readonly idleTimeout: Decisions.Clock.Milliseconds
}

export interface RouteConfiguration {
  readonly version: Decisions.Ids.Version
  readonly routes: readonly Route[]
  readonly limits: CallerLimits
}
