/** How a request and its outcome travel between two nodes. */
import * as Decisions from '@jasminedale/decisions'
import * as Headers from '../transport/headers.js'
import type * as Exchanges from '../transport/exchange.js'
import * as HostReports from './host-report.js'
import * as Works from './work.js'

/** Terms of the forwarded request: target, milliseconds left, objective, milliseconds in which an answer is fully useful, priority, repeatable, may try, may wait, insists, origin. */
const TERMS = 'jasminedale-work'
/** State of the host. */
const REPORT = 'jasminedale-host'
/** Why the host did not run the request, and when to come back in ms. */
const REFUSED = 'jasminedale-refused'
/** Why nobody knows whether the request ran. */
const FAILED = 'jasminedale-failed'

/** The target's response had no length: only the end of its connection marked the end of the body. */
const UNFRAMED = 'jasminedale-unframed'

/** Fields of the protocol between nodes, and the length, which each sender sets anew. */
export const BETWEEN_NODES: ReadonlySet<string> = new Set([TERMS, REPORT, REFUSED, FAILED, UNFRAMED, 'content-length'])

const FIELDS = 10
const STATUS_REFUSED = 503
const STATUS_FAILED = 502

/** What a forwarded request says about itself. */
export interface Terms {
  readonly target: Decisions.Ids.TargetId
  readonly remaining: Decisions.Clock.Milliseconds
  readonly latencyObjective: Decisions.Clock.Milliseconds
  /** Time from now within which an answer is fully useful. */
  readonly useful: Decisions.Clock.Milliseconds
  readonly priority: number
  readonly repeatable: boolean
  readonly mayTry: boolean
  readonly mayWait: boolean
  readonly insists: boolean
  readonly origin: Decisions.Ids.Service
}

export function formatTerms (terms: Terms): string[] {
  const fields = [
    terms.target, Math.round(terms.remaining), Math.round(terms.latencyObjective), Math.round(terms.useful), terms.priority,
    Number(terms.repeatable), Number(terms.mayTry), Number(terms.mayWait), Number(terms.insists), terms.origin
  ]
  return [TERMS, fields.join(' ')]
}

/** Undefined when the request is not a forwarded one or its terms cannot be read. */
export function parseTerms (headers: readonly string[]): Terms | undefined {
  const fields = Headers.firstValue(headers, TERMS)?.split(' ') ?? []
  const [target, remaining, objective, useful, priority, repeatable, mayTry, mayWait, insists, origin] = fields
  if (fields.length !== FIELDS || target === undefined || origin === undefined) return undefined
  const numbers = [remaining, objective, useful, priority].map(Number)
  if (!numbers.every(Number.isFinite)) return undefined
  return {
    target: Decisions.Ids.targetId(target),
    remaining: Decisions.Clock.milliseconds(Number(remaining)),
    latencyObjective: Decisions.Clock.milliseconds(Number(objective)),
    useful: Decisions.Clock.milliseconds(Number(useful)),
    priority: Number(priority),
    repeatable: repeatable === '1',
    mayTry: mayTry === '1',
    mayWait: mayWait === '1',
    insists: insists === '1',
    origin: Decisions.Ids.service(origin)
  }
}

/** The response with which a host answers another node. */
export function formatOutcome (outcome: Works.Outcome, report: HostReports.HostReport): Exchanges.Response {
  const state = [REPORT, HostReports.format(report)]
  const body = Buffer.alloc(0)
  switch (outcome.kind) {
    case 'answered': {
      const marks = outcome.response.isFramed ? state : [...state, UNFRAMED, '1']
      return { ...outcome.response, headers: [...Headers.endToEndFields(outcome.response.headers, BETWEEN_NODES), ...marks] }
    }
    case 'refused': return { status: STATUS_REFUSED, headers: [REFUSED, `${outcome.reason} ${Math.ceil(outcome.retryAfter)}`, ...state], body, isFramed: true }
    case 'failed': return { status: STATUS_FAILED, headers: [FAILED, outcome.reason, ...state], body, isFramed: true }
    case 'withdrawn': return { status: STATUS_FAILED, headers: [FAILED, 'host-lost', ...state], body, isFramed: true }
  }
}

export interface HostAnswer {
  readonly outcome: Works.Outcome
  readonly report: HostReports.HostReport | undefined
}

/** A response without a host's report is not one of a host and proves nothing. */
export function parseOutcome (response: Exchanges.Response): HostAnswer {
  const report = HostReports.parse(Headers.firstValue(response.headers, REPORT))
  const refused = Headers.firstValue(response.headers, REFUSED)?.split(' ')
  const failed = Headers.firstValue(response.headers, FAILED)
  if (report === undefined) return { outcome: { kind: 'failed', reason: 'host-lost', detail: 'response came from no host' }, report }
  if (refused !== undefined) {
    const [reason = '', retryAfter = '0'] = refused
    return { outcome: Works.refused(Works.isRefusalReason(reason) ? reason : 'target-unknown', Number(retryAfter)), report }
  }
  if (failed !== undefined) {
    return { outcome: { kind: 'failed', reason: Works.isFailureReason(failed) ? failed : 'host-lost', detail: 'reported by the host' }, report }
  }
  const framed = Headers.firstValue(response.headers, UNFRAMED) === undefined
  return { outcome: { kind: 'answered', response: { ...response, isFramed: framed, headers: Headers.endToEndFields(response.headers, BETWEEN_NODES) } }, report }
}
