/** How callers and backend servers of a deployment express what the product needs to know. Filled by an adapter. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Exchanges from './exchange.js'

export interface CallerMetadata {
  /** Absent when the caller named none. */
  readonly request?: Decisions.Ids.RequestId
  /** Time for which the caller waits. */
  readonly remaining?: Decisions.Clock.Milliseconds
}

export interface TargetRequestMetadata {
  readonly target: Decisions.Ids.TargetId
  readonly origin: Decisions.Ids.Service
  readonly remaining: Decisions.Clock.Milliseconds
}

/** What a backend server's response says beside its content. */
export interface TargetResponseMetadata {
  /** The request to which the response belongs, if it says so. */
  readonly request?: Decisions.Ids.RequestId
  /** The backend server states that it did not run the request. */
  readonly isNotExecuted: boolean
  /** Another backend server has the address now. */
  readonly isMisdirected: boolean
  /** The response carries the backend server's signature. */
  readonly isSigned: boolean
  /** The body was changed on its way, for example compressed. */
  readonly isAltered: boolean
}

export abstract class Dialect {
  /** Lower-case names of fields that callers cannot set. */
  abstract readonly reservedFields: ReadonlySet<string>
  abstract readCallerMetadata (headers: readonly string[]): CallerMetadata
  /** Fields for a request to a backend server. */
  abstract targetRequestFields (terms: TargetRequestMetadata): string[]
  abstract readTargetMetadata (response: Exchanges.Response): TargetResponseMetadata
  /** Fields of a refusal that tell when to come back. */
  abstract retryFields (retryAfter: Decisions.Clock.Milliseconds): string[]
  /** Fields of an answer of this node to a request. */
  abstract answerFields (request: Decisions.Ids.RequestId): string[]
}
