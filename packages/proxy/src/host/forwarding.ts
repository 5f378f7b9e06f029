/** HTTP headers that carry a request from its entry node to the host of its target, and the outcome back. */
import * as Decisions from '@jasminedale/decisions'
import * as Headers from '../transport/headers.js'
import type * as Exchanges from '../transport/exchange.js'
import * as HostReports from './host-report.js'
import * as HostedRequests from './hosted-request.js'
import * as TrailingFields from './trailing-field.js'

/**
 * Metadata of a forwarded request: the members of `RequestMetadata` in order, separated by spaces, times in ms and booleans as 0 or 1, names percent-encoded;
 * then fields of the form `key=value`, `fraction` for `senderFraction` and `cost` for `expectation` (cost and size class, separated by a comma). Further fields are ignored.
 */
const METADATA_HEADER = 'jasminedale-work'
/** The host's report. */
const REPORT_HEADER = 'jasminedale-host'
/** Reason why the host did not run the request, and the time in ms after which to retry. */
const REFUSED_HEADER = 'jasminedale-refused'
/** Reason why it is unknown whether the request ran. */
const FAILED_HEADER = 'jasminedale-failed'

/** The target's response had neither a length nor chunks, so its body ended with the connection and may be incomplete. */
const UNFRAMED_HEADER = 'jasminedale-unframed'

/** Headers that are not passed on: those of the protocol between nodes, and the length, which each sender sets itself. */
export const INTERNAL_HEADERS: ReadonlySet<string> = new Set([METADATA_HEADER, REPORT_HEADER, REFUSED_HEADER, FAILED_HEADER, UNFRAMED_HEADER, 'content-length'])

const FIELD_COUNT = 13
const SENDER_FRACTION = 'fraction'
const EXPECTATION = 'cost'
/** Digits of a fraction. */
const FRACTION_DIGITS = 3
/** Encodes an absent account. */
const NO_ACCOUNT = '-'
const STATUS_REFUSED = 503
const STATUS_FAILED = 502

/** What the host needs to know about a forwarded request. */
export interface RequestMetadata {
  readonly target: Decisions.Ids.TargetId
  /** Time until the deadline. */
  readonly remaining: Decisions.Clock.Milliseconds
  readonly latencyObjective: Decisions.Clock.Milliseconds
  /** Time until the latency objective is exceeded. */
  readonly objectiveRemaining: Decisions.Clock.Milliseconds
  readonly priority: number
  /** The flags have the same meaning as in `HostedRequest`. */
  readonly repeatable: boolean
  readonly mayBeProbe: boolean
  readonly mayQueue: boolean
  readonly mayBypassBreaker: boolean
  /** Service of the VM from which the caller sent the request. */
  readonly callerService: Decisions.Ids.Service
  /** These have the same meaning as in `HostedRequest`. */
  readonly route: string
  readonly account: Decisions.Ids.Account | undefined
  readonly isCall: boolean
  readonly senderFraction?: number
  readonly expectation?: HostedRequests.Expectation | undefined
}

export function formatMetadata (metadata: RequestMetadata): string[] {
  const fields = [
    metadata.target, Math.round(metadata.remaining), Math.round(metadata.latencyObjective), Math.round(metadata.objectiveRemaining), metadata.priority,
    Number(metadata.repeatable), Number(metadata.mayBeProbe), Number(metadata.mayQueue), Number(metadata.mayBypassBreaker), metadata.callerService,
    encodeURIComponent(metadata.route), metadata.account === undefined ? NO_ACCOUNT : `=${encodeURIComponent(metadata.account)}`, Number(metadata.isCall)
  ]
  const { senderFraction, expectation } = metadata
  const trailing = [
    ...senderFraction === undefined ? [] : [`${SENDER_FRACTION}=${senderFraction.toFixed(FRACTION_DIGITS)}`],
    ...expectation === undefined ? [] : [`${EXPECTATION}=${Math.round(expectation.cost)},${expectation.sizeClass}`]
  ]
  return [METADATA_HEADER, [...fields, ...trailing].join(' ')]
}

