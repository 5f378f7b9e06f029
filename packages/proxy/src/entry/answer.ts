/** The final answer to a caller. */
import type * as Works from '../host/work.js'
import type * as Exchanges from '../transport/exchange.js'

export type Answer =
  | { readonly kind: 'response', readonly response: Exchanges.Response }
  /** The request has not run and will not run. `retryAfter` in ms. */
  | { readonly kind: 'not-run', readonly reason: Works.RefusalReason, readonly retryAfter: number }
  /** Nobody knows whether the request ran. */
  | { readonly kind: 'unknown', readonly reason: Works.FailureReason }
  /** The caller has left. */
  | { readonly kind: 'abandoned' }
