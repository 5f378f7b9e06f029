/** Endpoints of the node itself, below `/.jasminedale`. */
import * as Decisions from '@jasminedale/decisions'
import type * as Fastify from 'fastify'
import * as zod from 'zod'
import * as ControlChannels from './control/control-channel.js'
import type * as Drains from './drain.js'
import * as Endpoints from './endpoint.js'
import * as IdempotencyKeys from './idempotency-key.js'
import * as Targets from './local-targets.js'
import type * as Status from './observation/status.js'
import * as Problem from './requests/problem.js'

export const PREFIX = '/.jasminedale'
const STATUS_FORBIDDEN = 403
const STATUS_NOT_FOUND = 404

const leaveSchema = zod.object({ target: zod.string().min(1).transform(Decisions.Ids.targetId) })
const explainSchema = zod.object({ target: zod.string().min(1).transform(Decisions.Ids.targetId) })

export interface Parts {
  readonly identity: Decisions.Identities.Identity
  readonly clock: Decisions.Clock.Clock
  readonly control: ControlChannels.ControlChannel
  readonly targets: Targets.LocalTargets
  readonly drain: Drains.Drain
  readonly status: Status.Status
}

type Handler = (request: Fastify.FastifyRequest, reply: Fastify.FastifyReply) => unknown

function refuse (reply: Fastify.FastifyReply, detail: string, status?: number): Fastify.FastifyReply {
  const problem = Problem.problemFor(Decisions.Refusals.notRun('request-malformed', detail), status)
  return reply.code(problem.status).type(Problem.CONTENT_TYPE).header('jasminedale-outcome', 'not-run').send(problem.body)
}

/** Backend servers and operators act from the VM itself. */
function isLocal (request: Fastify.FastifyRequest, identity: Decisions.Identities.Identity): boolean {
  const peer = request.socket.remoteAddress ?? ''
  return peer.startsWith('127.') || peer === Endpoints.split(identity.address).host
}

function announce ({ identity, targets }: Parts): Handler {
  return (request, reply) => {
    if (!isLocal(request, identity)) return refuse(reply, 'Announcements are accepted from this VM only.', STATUS_FORBIDDEN)
    const parsed = Targets.announcementSchema.safeParse(request.body)
    if (!parsed.success) return refuse(reply, zod.prettifyError(parsed.error))
    targets.announce(parsed.data)
    return { node: identity.node }
  }
}

function leave ({ identity, drain }: Parts): Handler {
  return async (request, reply) => {
    if (!isLocal(request, identity)) return refuse(reply, 'A drain is accepted from this VM only.', STATUS_FORBIDDEN)
    const parsed = leaveSchema.safeParse(request.body)
    if (!parsed.success) return refuse(reply, zod.prettifyError(parsed.error))
    const report = await drain.ofTarget(parsed.data.target)
    return report ?? refuse(reply, `No backend server ${parsed.data.target} is announced here.`, STATUS_NOT_FOUND)
  }
}

function explain ({ status }: Parts): Handler {
  return (request, reply) => {
    const parsed = explainSchema.safeParse(request.query)
    if (!parsed.success) return refuse(reply, 'Name the backend server in ?target=.')
    return status.explain(parsed.data.target) ?? refuse(reply, `Backend server ${parsed.data.target} is not known here.`, STATUS_NOT_FOUND)
  }
}

/** The connection's address, with the port that the sender states for itself. */
function sender (request: Fastify.FastifyRequest): Decisions.Ids.Endpoint {
  const stated = request.headers[ControlChannels.ADDRESS_HEADER]
  const port = typeof stated === 'string' ? Endpoints.split(Decisions.Ids.endpoint(stated)).port : 0
  return Decisions.Ids.endpoint(`${request.socket.remoteAddress ?? ''}:${port}`)
}

export function register (instance: Fastify.FastifyInstance, parts: Parts): void {
  instance.addContentTypeParser('application/json', { parseAs: 'string' }, (request, text, done) => {
    if (request.url === ControlChannels.CONTROL_PATH) {
      done(null, text)
      return
    }
    try {
      done(null, JSON.parse(String(text)))
    } catch {
      done(null, undefined)
    }
  })
  instance.setErrorHandler((error, _request, reply) => refuse(reply, error instanceof Error ? error.message : 'The request could not be handled.'))
  instance.setNotFoundHandler((_request, reply) => refuse(reply, 'The node has no such endpoint.', STATUS_NOT_FOUND))
  instance.get('/key', () => ({ key: IdempotencyKeys.createIdempotencyKey(parts.identity.region, parts.clock.now()) }))
  instance.post('/announce', announce(parts))
  instance.post('/leave', leave(parts))
  instance.post('/control', (request, reply) => {
    parts.control.receive(String(request.body), sender(request))
    return reply.code(204).send()
  })
  instance.get('/status', () => parts.status.report())
  instance.get('/explain', explain(parts))
  instance.get('/burn', () => parts.status.burn())
}
