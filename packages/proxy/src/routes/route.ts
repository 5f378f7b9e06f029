/** Routes and caller limits of one accepted configuration. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Accounts from '../accounts/account.js'

/** A service that receives a share of a route's requests. */
export interface Destination {
  readonly service: Decisions.Ids.Service
  /** Share of the requests relative to the other destinations of the route. */
  readonly weight: number
}

export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  /** Whether a request may run more than once. */
  readonly repeatable: boolean
  /** Longest time until the caller gets an answer. */
  readonly timeout: Decisions.Clock.Milliseconds
  /** Latency within which a response has its full value to the caller. */
  readonly latencyObjective: Decisions.Clock.Milliseconds
  /** Priority under overload; 0 is the most urgent. */
  readonly priority: number
  /** Largest number of targets on which one request may run, the first included. */
  readonly attempts: number
  readonly destinations: readonly Destination[]
  /** Whether requests need no key of a client account. */
  readonly allowsAnonymous: boolean
}

export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  /** Time within which the header section of a request must arrive. */
  readonly headerTimeout: Decisions.Clock.Milliseconds
  /** Time after which an idle connection is closed. */
  readonly idleTimeout: Decisions.Clock.Milliseconds
}

/** Decisions about capacity that a configuration switches on. Without them requests are placed and queued by their number. */
export interface CapacityFeatures {
  /** Targets are chosen, and waits are estimated, by the expected cost of requests. */
  readonly placesByCost: boolean
  /** Room that is short is shared between client accounts, kinds of requests and calls of backend servers. */
  readonly sharesFairly: boolean
  /** Requests are admitted only if the services that they call have room. */
  readonly admitsByDependencies: boolean
}

export interface RouteConfiguration {
  readonly version: Decisions.Ids.Version
  /** Digest of the published record, by which operators compare what is in force on different nodes. */
  readonly checksum: string
  readonly routes: readonly Route[]
  /** Undefined when requests carry no keys. */
  readonly accounts: readonly Accounts.Account[] | undefined
  readonly limits: CallerLimits
  readonly features: CapacityFeatures
}
