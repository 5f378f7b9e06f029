/** Converts a received request into the engine's event, or into a refusal. */
import type * as Http from 'node:http'
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import type * as Bodies from './body.js'
import * as Services from './service.js'
import * as HeaderFields from './header-fields.js'

/** The parsed head of a request, available before its body is read. */
export interface RequestHead {
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

type RequestHeadResult = neverthrow.Result<RequestHead, Decisions.Refusals.Refusal>

/** Compares the sender's address with that of the member that it names; `unknown` when this node does not know the member yet. */
export type PeerCheck = (address: string, node: Decisions.Ids.NodeId) => 'peer' | 'unknown' | 'address-mismatch'

function refuseMalformed (detail: string): RequestHeadResult {
  return neverthrow.err(Decisions.Refusals.notRun('request-malformed', detail))
}

function headerValue (request: Http.IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return typeof value === 'string' ? value : undefined
}

/** Returns the path of a request target in origin form or absolute form. */
function pathOf (url: string): string | undefined {
  if (url.startsWith('/')) return url
  const absolute = /^https?:\/\/[^/?#]+(?<path>.*)$/i.exec(url)
  const path = absolute?.groups?.path
  return path === undefined ? undefined : path.startsWith('/') ? path : `/${path}`
}

function readForwardedHead (request: Http.IncomingMessage, entryHead: RequestHead, checkPeer: PeerCheck): RequestHeadResult {
  const hop = headerValue(request, HeaderFields.HOP)
  const from = Decisions.Ids.nodeId(headerValue(request, HeaderFields.FROM) ?? '')
  switch (checkPeer(request.socket.remoteAddress ?? '', from)) {
    case 'peer': break
    case 'address-mismatch': return refuseMalformed(`Header ${HeaderFields.HOP} is accepted from members of the fleet only.`)
    // A node that has just joined can still be unknown here; it can retry at another target.
    case 'unknown': return neverthrow.err(Decisions.Refusals.notRun('target-unknown', 'The sending node is not known here as a member.'))
  }
  const target = headerValue(request, HeaderFields.TARGET)
  const signature = headerValue(request, HeaderFields.SIGNATURE)
  const attempts = Number(headerValue(request, HeaderFields.ATTEMPTS) ?? 0)
  const baseline = HeaderFields.parseBaseline(headerValue(request, HeaderFields.BASELINE))
  if ((hop !== 'host' && hop !== 'owner') || signature === undefined || (hop === 'host' && target === undefined)) {
    return refuseMalformed('A forwarded request needs a hop, a signature and, at hop host, a target.')
  }
  if (!Number.isInteger(attempts) || attempts < 0) return refuseMalformed(`Header ${HeaderFields.ATTEMPTS} is not a whole number.`)
  return neverthrow.ok({
    ...entryHead,
    hop,
    from,
    signature: Decisions.Ids.signature(signature),
    earlierAttempts: attempts,
    ...(target === undefined ? {} : { target: Decisions.Ids.targetId(target) }),
    ...(baseline === undefined ? {} : { baseline })
  })
}

/**
 * Parses the head. A request with header `jasminedale-hop` is refused unless `checkPeer` accepts the sender;
 * without that header the other fields of the protocol between nodes are ignored.
 */
export function readRequestHead (request: Http.IncomingMessage, checkPeer: PeerCheck): RequestHeadResult {
  const path = pathOf(request.url ?? '')
  if (path === undefined) return refuseMalformed('The request target is neither a path nor an http URL.')
  const service = Services.findService(request, path)
  if (service === undefined) return refuseMalformed('No service is named by header jasminedale-service, Host or the path.')
  const deadline = headerValue(request, HeaderFields.DEADLINE)
  const remaining = HeaderFields.parseMilliseconds(deadline)
  if (deadline !== undefined && remaining === undefined) return refuseMalformed(`Header ${HeaderFields.DEADLINE} is not a number of milliseconds.`)
  const account = headerValue(request, HeaderFields.ACCOUNT)
  const key = headerValue(request, HeaderFields.IDEMPOTENCY_KEY)
  const entryHead: RequestHead = {
    hop: 'entry',
    service,
    path,
    earlierAttempts: 0,
    ...(remaining === undefined ? {} : { remaining }),
    ...(account === undefined ? {} : { account: Decisions.Ids.account(account) }),
    ...(key === undefined ? {} : { key: Decisions.Ids.idempotencyKey(key) })
  }
  return headerValue(request, HeaderFields.HOP) === undefined ? neverthrow.ok(entryHead) : readForwardedHead(request, entryHead, checkPeer)
}

/**
 * Whether an earlier request with the same idempotency key may have run, in which case only the node that owns
 * the key can answer "not run". At hop `host` the owner is the sender, and the answer covers this one attempt only.
 */
export function mayHaveRunBefore (request: Http.IncomingMessage): boolean {
  return headerValue(request, HeaderFields.IDEMPOTENCY_KEY) !== undefined && headerValue(request, HeaderFields.HOP) !== 'host'
}

/** Digest of the request's service, method, path and body. For a streamed body it covers the buffered bytes and the content length. */
function computeSignature (request: Http.IncomingMessage, head: RequestHead, body: Bodies.Body): Decisions.Ids.Signature {
  const prefix = `${head.service}\u0000${request.method ?? ''}\u0000${head.path}\u0000${request.headers['content-length'] ?? ''}\u0000`
  return Decisions.Ids.signature(Decisions.Rendezvous.digest(Buffer.concat([Buffer.from(prefix), body.buffered])))
}

/** @param elapsed time spent on receiving the body, in ms */
export function createArrival (
  id: Decisions.Ids.RequestId, request: Http.IncomingMessage, head: RequestHead, body: Bodies.Body, elapsed: number
): Decisions.Events.RequestArrived {
  const { remaining, ...rest } = head
  return {
    kind: 'request-arrived',
    request: id,
    method: request.method ?? 'GET',
    signature: head.signature ?? computeSignature(request, head, body),
    replayable: body.isReplayable,
    ...rest,
    ...(remaining === undefined ? {} : { remaining: Decisions.Clock.milliseconds(Math.max(0, remaining - elapsed)) })
  }
}
