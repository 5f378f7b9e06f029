/** Turns a received request into the engine's event, or into a refusal. */
import type * as Http from 'node:http'
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import type * as Bodies from './body.js'
import * as Services from './service.js'
import * as Wire from './wire.js'

/** What the head of a request says, before its body is read. */
export interface Heading {
  readonly hop: Decisions.Events.Hop
  readonly service: Decisions.Ids.Service
  readonly path: string
  readonly remaining?: Decisions.Clock.Milliseconds
  readonly account?: Decisions.Ids.Account
  readonly key?: Decisions.Ids.IdempotencyKey
  readonly from?: Decisions.Ids.NodeId
  readonly target?: Decisions.Ids.TargetId
  readonly signature?: Decisions.Ids.Signature
  readonly baseline?: Decisions.Events.Baseline
  readonly earlierAttempts: number
}

type Refused = neverthrow.Result<Heading, Decisions.Refusals.Refusal>

/** Whether the sender's address is that of the member it names; `unknown` when there is no such member here yet. */
export type PeerCheck = (address: string, node: Decisions.Ids.NodeId) => 'peer' | 'unknown' | 'stranger'

function malformed (detail: string): Refused {
  return neverthrow.err(Decisions.Refusals.notRun('request-malformed', detail))
}

function text (request: Http.IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return typeof value === 'string' ? value : undefined
}

/** The path of an absolute-form target is what follows its authority. */
function pathOf (url: string): string | undefined {
  if (url.startsWith('/')) return url
  const absolute = /^https?:\/\/[^/?#]+(?<path>.*)$/i.exec(url)
  const path = absolute?.groups?.path
  return path === undefined ? undefined : path.startsWith('/') ? path : `/${path}`
}

function forwarded (request: Http.IncomingMessage, common: Heading, isPeer: PeerCheck): Refused {
  const hop = text(request, Wire.HOP)
  const from = Decisions.Ids.nodeId(text(request, Wire.FROM) ?? '')
  switch (isPeer(request.socket.remoteAddress ?? '', from)) {
    case 'peer': break
    case 'stranger': return malformed(`Header ${Wire.HOP} is accepted from members of the fleet only.`)
    // A node that has just joined may be unknown here for a moment; it can use another target.
    case 'unknown': return neverthrow.err(Decisions.Refusals.notRun('target-unknown', 'The sending node is not known here as a member.'))
  }
  const target = text(request, Wire.TARGET)
  const signature = text(request, Wire.SIGNATURE)
  const attempts = Number(text(request, Wire.ATTEMPTS) ?? 0)
  const baseline = Wire.parseBaseline(text(request, Wire.BASELINE))
  if ((hop !== 'host' && hop !== 'owner') || signature === undefined || (hop === 'host' && target === undefined)) {
    return malformed('A forwarded request needs a hop, a signature and, at hop host, a target.')
  }
  if (!Number.isInteger(attempts) || attempts < 0) return malformed(`Header ${Wire.ATTEMPTS} is not a whole number.`)
  return neverthrow.ok({
    ...common,
    hop,
    from,
    signature: Decisions.Ids.signature(signature),
    earlierAttempts: attempts,
    ...(target === undefined ? {} : { target: Decisions.Ids.targetId(target) }),
    ...(baseline === undefined ? {} : { baseline })
  })
}

/** Reads the head. Fields between nodes count only when `isPeer` accepts the sender. */
export function readHeading (request: Http.IncomingMessage, isPeer: PeerCheck): Refused {
  const path = pathOf(request.url ?? '')
  if (path === undefined) return malformed('The request target is neither a path nor an http URL.')
  const service = Services.serviceOf(request, path)
  if (service === undefined) return malformed('No service is named by header jasminedale-service, Host or the path.')
  const deadline = text(request, Wire.DEADLINE)
  const remaining = Wire.parseMilliseconds(deadline)
  if (deadline !== undefined && remaining === undefined) return malformed(`Header ${Wire.DEADLINE} is not a number of milliseconds.`)
  const account = text(request, Wire.ACCOUNT)
  const key = text(request, Wire.IDEMPOTENCY_KEY)
  const common: Heading = {
    hop: 'entry',
    service,
    path,
    earlierAttempts: 0,
    ...(remaining === undefined ? {} : { remaining }),
    ...(account === undefined ? {} : { account: Decisions.Ids.account(account) }),
    ...(key === undefined ? {} : { key: Decisions.Ids.idempotencyKey(key) })
  }
  return text(request, Wire.HOP) === undefined ? neverthrow.ok(common) : forwarded(request, common, isPeer)
}

/**
 * An earlier request with this key may have run, so only the key's ledger can say "not run".
 * At hop `host` the ledger's node asks, and is answered about this one attempt.
 */
export function mayHaveRunBefore (request: Http.IncomingMessage): boolean {
  return text(request, Wire.IDEMPOTENCY_KEY) !== undefined && text(request, Wire.HOP) !== 'host'
}

/** Digest of what identifies a request's content. Of a streamed body it covers the held bytes and the stated length. */
function signatureOf (request: Http.IncomingMessage, heading: Heading, body: Bodies.Body): Decisions.Ids.Signature {
  const head = `${heading.service}\u0000${request.method ?? ''}\u0000${heading.path}\u0000${request.headers['content-length'] ?? ''}\u0000`
  return Decisions.Ids.signature(Decisions.Rendezvous.digest(Buffer.concat([Buffer.from(head), body.held])))
}

/** @param elapsed time spent on receiving the body */
export function arrivalOf (
  id: Decisions.Ids.RequestId, request: Http.IncomingMessage, heading: Heading, body: Bodies.Body, elapsed: number
): Decisions.Events.RequestArrived {
  const { remaining, ...rest } = heading
  return {
    kind: 'request-arrived',
    request: id,
    method: request.method ?? 'GET',
    signature: heading.signature ?? signatureOf(request, heading, body),
    replayable: body.replayable,
    ...rest,
    ...(remaining === undefined ? {} : { remaining: Decisions.Clock.milliseconds(Math.max(0, remaining - elapsed)) })
  }
}
