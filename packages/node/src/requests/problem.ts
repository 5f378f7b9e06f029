/** Refusals as problem documents (RFC 9457). docs/callers.md describes each type. */
import * as Decisions from '@jasminedale/decisions'
import * as zod from 'zod'

export const CONTENT_TYPE = 'application/problem+json'
const TYPE_PREFIX = 'urn:jasminedale:problem:'
const MILLISECONDS_PER_SECOND = 1_000

const STATUS_BY_KIND: Readonly<Record<Decisions.Refusals.RefusalKind, number>> = {
  'service-unknown': 404,
  'no-target-available': 503,
  overloaded: 503,
  'deadline-exceeded': 504,
  'target-unknown': 503,
  'target-leaving': 503,
  'target-ejected': 503,
  'node-leaving': 503,
  'node-starting': 503,
  'request-blocked': 403,
  'key-malformed': 400,
  'key-content-mismatch': 422,
  'key-expired': 409,
  'key-owner-unreachable': 503,
  'key-owner-changed': 503,
  'key-owner-uncertain': 503,
  'body-too-large': 413,
  'request-malformed': 400,
  'upstream-unreachable': 503,
  'upstream-disconnected': 502,
  'upstream-timeout': 504,
  'caller-cancelled': 499
}

const KINDS = Object.keys(STATUS_BY_KIND) as [Decisions.Refusals.RefusalKind, ...Decisions.Refusals.RefusalKind[]]

const problemSchema = zod.object({
  type: zod.string().startsWith(TYPE_PREFIX).transform(type => type.slice(TYPE_PREFIX.length)).pipe(zod.enum(KINDS)),
  detail: zod.string(),
  outcome: zod.enum(['not-run', 'unknown']),
  retryAfter: zod.number().nonnegative().optional()
})

export interface Problem {
  readonly status: number
  readonly headers: string[]
  readonly body: string
}

/** @param status replaces the status of the kind, where HTTP has a more specific one */
export function createProblem (refusal: Decisions.Refusals.Refusal, status = STATUS_BY_KIND[refusal.kind]): Problem {
  const body = JSON.stringify({
    type: `${TYPE_PREFIX}${refusal.kind}`,
    title: refusal.kind.replaceAll('-', ' '),
    status,
    detail: refusal.detail,
    outcome: refusal.outcome,
    ...(refusal.retryAfter === undefined ? {} : { retryAfter: refusal.retryAfter })
  })
  const headers = ['content-type', CONTENT_TYPE, 'content-length', String(Buffer.byteLength(body)), 'jasminedale-outcome', refusal.outcome]
  if (refusal.retryAfter !== undefined) headers.push('retry-after', String(Math.ceil(refusal.retryAfter / MILLISECONDS_PER_SECOND)))
  return { status, headers, body }
}

/** Parses the refusal of another node; undefined when the body is not a valid refusal. */
export function parseRefusal (body: string): Decisions.Refusals.Refusal | undefined {
  let json: unknown
  try {
    json = JSON.parse(body)
  } catch {
    return undefined
  }
  const parsed = problemSchema.safeParse(json)
  if (!parsed.success) return undefined
  const { type: kind, detail, outcome, retryAfter } = parsed.data
  return { kind, outcome, detail, ...(retryAfter === undefined ? {} : { retryAfter }) }
}
