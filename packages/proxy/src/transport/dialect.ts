/** How callers and backend servers of a deployment express what the product needs to know. Filled by an adapter. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Exchanges from './exchange.js'

export interface CallerTerms {
  /** Absent when the caller named none. */
  readonly request?: Decisions.Ids.RequestId
  /** Time for which the caller waits. */
  readonly remaining?: Decisions.Clock.Milliseconds
}

export interface TargetTerms {
  readonly target: Decisions.Ids.TargetId
  readonly origin: Decisions.Ids.Service
  readonly remaining: Decisions.Clock.Milliseconds
}

/** What a backend server's response says beside its content. */
export interface TargetSigns {
  /** The request to which the response belongs, if it says so. */
  readonly request?: Decisions.Ids.RequestId
  /** The backend server states that it did not run the request. */
  readonly notRun: boolean
  /** Another backend server has the address now. */
  readonly misdirected: boolean
  /** The response carries the backend server's signature. */
  readonly signed: boolean
  /** The body was changed on its way, for example compressed. */
  readonly altered: boolean
}

export abstract class Dialect {
  /** Lower-case names of fields that callers cannot set. */
  abstract readonly reserved: ReadonlySet<string>
  abstract callerTerms (headers: readonly string[]): CallerTerms
  /** Fields for a request to a backend server. */
  abstract targetFields (terms: TargetTerms): string[]
  abstract targetSigns (response: Exchanges.Response): TargetSigns
  /** Fields of a refusal that tell when to come back. */
  abstract retryFields (retryAfter: Decisions.Clock.Milliseconds): string[]
  /** Fields of an answer of this node to a request. */
  abstract answerFields (request: Decisions.Ids.RequestId): string[]
}
