/** Inputs of the engine. External events come from the daemon, internal ones from the controllers and the engine itself. */
import type * as MembershipMessages from '../membership/message.js'
import type * as Decisions from '../routing/decision.js'
import type * as Clock from './clock.js'
import type * as Ids from './ids.js'
import type * as Messages from './message.js'
import type * as Policies from './policy.js'
import type * as Refusals from './refusal.js'

/**
 * Role of a node for a request: `entry` receives it from the caller and chooses a target, `owner` keeps the result
 * of its idempotency key, `host` runs it on a target of its own VM.
 */
export type Hop = 'entry' | 'owner' | 'host'

/** Statistics of the service's other targets as the entry observed them, sent with each forwarded request. */
export interface Baseline {
  /** Mean of ln(service time in ms). */
  readonly meanLogLatency: number
  /** Standard deviation of ln(service time in ms). */
  readonly deviation: number
  readonly errorRate: number
  readonly samples: number
}

export interface RequestArrived {
  readonly kind: 'request-arrived'
  readonly request: Ids.RequestId
  readonly hop: Hop
  readonly service: Ids.Service
  readonly method: string
  readonly path: string
  readonly account?: Ids.Account
  /** Value of Idempotency-Key as received. */
  readonly key?: Ids.IdempotencyKey
  readonly signature: Ids.Signature
  /** The whole body is buffered, so that a retry can send it again. */
  readonly replayable: boolean
  /** Time until the deadline; absent if the caller named none. */
  readonly remaining?: Clock.Milliseconds
  /** Target chosen by the sender; only at hop `host`. */
  readonly target?: Ids.TargetId
  /** Node that forwarded the request; absent at hop `entry`. */
  readonly from?: Ids.NodeId
  /** Number of attempts already made for this request, by any node. */
  readonly earlierAttempts: number
  readonly baseline?: Baseline
}

/** The head of an attempt's response has arrived. */
export interface AttemptResponded {
  readonly kind: 'attempt-responded'
  readonly request: Ids.RequestId
  readonly attempt: Ids.AttemptId
  readonly status: number
  /** The backend server reported that it sheds load. */
  readonly shed: boolean
  /** Time from dispatch to response head at the target, in ms, as its host measured it. */
  readonly serviceTime: Clock.Milliseconds
}

/** How an attempt ended. */
export type AttemptEnd =
  | { readonly kind: 'complete', readonly status: number, readonly bytes: number, readonly body?: string }
  | { readonly kind: 'refused', readonly refusal: Refusals.Refusal }
  /** The connection could not be opened: nothing was sent. */
  | { readonly kind: 'unreachable' }
  /** The connection was lost after bytes were sent. */
  | { readonly kind: 'disconnected', readonly responseStarted: boolean }
  | { readonly kind: 'timed-out', readonly responseStarted: boolean }
  | { readonly kind: 'cancelled' }

export interface AttemptFinished {
  readonly kind: 'attempt-finished'
  readonly request: Ids.RequestId
  readonly attempt: Ids.AttemptId
  readonly end: AttemptEnd
  /** Time from the `dispatch` or `forward` command to the end, in ms. */
  readonly elapsed: Clock.Milliseconds
}

export interface RequestCancelled {
  readonly kind: 'request-cancelled'
  readonly request: Ids.RequestId
}

/** Sent every 100 ms. */
export interface Tick { readonly kind: 'tick' }

export interface MessageReceived {
  readonly kind: 'message-received'
  readonly from: Ids.NodeId
  readonly address: Ids.Endpoint
  readonly message: Messages.Message
}

export interface TargetAnnounced {
  readonly kind: 'target-announced'
  readonly target: Ids.TargetId
  readonly service: Ids.Service
  readonly address: Ids.Endpoint
  readonly slots: number
  readonly incarnation: Ids.Incarnation
  /** Load as a fraction of capacity, as the backend server reports it. It may be outdated or wrong. */
  readonly load?: number
}

export interface TargetLeaving { readonly kind: 'target-leaving', readonly target: Ids.TargetId }

/** The backend server's process ended or stopped announcing itself. */
export interface TargetGone {
  readonly kind: 'target-gone'
  readonly target: Ids.TargetId
  readonly crashed: boolean
}

export interface ProbeFinished {
  readonly kind: 'probe-finished'
  readonly target: Ids.TargetId
  readonly healthy: boolean
  readonly elapsed: Clock.Milliseconds
}

/** A stream of the shared log. */
export type Stream = 'configuration' | 'roster'

export interface LogRecord {
  readonly offset: number
  /** When the log accepted the record, by the log's clock. */
  readonly appendedAt: Clock.Milliseconds
  readonly body: string
}

export interface LogRead {
  readonly kind: 'log-read'
  readonly stream: Stream
  readonly records: readonly LogRecord[]
  /** First offset that is still retained. */
  readonly start: number
  /** Offset after the last record. */
  readonly end: number
  /** The log's clock at the read. */
  readonly logTime: Clock.Milliseconds
  /** How long the log keeps a record. */
  readonly retention: Clock.Milliseconds
}

export interface LogUnavailable { readonly kind: 'log-unavailable', readonly stream: Stream }

