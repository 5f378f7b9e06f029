/** The fleet configuration as the controllers read it. The configuration package parses it. */
import type * as Clock from './clock.js'
import type * as Ids from './ids.js'

/** Priority of a request. Under overload, `sheddable` requests are refused first and `critical` ones last. */
export type Priority = 'critical' | 'normal' | 'sheddable'

/** `by-method` follows RFC 9110: POST and PATCH are not idempotent. */
export type Idempotence = 'by-method' | 'yes' | 'no'

/** The settings that operators can change, for the whole fleet as defaults or for some requests as an exception. */
export interface Policy {
  /** Fraction of a service's targets that ejection must leave in service. */
  readonly capacityFloor: number
  /** Log-likelihood ratio in nats above which a target is ejected. */
  readonly ejectionEvidence: number
  /** How long a target's first ejection lasts; doubles with each repeated ejection. */
  readonly ejectionHold: Clock.Milliseconds
  readonly ejectionHoldMaximum: Clock.Milliseconds
  /** Time over which the share of work of a target that returns from ejection rises to full weight. */
  readonly slowStart: Clock.Milliseconds
  /** Time after a target's announcement during which slow responses do not count as evidence against it. */
  readonly coldStart: Clock.Milliseconds
  readonly probeInterval: Clock.Milliseconds
  /** Time until the deadline of a request that names none. */
  readonly deadline: Clock.Milliseconds
  readonly deadlineMaximum: Clock.Milliseconds
  /** Largest request or response body in bytes. */
  readonly bodyLimit: number
  /** Largest number of retries, as a fraction of first attempts. */
  readonly retryBudget: number
  /** Largest number of attempts for one request, the first included. */
  readonly attempts: number
  readonly priority: Priority
  readonly idempotence: Idempotence
  /** Traffic in Mbit/s that one data center may send to other regions. */
  readonly linkBudget: number
  readonly keyRetention: Clock.Milliseconds
  /** How long a planned stop waits at most for requests in flight. */
  readonly drainLimit: Clock.Milliseconds
  /** Response time that counts as good in the burn report. */
  readonly latencyObjective: Clock.Milliseconds
  /** Fraction of requests that must count as good. */
  readonly availabilityObjective: number
}

/** The requests that an exception applies to; absent fields match everything. */
export interface Scope {
  readonly service?: Ids.Service
  readonly pathPrefix?: string
  readonly method?: string
  readonly account?: Ids.Account
}

export interface Exception {
  readonly name: string
  readonly reason: string
  readonly owner?: string
  /** Instant after which the exception no longer applies. */
  readonly expires?: Clock.Milliseconds
  readonly scope: Scope
  readonly overrides: Partial<Policy>
}

/** One accepted configuration. */
export interface Configuration {
  readonly version: Ids.Version
  /** Id chosen by the publisher, so that a repeated publication is recognized. */
  readonly publication: string
  readonly defaults: Policy
  readonly exceptions: readonly Exception[]
}

/** The request attributes that exceptions match on. */
export interface RequestAttributes {
  readonly service: Ids.Service
  readonly path?: string
  readonly method?: string
  readonly account?: Ids.Account
}

function matches (scope: Scope, request: RequestAttributes): boolean {
  if (scope.service !== undefined && scope.service !== request.service) return false
  if (scope.account !== undefined && scope.account !== request.account) return false
  if (scope.method !== undefined && scope.method !== request.method) return false
  if (scope.pathPrefix === undefined) return true
  return request.path?.startsWith(scope.pathPrefix) ?? false
}

/** The defaults with every matching exception applied in the order of the file; expired exceptions are skipped. */
export function policyFor (configuration: Configuration, request: RequestAttributes, now: Clock.Milliseconds): Policy {
  let policy = configuration.defaults
  for (const exception of configuration.exceptions) {
    const expired = exception.expires !== undefined && exception.expires <= now
    if (!expired && matches(exception.scope, request)) policy = { ...policy, ...exception.overrides }
  }
  return policy
}

const NON_IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['POST', 'PATCH'])

/** Whether a request may be run more than once. */
export function isIdempotent (policy: Policy, method: string): boolean {
  switch (policy.idempotence) {
    case 'yes': return true
    case 'no': return false
    case 'by-method': return !NON_IDEMPOTENT_METHODS.has(method)
  }
}
