/** How a request counts against the service-level objectives. */
import type * as Events from '../core/event.js'
import type * as Refusals from '../core/refusal.js'
import type * as Decisions from '../routing/decision.js'

/** What counts: `slow` is complete but later than the objective, `refused` certainly did not run. */
export type Judgement = 'good' | 'slow' | 'failed' | 'refused'

/** What made a request bad. */
export type Cause = 'slow-response' | 'server-error' | 'truncated-response' | Refusals.RefusalKind | Decisions.Decision

const SERVER_ERROR = 500

/** Refusals for which the caller alone is responsible. */
const CALLER_FAULTS: ReadonlySet<Refusals.RefusalKind> = new Set([
  'request-malformed', 'body-too-large', 'key-malformed', 'key-content-mismatch', 'key-expired', 'caller-cancelled'
])

/** Undefined when the request says nothing about the service. */
export function judge (event: Events.RequestEnded): Judgement | undefined {
  const { end, elapsed, policy } = event
  const timely = elapsed <= policy.latencyObjective
  switch (end.kind) {
    case 'relayed':
      if (!end.intact || end.status >= SERVER_ERROR) return 'failed'
      return timely ? 'good' : 'slow'
    case 'replayed':
      if (end.status >= SERVER_ERROR) return 'failed'
      return timely ? 'good' : 'slow'
    case 'refused':
      if (CALLER_FAULTS.has(end.refusal.kind)) return undefined
      return end.refusal.outcome === 'not-run' ? 'refused' : 'failed'
    // A caller that gives up after the objective saw a slow service; before it, nothing is known.
    case 'cancelled': return timely ? undefined : 'slow'
  }
}

/** Why a request is bad: how it ended, and the decisions that led there. */
export function causes (event: Events.RequestEnded): readonly Cause[] {
  return [...new Set<Cause>([ending(event), ...event.decisions])]
}

function ending (event: Events.RequestEnded): Cause {
  const { end } = event
  switch (end.kind) {
    case 'relayed':
      if (!end.intact) return 'truncated-response'
      return end.status >= SERVER_ERROR ? 'server-error' : 'slow-response'
    case 'replayed': return end.status >= SERVER_ERROR ? 'server-error' : 'slow-response'
    case 'refused': return end.refusal.kind
    case 'cancelled': return 'slow-response'
  }
}
