/** HTTP endpoints of the node itself, below `/.jasminedale`. */
import * as Decisions from '@jasminedale/decisions'
import type * as Fastify from 'fastify'
import * as zod from 'zod'
import * as ControlChannels from './control/control-channel.js'
import type * as Drains from './drain.js'
import * as Endpoints from './endpoint.js'
import * as IdempotencyKeys from './idempotency-key.js'
import * as LocalTargets from './local-targets.js'
import type * as StatusReporters from './observation/status-reporter.js'
import * as Problems from './requests/problem.js'

export const PATH_PREFIX = '/.jasminedale'
const STATUS_FORBIDDEN = 403
const STATUS_NOT_FOUND = 404

const leaveSchema = zod.object({ target: zod.string().min(1).transform(Decisions.Ids.targetId) })
const explainSchema = zod.object({ target: zod.string().min(1).transform(Decisions.Ids.targetId) })

export interface OwnEndpointsParts {
  readonly identity: Decisions.Identities.Identity
  readonly clock: Decisions.Clock.Clock
  readonly control: ControlChannels.ControlChannel
  readonly targets: LocalTargets.LocalTargets
  readonly drain: Drains.Drain
  readonly status: StatusReporters.StatusReporter
}

type Handler = (request: Fastify.FastifyRequest, reply: Fastify.FastifyReply) => unknown

function refuse (reply: Fastify.FastifyReply, detail: string, status?: number): Fastify.FastifyReply {
  const problem = Problems.createProblem(Decisions.Refusals.notRun('request-malformed', detail), status)
  return reply.code(problem.status).type(Problems.CONTENT_TYPE).header('jasminedale-outcome', 'not-run').send(problem.body)
}

/** Whether the request comes from this VM, as announcements and drains must. */
function isLocal (request: Fastify.FastifyRequest, identity: Decisions.Identities.Identity): boolean {
  const peer = request.socket.remoteAddress ?? ''
  return peer.startsWith('127.') || peer === Endpoints.parse(identity.address).host
}

function createAnnounceHandler ({ identity, targets }: OwnEndpointsParts): Handler {
  return (request, reply) => {
    if (!isLocal(request, identity)) return refuse(reply, 'Announcements are accepted from this VM only.', STATUS_FORBIDDEN)
    const parsed = LocalTargets.announcementSchema.safeParse(request.body)
    if (!parsed.success) return refuse(reply, zod.prettifyError(parsed.error))
    targets.announce(parsed.data)
    return { node: identity.node }
  }
}

function createLeaveHandler ({ identity, drain }: OwnEndpointsParts): Handler {
  return async (request, reply) => {
    if (!isLocal(request, identity)) return refuse(reply, 'A drain is accepted from this VM only.', STATUS_FORBIDDEN)
    const parsed = leaveSchema.safeParse(request.body)
    if (!parsed.success) return refuse(reply, zod.prettifyError(parsed.error))
    const report = await drain.drainTarget(parsed.data.target)
    return report ?? refuse(reply, `No backend server ${parsed.data.target} is announced here.`, STATUS_NOT_FOUND)
  }
}

function createExplainHandler ({ status }: OwnEndpointsParts): Handler {
  return (request, reply) => {
    const parsed = explainSchema.safeParse(request.query)
    if (!parsed.success) return refuse(reply, 'Name the backend server in ?target=.')
    return status.explain(parsed.data.target) ?? refuse(reply, `Backend server ${parsed.data.target} is not known here.`, STATUS_NOT_FOUND)
  }
}

/** Address of the connection, with the port from the sender's address header. */
function senderAddress (request: Fastify.FastifyRequest): Decisions.Ids.Endpoint {
  const senderField = request.headers[ControlChannels.ADDRESS_HEADER]
  const port = typeof senderField === 'string' ? Endpoints.parse(Decisions.Ids.endpoint(senderField)).port : 0
  return Decisions.Ids.endpoint(`${request.socket.remoteAddress ?? ''}:${port}`)
}

export function register (instance: Fastify.FastifyInstance, parts: OwnEndpointsParts): void {
  instance.addContentTypeParser('application/json', { parseAs: 'string' }, (request, text, done) => {
    // The control channel parses its messages itself, so that it counts and logs invalid ones.
    if (request.url === ControlChannels.CONTROL_PATH) {
      done(null, text)
      return
    }
    try {
      done(null, JSON.parse(String(text)))
    } catch {
      // The schema of the endpoint then refuses the request.
      done(null, undefined)
    }
  })
  instance.setErrorHandler((error, _request, reply) => refuse(reply, error instanceof Error ? error.message : 'The request could not be handled.'))
  instance.setNotFoundHandler((_request, reply) => refuse(reply, 'The node has no such endpoint.', STATUS_NOT_FOUND))
  instance.get('/key', () => ({ key: IdempotencyKeys.createIdempotencyKey(parts.identity.region, parts.clock.now()) }))
  instance.post('/announce', createAnnounceHandler(parts))
  instance.post('/leave', createLeaveHandler(parts))
  instance.post('/control', (request, reply) => {
    parts.control.receive(String(request.body), senderAddress(request))
    return reply.code(204).send()
  })
  instance.get('/status', () => parts.status.report())
  instance.get('/explain', createExplainHandler(parts))
  instance.get('/burn', () => parts.status.burn())
}
