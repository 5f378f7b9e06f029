/** The final result of a caller's request. The `kind` is logged and counted. */
import type * as HostedRequests from '../host/hosted-request.js'
import type * as Exchanges from '../transport/exchange.js'

export type Answer =
  | { readonly kind: 'response', readonly response: Exchanges.Response }
  /** The request has certainly not run and will not run. `retryAfter` in ms. */
  | { readonly kind: 'not-run', readonly reason: HostedRequests.RefusalReason, readonly retryAfter: number }
  /**
   * It is unknown whether the request ran. `response-unframed`: the response has no length, and would end the connection
   * over requests behind it.
   */
  | { readonly kind: 'unknown', readonly reason: HostedRequests.FailureReason | 'response-unframed' | 'internal-error' }
  /** The caller disconnected before the answer. */
  | { readonly kind: 'abandoned' }
