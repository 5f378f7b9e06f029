/** Outputs of the engine, carried out by the daemon. */
import type * as Clock from './clock.js'
import type * as Events from './event.js'
import type * as Ids from './ids.js'
import type * as Messages from './message.js'
import type * as Refusals from './refusal.js'

/** Send the request to a backend server on this VM. */
export interface Dispatch {
  readonly kind: 'dispatch'
  readonly request: Ids.RequestId
  readonly attempt: Ids.AttemptId
  readonly target: Ids.TargetId
  readonly address: Ids.Endpoint
  readonly remaining: Clock.Milliseconds
}

/** Send the request to another node. */
export interface Forward {
  readonly kind: 'forward'
  readonly request: Ids.RequestId
  readonly attempt: Ids.AttemptId
  readonly hop: 'owner' | 'host'
  readonly node: Ids.NodeId
  readonly address: Ids.Endpoint
  readonly target?: Ids.TargetId
  readonly remaining: Clock.Milliseconds
  readonly earlierAttempts: number
  readonly baseline?: Events.Baseline
}

/** Stream this attempt's response to the requester: the caller, or the node that forwarded the request. */
export interface Relay {
  readonly kind: 'relay'
  readonly request: Ids.RequestId
  readonly attempt: Ids.AttemptId
}

/** End the request with a typed refusal. */
export interface Refuse {
  readonly kind: 'refuse'
  readonly request: Ids.RequestId
  readonly refusal: Refusals.Refusal
}

/** Answer with the stored result of an idempotency key. `body` is absent when it was too large to keep. */
export interface Replay {
  readonly kind: 'replay'
  readonly request: Ids.RequestId
  readonly status: number
  readonly body?: string
}

/** Stop an attempt that was dispatched or forwarded. */
export interface Cancel {
  readonly kind: 'cancel'
  readonly request: Ids.RequestId
  readonly attempt: Ids.AttemptId
}

/** Send a control message to another node. */
export interface Send {
  readonly kind: 'send'
  readonly to: Ids.NodeId
  readonly address: Ids.Endpoint
  /** `datagram` for up to 1,200 bytes, `stream` for larger messages. */
  readonly channel: 'datagram' | 'stream'
  readonly message: Messages.Message
}

/** Check the health of a backend server on this VM. */
export interface Probe {
  readonly kind: 'probe'
  readonly target: Ids.TargetId
  readonly address: Ids.Endpoint
}

/** Read records of the shared log from the offset `from` on. */
export interface ReadLog {
  readonly kind: 'read-log'
  readonly stream: Events.Stream
  readonly from: number
}

/** Append a record to the shared log; `token` identifies the append in its `append-finished` event. */
export interface AppendLog {
  readonly kind: 'append-log'
  readonly stream: Events.Stream
  readonly token: string
  readonly body: string
}

/** Close pooled connections to an address; new ones may be opened. */
export interface RetireConnections {
  readonly kind: 'retire-connections'
  readonly address: Ids.Endpoint
}

/** A drain of a target, or of the node if `target` is absent, ended; `abandoned` requests were still in flight at the limit. */
export interface Drained {
  readonly kind: 'drained'
  readonly target?: Ids.TargetId
  readonly abandoned: number
}

export type Command =
  | Dispatch | Forward | Relay | Refuse | Replay | Cancel | Send | Probe
  | ReadLog | AppendLog | RetireConnections | Drained
