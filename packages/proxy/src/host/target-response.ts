/** Decides what a response of the local target says about the request that was sent to it. */
import type * as Logs from '../observation/log.js'
import type * as Dialects from '../transport/dialect.js'
import type * as Exchanges from '../transport/exchange.js'
import * as HostedRequests from './hosted-request.js'

export const SERVER_ERROR = 500
/** To the caller of a non-idempotent request these statuses promise that it has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** Time after which an entry node may retry on a target without a free slot. */
export const BUSY_RETRY_AFTER_MS = 50
/** Time after which an entry node may retry when the target is unavailable; its directory is up to date by then. */
export const ABSENT_RETRY_AFTER_MS = 1_000

export function outcomeOf ({ repeatable }: Pick<HostedRequests.HostedRequest, 'repeatable'>, response: Exchanges.Response, metadata: Dialects.TargetResponseMetadata): HostedRequests.Outcome {
  if (metadata.isMisdirected) return HostedRequests.refusal('target-changed', ABSENT_RETRY_AFTER_MS)
  if (metadata.isNotExecuted) return HostedRequests.refusal('target-shed', BUSY_RETRY_AFTER_MS)
  if (response.status < SERVER_ERROR && (!metadata.isSigned || metadata.isAltered)) {
    return { kind: 'failed', reason: 'response-invalid', detail: metadata.isAltered ? 'content encoding was added' : 'response is not signed' }
  }
  if (!repeatable && NOT_RUN_STATUSES.has(response.status)) {
    return { kind: 'failed', reason: 'response-invalid', detail: `status ${response.status} without the statement that the request did not run` }
  }
  return { kind: 'answered', response }
}

/** What the log states about a response, so that a late copy can be told from the response to the request itself. */
export function evidenceOf (result: Exchanges.ExchangeResult, dialect: Pick<Dialects.Dialect, 'readResponseRequest'>): Logs.Fields {
  if (result.kind === 'lost') return { position: result.position }
  if (result.kind === 'not-sent') return {}
  const { status, headers } = result.response
  return { status, names: dialect.readResponseRequest(headers) === undefined ? 'none' : 'own', position: result.position }
}
