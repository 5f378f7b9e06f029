/** Interface for the header fields by which callers and backend servers of a deployment exchange metadata. An adapter implements it. */
import type * as Decisions from '@jasminedale/decisions'
import type * as neverthrow from 'neverthrow'
import type * as Exchanges from './exchange.js'

/** Metadata of a caller's request. */
export interface CallerMetadata {
  /** Absent when the caller gave no request id. */
  readonly request?: Decisions.Ids.RequestId
  /** Time for which the caller still waits for the response. */
  readonly remaining?: Decisions.Clock.Milliseconds
  /** Key of the caller's client account. */
  readonly key?: string
}

/** Metadata of a request to a backend server. */
export interface TargetRequestMetadata {
  /** The only target that may run the request. */
  readonly target: Decisions.Ids.TargetId
  /** Service of the VM from which the caller sent the request. */
  readonly callerService: Decisions.Ids.Service
  readonly remaining: Decisions.Clock.Milliseconds
  /** Client account of the request, if any. */
  readonly account: Decisions.Ids.Account | undefined
}

/** Metadata of a backend server's response. */
export interface TargetResponseMetadata {
  /** Id of the request to which the response belongs, if the response has one. */
  readonly request?: Decisions.Ids.RequestId
  /** Whether the backend server states that it did not run the request. */
  readonly isNotExecuted: boolean
  /** Whether another backend server answered, which has the address now. */
  readonly isMisdirected: boolean
  /** Whether the response carries the backend server's signature and names its request, so that it cannot be a late copy of an earlier one. */
  readonly isSigned: boolean
  /** Whether the body was changed in transit, for example compressed. */
  readonly isAltered: boolean
  /** Requests per second that the backend server takes from all nodes together; undefined if it states no limit. */
  readonly rateLimit: neverthrow.Result<number | undefined, StatementFailure>
  /** Whether the backend server states that it is leaving and takes no more requests. */
  readonly isLeaving: boolean
}

/** A field of a backend server's response cannot be read. */
export interface StatementFailure { readonly kind: 'statement-invalid', readonly detail: string }

export abstract class Dialect {
  /** Lower-case names of the fields that callers cannot set. */
  abstract readonly reservedFields: ReadonlySet<string>
  abstract readCallerMetadata (headers: readonly string[]): CallerMetadata
  /** Fields to add to a request to a backend server, as a flat array of names and values. */
  abstract targetRequestFields (metadata: TargetRequestMetadata): string[]
  /** The id of the request that a backend server's response names. */
  abstract readResponseRequest (headers: readonly string[]): Decisions.Ids.RequestId | undefined
  abstract readTargetMetadata (response: Exchanges.Response): TargetResponseMetadata
  /** Fields of a refusal that state the time after which the caller may retry. */
  abstract retryFields (retryAfter: Decisions.Clock.Milliseconds): string[]
  /** Fields of a response that this node itself gives to a request. */
  abstract answerFields (request: Decisions.Ids.RequestId): string[]
}
