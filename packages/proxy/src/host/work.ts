/** A request on its way to the local target, and what became of it. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Exchanges from '../transport/exchange.js'

export interface Work {
  readonly request: Decisions.Ids.RequestId
  readonly target: Decisions.Ids.TargetId
  /** Service of the VM where the request began. */
  readonly origin: Decisions.Ids.Service
  readonly method: string
  readonly path: string
  readonly headers: readonly string[]
  readonly repeatable: boolean
  /** The request may be the trial of a target that has failed: another target is left for it. */
  readonly mayTry: boolean
  readonly priority: number
  readonly deadline: Decisions.Clock.Milliseconds
  readonly latencyObjective: Decisions.Clock.Milliseconds
  /** Instant until which an answer is fully useful. */
  readonly usefulUntil: Decisions.Clock.Milliseconds
  /** Whether the request may queue here; otherwise it is refused when no slot is free. */
  readonly mayWait: boolean
  /** Other targets are closed; this one is tried although it has just failed. */
  readonly insists: boolean
  /** Tells the requester that the request waits for a slot. */
  queued (): void
  /** Confirms that the request is about to run and returns its body; undefined when it was withdrawn. */
  commit (): Promise<Buffer | undefined>
  /** Calls `listener` when the requester withdraws. */
  onWithdrawn (listener: () => void): void
}

/** Why a host certainly did not run a request. */
export type RefusalReason =
  | 'node-starting' | 'node-leaving'
  | 'target-unknown' | 'target-leaving' | 'target-closed' | 'target-busy' | 'target-shed' | 'target-changed' | 'target-unreachable'
  | 'too-late' | 'host-unreachable' | 'no-target' | 'request-blocked'

const REFUSAL_REASONS: ReadonlySet<string> = new Set<RefusalReason>([
  'node-starting', 'node-leaving', 'target-unknown', 'target-leaving', 'target-closed', 'target-busy', 'target-shed',
  'target-changed', 'target-unreachable', 'too-late', 'host-unreachable', 'no-target', 'request-blocked'
])

/** Why nobody can tell whether a request ran. */
export type FailureReason = 'connection-lost' | 'timed-out' | 'response-invalid' | 'host-lost'

const FAILURE_REASONS: ReadonlySet<string> = new Set<FailureReason>(['connection-lost', 'timed-out', 'response-invalid', 'host-lost'])

export type Outcome =
  | { readonly kind: 'answered', readonly response: Exchanges.Response }
  /** `retryAfter` in ms: when another try may succeed. */
  | { readonly kind: 'refused', readonly reason: RefusalReason, readonly retryAfter: number }
  | { readonly kind: 'failed', readonly reason: FailureReason, readonly detail: string }
  /** The requester took the request back while it ran. */
  | { readonly kind: 'withdrawn' }

export function refused (reason: RefusalReason, retryAfter: number): Outcome {
  return { kind: 'refused', reason, retryAfter }
}

export function isRefusalReason (text: string): text is RefusalReason {
  return REFUSAL_REASONS.has(text)
}

export function isFailureReason (text: string): text is FailureReason {
  return FAILURE_REASONS.has(text)
}
