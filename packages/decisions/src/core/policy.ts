/** The fleet configuration as the controllers read it. Parsing is the configuration package's task. */
import type * as Clock from './clock.js'
import type * as Ids from './ids.js'

/** Order in which work is refused under overload: `sheddable` first, `critical` last. */
export type Priority = 'critical' | 'normal' | 'sheddable'

/** `by-method` follows RFC 9110: POST and PATCH are not idempotent. */
export type Idempotence = 'by-method' | 'yes' | 'no'

/** Every setting that operators can change, as defaults or in an exception. */
export interface Policy {
  /** Fraction of a service's targets that ejection must leave in service. */
  readonly capacityFloor: number
  /** Log-likelihood ratio in nats above which a target is ejected. */
  readonly ejectionEvidence: number
  /** First hold of an ejected target; doubles for each repeat. */
  readonly ejectionHold: Clock.Milliseconds
  readonly ejectionHoldMaximum: Clock.Milliseconds
  /** Time from the first trickle of work to full weight. */
  readonly slowStart: Clock.Milliseconds
  /** Time after an announcement during which slowness is no evidence. */
  readonly coldStart: Clock.Milliseconds
  readonly probeInterval: Clock.Milliseconds
  /** Deadline of a request that names none. */
  readonly deadline: Clock.Milliseconds
  readonly deadlineMaximum: Clock.Milliseconds
  /** Largest request or response body in bytes. */
  readonly bodyLimit: number
  /** Retries as a fraction of first attempts. */
  readonly retryBudget: number
  /** Attempts for one request, the first included. */
  readonly attempts: number
  readonly priority: Priority
  readonly idempotence: Idempotence
  /** Traffic between regions in Mbit/s for a data center. */
  readonly linkBudget: number
  readonly keyRetention: Clock.Milliseconds
  /** Longest wait for requests in flight at a planned stop. */
  readonly drainLimit: Clock.Milliseconds
  /** Response time that counts as good in the burn report. */
  readonly latencyObjective: Clock.Milliseconds
  /** Fraction of requests that must be good. */
  readonly availabilityObjective: number
}

/** What an exception applies to; absent fields match everything. */
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
  /** Id chosen by the publisher, so that a repeat is recognized. */
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

function matches (scope: Scope, subject: RequestAttributes): boolean {
  if (scope.service !== undefined && scope.service !== subject.service) return false
  if (scope.account !== undefined && scope.account !== subject.account) return false
  if (scope.method !== undefined && scope.method !== subject.method) return false
  if (scope.pathPrefix === undefined) return true
  return subject.path?.startsWith(scope.pathPrefix) ?? false
}

/** Defaults with every matching exception applied in file order; expired ones are passed over. */
export function policyFor (configuration: Configuration, subject: RequestAttributes, now: Clock.Milliseconds): Policy {
  let policy = configuration.defaults
  for (const exception of configuration.exceptions) {
    const expired = exception.expires !== undefined && exception.expires <= now
    if (!expired && matches(exception.scope, subject)) policy = { ...policy, ...exception.overrides }
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