/** Undefined when the request was not forwarded by a node or its metadata is not valid. */
export function parseMetadata (headers: readonly string[]): RequestMetadata | undefined {
  const fields = Headers.firstValue(headers, METADATA_HEADER)?.split(' ') ?? []
  const [target, remaining, objective, objectiveRemaining, priority, repeatable, mayBeProbe, mayQueue, mayBypassBreaker, callerService, route, account, isCall] = fields
  if (fields.length < FIELD_COUNT || target === undefined || callerService === undefined || route === undefined || account === undefined) return undefined
  const numbers = [remaining, objective, objectiveRemaining, priority].map(Number)
  if (!numbers.every(Number.isFinite)) return undefined
  const senderFraction = TrailingFields.readPositive(fields.slice(FIELD_COUNT), SENDER_FRACTION)
  return {
    target: Decisions.Ids.targetId(target),
    remaining: Decisions.Clock.milliseconds(Number(remaining)),
    latencyObjective: Decisions.Clock.milliseconds(Number(objective)),
    objectiveRemaining: Decisions.Clock.milliseconds(Number(objectiveRemaining)),
    priority: Number(priority),
    repeatable: repeatable === '1',
    mayBeProbe: mayBeProbe === '1',
    mayQueue: mayQueue === '1',
    mayBypassBreaker: mayBypassBreaker === '1',
    callerService: Decisions.Ids.service(callerService),
    route: decode(route),
    account: account === NO_ACCOUNT ? undefined : Decisions.Ids.account(decode(account.slice(1))),
    isCall: isCall === '1',
    ...(senderFraction === undefined ? {} : { senderFraction }),
    ...parseExpectation(TrailingFields.read(fields.slice(FIELD_COUNT), EXPECTATION))
  }
}

/** Nothing from nodes that do not place by cost, and when it is not valid. */
function parseExpectation (text: string | undefined): Pick<RequestMetadata, 'expectation'> {
  const [cost, sizeClass] = text?.split(',').map(Number) ?? []
  if (cost === undefined || sizeClass === undefined || !(cost > 0) || !Number.isFinite(cost) || !Number.isInteger(sizeClass) || sizeClass < 0) return {}
  return { expectation: { cost, sizeClass } }
}

/** A text that is not percent-encoded correctly is taken as it is. */
function decode (text: string): string {
  try {
    return decodeURIComponent(text)
  } catch {
    return text
  }
}

/** The response of a host to the entry node. */
export function formatOutcome (outcome: HostedRequests.Outcome, report: HostReports.HostReport): Exchanges.Response {
  const served = outcome.kind === 'answered' ? outcome.served : undefined
  const state = [REPORT_HEADER, HostReports.format(report.work === undefined ? report : { ...report, work: { ...report.work, served } })]
  const body = Buffer.alloc(0)
  switch (outcome.kind) {
    case 'answered': {
      const extraHeaders = outcome.response.isFramed ? state : [...state, UNFRAMED_HEADER, '1']
      return { ...outcome.response, headers: [...Headers.endToEndFields(outcome.response.headers, INTERNAL_HEADERS), ...extraHeaders] }
    }
    case 'refused': return { status: STATUS_REFUSED, headers: [REFUSED_HEADER, `${outcome.reason} ${Math.ceil(outcome.retryAfter)}`, ...state], body, isFramed: true }
    case 'failed': return { status: STATUS_FAILED, headers: [FAILED_HEADER, outcome.reason, ...state], body, isFramed: true }
    case 'withdrawn': return { status: STATUS_FAILED, headers: [FAILED_HEADER, 'host-lost', ...state], body, isFramed: true }
  }
}

export interface HostResponse {
  readonly outcome: HostedRequests.Outcome
  readonly report: HostReports.HostReport | undefined
}

/** A response without a valid host report may come from another server, so it does not show that the request did not run. */
export function parseOutcome (response: Exchanges.Response): HostResponse {
  const report = HostReports.parse(Headers.firstValue(response.headers, REPORT_HEADER))
  const refused = Headers.firstValue(response.headers, REFUSED_HEADER)?.split(' ')
  const failed = Headers.firstValue(response.headers, FAILED_HEADER)
  if (report === undefined) return { outcome: { kind: 'failed', reason: 'host-lost', detail: 'response has no valid host report' }, report }
  if (refused !== undefined) {
    const [reason = '', retryAfter = '0'] = refused
    return { outcome: HostedRequests.refusal(HostedRequests.isRefusalReason(reason) ? reason : 'target-unknown', Number(retryAfter)), report }
  }
  if (failed !== undefined) {
    return { outcome: { kind: 'failed', reason: HostedRequests.isFailureReason(failed) ? failed : 'host-lost', detail: 'reported by the host' }, report }
  }
  const isFramed = Headers.firstValue(response.headers, UNFRAMED_HEADER) === undefined
  return { outcome: { kind: 'answered', response: { ...response, isFramed, headers: Headers.endToEndFields(response.headers, INTERNAL_HEADERS) } }, report }
}