export interface AppendFinished {
  readonly kind: 'append-finished'
  readonly stream: Stream
  readonly token: string
  /** `unknown`: the reply was lost, the record may be in the log. */
  readonly result: 'appended' | 'failed' | 'unknown'
  readonly offset?: number
}

export interface DrainRequested {
  readonly kind: 'drain-requested'
  /** Absent: the whole node. */
  readonly target?: Ids.TargetId
}

/** Internal: no block of Quarantine matches the request. */
export interface RequestCleared { readonly kind: 'request-cleared', readonly request: Ids.RequestId }

/** Internal: the request may run now and needs a target. */
export interface PlacementWanted { readonly kind: 'placement-wanted', readonly request: Ids.RequestId }

/** Internal: the request is to run on a target of this node. */
export interface AdmissionWanted {
  readonly kind: 'admission-wanted'
  readonly request: Ids.RequestId
  readonly attempt: Ids.AttemptId
  readonly target: Ids.TargetId
}

/** Internal: raised by the engine for every `dispatch`, so that all controllers learn that an attempt starts. */
export interface AttemptDispatched {
  readonly kind: 'attempt-dispatched'
  readonly request: Ids.RequestId
  readonly attempt: Ids.AttemptId
  readonly target: Ids.TargetId
}

/** Internal: Admission of this node refused an attempt before its dispatch. */
export interface AttemptRefused {
  readonly kind: 'attempt-refused'
  readonly request: Ids.RequestId
  readonly attempt: Ids.AttemptId
  readonly refusal: Refusals.Refusal
}

/**
 * Internal: the request gets no response from a backend server. Ownership answers it if this node keeps
 * the result of its idempotency key, otherwise Routing does.
 */
export interface PlacementFailed {
  readonly kind: 'placement-failed'
  readonly request: Ids.RequestId
  readonly refusal: Refusals.Refusal
}

/** Internal: Routing cancels an attempt at a local target, whether it is queued or running. */
export interface AttemptWithdrawn {
  readonly kind: 'attempt-withdrawn'
  readonly request: Ids.RequestId
  readonly attempt: Ids.AttemptId
}

/** Internal: raised by the engine for every `refuse` and `replay`, whichever controller emitted it. */
export interface RequestAnswered {
  readonly kind: 'request-answered'
  readonly request: Ids.RequestId
  readonly answer: Refusals.Refusal | { readonly kind: 'replayed', readonly status: number }
}

/** How a request ended for its requester, which is the caller or the node that forwarded it. */
export type RequestEnd =
  /** `intact` is false if the response was truncated. */
  | { readonly kind: 'relayed', readonly status: number, readonly intact: boolean }
  | { readonly kind: 'replayed', readonly status: number }
  | { readonly kind: 'refused', readonly refusal: Refusals.Refusal }
  | { readonly kind: 'cancelled' }

/** Internal: the request ended and its record was removed. */
export interface RequestEnded {
  readonly kind: 'request-ended'
  readonly request: Ids.RequestId
  readonly hop: Hop
  readonly service: Ids.Service
  readonly policy: Policies.Policy
  readonly elapsed: Clock.Milliseconds
  readonly end: RequestEnd
  /** Targets of the attempts, in order. */
  readonly targets: readonly Ids.TargetId[]
  /** Routing decisions that were made for the request, in order. */
  readonly decisions: readonly Decisions.Decision[]
}

/** Internal: the evidence about a local target is sufficient to eject it. */
export interface EjectionWanted {
  readonly kind: 'ejection-wanted'
  readonly target: Ids.TargetId
  readonly evidence: string
}

/** Internal: a local backend server crashed while it ran these requests. */
export interface TargetCrashed {
  readonly kind: 'target-crashed'
  readonly target: Ids.TargetId
  readonly incarnation: Ids.Incarnation
  readonly signatures: readonly Ids.Signature[]
}

/** Internal: a member joined, changed state or took a new incarnation. */
export interface MemberChanged { readonly kind: 'member-changed', readonly node: Ids.NodeId }

/** Internal: an update must be sent to all nodes by gossip. A later update with the same key replaces it. */
export interface GossipWanted {
  readonly kind: 'gossip-wanted'
  readonly key: string
  readonly update: MembershipMessages.Update
  /** Send a first copy in this step instead of at the next tick. */
  readonly urgent: boolean
}

/** Internal: a newer configuration is in force on this node. */
export interface ConfigurationChanged {
  readonly kind: 'configuration-changed'
  readonly configuration: Policies.Configuration
}

export type ExternalEvent =
  | RequestArrived | AttemptResponded | AttemptFinished | RequestCancelled | Tick | MessageReceived
  | TargetAnnounced | TargetLeaving | TargetGone | ProbeFinished | LogRead | LogUnavailable
  | AppendFinished | DrainRequested

export type InternalEvent =
  | RequestCleared | PlacementWanted | AdmissionWanted | AttemptDispatched | AttemptRefused | PlacementFailed
  | AttemptWithdrawn | RequestAnswered | RequestEnded | EjectionWanted | TargetCrashed | MemberChanged
  | ConfigurationChanged | GossipWanted | TargetGone

export type Event = ExternalEvent | InternalEvent
