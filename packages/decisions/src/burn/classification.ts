/** Classifies requests against the service-level objectives. */
import type * as Events from '../core/event.js'
import type * as Refusals from '../core/refusal.js'
import type * as Decisions from '../routing/decision.js'

/** `slow`: complete, but later than the latency objective. `refused`: certainly did not run. */
export type Classification = 'good' | 'slow' | 'failed' | 'refused'

/** Cause of a bad request. */
export type Cause = 'slow-response' | 'server-error' | 'truncated-response' | Refusals.RefusalKind | Decisions.Decision

const SERVER_ERROR_STATUS = 500

/** Refusals that the caller alone caused. */
const CALLER_FAULT_REFUSALS: ReadonlySet<Refusals.RefusalKind> = new Set([
  'request-malformed', 'body-too-large', 'key-malformed', 'key-content-mismatch', 'key-expired', 'caller-cancelled'
])

/** Undefined when the request says nothing about the quality of the service. */
export function classify (event: Events.RequestEnded): Classification | undefined {
  const { end, elapsed, policy } = event
  const isOnTime = elapsed <= policy.latencyObjective
  switch (end.kind) {
    case 'relayed':
      if (!end.intact || end.status >= SERVER_ERROR_STATUS) return 'failed'
      return isOnTime ? 'good' : 'slow'
    case 'replayed':
      if (end.status >= SERVER_ERROR_STATUS) return 'failed'
      return isOnTime ? 'good' : 'slow'
    case 'refused':
      if (CALLER_FAULT_REFUSALS.has(end.refusal.kind)) return undefined
      return end.refusal.outcome === 'not-run' ? 'refused' : 'failed'
    // A caller that cancels after the objective saw a slow service. A cancellation before it says nothing.
    case 'cancelled': return isOnTime ? undefined : 'slow'
  }
}

/** Causes of a bad request: how it ended, and the decisions made on the way. */
export function causes (event: Events.RequestEnded): readonly Cause[] {
  return [...new Set<Cause>([causeOfEnd(event), ...event.decisions])]
}

function causeOfEnd (event: Events.RequestEnded): Cause {
  const { end } = event
  switch (end.kind) {
    case 'relayed':
      if (!end.intact) return 'truncated-response'
      return end.status >= SERVER_ERROR_STATUS ? 'server-error' : 'slow-response'
    case 'replayed': return end.status >= SERVER_ERROR_STATUS ? 'server-error' : 'slow-response'
    case 'refused': return end.refusal.kind
    case 'cancelled': return 'slow-response'
  }
}
