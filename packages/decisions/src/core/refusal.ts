/** Typed refusals. Each kind is a documented problem type in docs/callers.md. */

/**
 * Whether a request without a complete answer may have run.
 * `not-run`: it certainly did not run and will not run. `unknown`: it may have run or may still run.
 */
export type Outcome = 'not-run' | 'unknown'

export type RefusalKind =
  | 'service-unknown'
  | 'no-target-available'
  | 'overloaded'
  | 'deadline-exceeded'
  | 'target-unknown'
  | 'target-leaving'
  | 'target-ejected'
  | 'node-leaving'
  | 'node-starting'
  | 'request-blocked'
  | 'key-malformed'
  | 'key-content-mismatch'
  | 'key-expired'
  | 'key-owner-unreachable'
  | 'key-owner-changed'
  | 'key-owner-uncertain'
  | 'body-too-large'
  | 'request-malformed'
  | 'upstream-unreachable'
  | 'upstream-disconnected'
  | 'upstream-timeout'
  | 'caller-cancelled'

export interface Refusal {
  readonly kind: RefusalKind
  readonly outcome: Outcome
  /** One sentence for the operator of the caller. */
  readonly detail: string
  /** Time in milliseconds after which the same request may succeed. */
  readonly retryAfter?: number
}

/** Builds a refusal of a request that certainly did not run. */
export function notRun (kind: RefusalKind, detail: string, retryAfter?: number): Refusal {
  return { kind, outcome: 'not-run', detail, ...(retryAfter === undefined ? {} : { retryAfter }) }
}

/** Builds a refusal of a request that may have run. */
export function unknown (kind: RefusalKind, detail: string): Refusal {
  return { kind, outcome: 'unknown', detail }
}
