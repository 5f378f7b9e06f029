/** A request that an entry node offers to the host of its target, and the possible outcomes. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Contents from '../resources/content.js'
import type * as Exchanges from '../transport/exchange.js'

export interface HostedRequest {
  readonly id: Decisions.Ids.RequestId
  readonly target: Decisions.Ids.TargetId
  /** Service of the VM from which the caller sent the request. */
  readonly callerService: Decisions.Ids.Service
  readonly method: string
  readonly path: string
  readonly headers: readonly string[]
  /** Whether the route allows the request to run more than once. */
  readonly repeatable: boolean
  /** Whether the request can be retried elsewhere and so may probe a target whose circuit breaker is tripped. */
  readonly mayBeProbe: boolean
  /** Name of the route. */
  readonly route: string
  /** Client account of the caller, if any. */
  readonly account: Decisions.Ids.Account | undefined
  /** Whether a backend server sent it while it ran another request, which fails without it. */
  readonly isCall: boolean
  /** Fraction of the parents that the sender of a call admits; undefined means 1. */
  readonly senderFraction?: number
  /** What the entry node expects of the request; undefined from nodes that do not place by cost. */
  readonly expectation?: Expectation | undefined
  /** Priority under overload; 0 is the most urgent. */
  readonly priority: number
  readonly deadline: Decisions.Clock.Milliseconds
  readonly latencyObjective: Decisions.Clock.Milliseconds
  /** Arrival at the entry node plus the latency objective of the route: a later response is worth less to the caller. */
  readonly objectiveDeadline: Decisions.Clock.Milliseconds
  /** Whether the request may wait in the queue of the host; otherwise it is refused when no slot is free. */
  readonly mayQueue: boolean
  /** Whether to run the request even though the circuit breaker is tripped, because no other target is available. */
  readonly mayBypassBreaker: boolean
  /** Called when the request enters the queue; notifies the entry node. */
  onQueued (): void
  /** Notifies the entry node that a slot is held and returns the body; undefined if the request was withdrawn. */
  commit (): Promise<Contents.Content | undefined>
  /** Calls `listener` when the entry node withdraws the request. */
  onWithdrawn (listener: () => void): void
}

/** Cost of a request as its entry node expects it. */
export interface Expectation {
  /** In ms of an average target. */
  readonly cost: number
  /** See `CostTables.sizeClassOf`. */
  readonly sizeClass: number
}

/** Reasons with which a host refuses a request. A refused request is certain not to have run. */
export type RefusalReason =
  | 'node-starting' | 'node-leaving'
  | 'target-unknown' | 'target-leaving' | 'target-closed' | 'target-busy' | 'target-limited' | 'target-shed' | 'target-changed' | 'target-unreachable'
  | 'too-late' | 'host-unreachable' | 'no-target' | 'request-blocked' | 'dependency-full'

const REFUSAL_REASONS: ReadonlySet<string> = new Set<RefusalReason>([
  'node-starting', 'node-leaving', 'target-unknown', 'target-leaving', 'target-closed', 'target-busy', 'target-limited', 'target-shed',
  'target-changed', 'target-unreachable', 'too-late', 'host-unreachable', 'no-target', 'request-blocked', 'dependency-full'
])

/** Reasons for which it is unknown whether a request ran. */
export type FailureReason = 'connection-lost' | 'timed-out' | 'response-invalid' | 'host-lost'

const FAILURE_REASONS: ReadonlySet<string> = new Set<FailureReason>(['connection-lost', 'timed-out', 'response-invalid', 'host-lost'])

export type Outcome =
  /** `served` is the service time in ms, if the host learns costs. */
  | { readonly kind: 'answered', readonly response: Exchanges.Response, readonly served?: number }
  /** `retryAfter` is the time in ms after which another attempt may succeed. */
  | { readonly kind: 'refused', readonly reason: RefusalReason, readonly retryAfter: number }
  | { readonly kind: 'failed', readonly reason: FailureReason, readonly detail: string }
  /** The entry node cancelled the request while it ran. */
  | { readonly kind: 'withdrawn' }

export function refusal (reason: RefusalReason, retryAfter: number): Outcome {
  return { kind: 'refused', reason, retryAfter }
}

export function isRefusalReason (text: string): text is RefusalReason {
  return REFUSAL_REASONS.has(text)
}

export function isFailureReason (text: string): text is FailureReason {
  return FAILURE_REASONS.has(text)
}
