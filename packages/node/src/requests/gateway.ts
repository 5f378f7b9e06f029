/** Receives requests, gives them to the engine and carries out what it decides about them. */
import type * as Http from 'node:http'
import type * as Net from 'node:net'
import * as Decisions from '@jasminedale/decisions'
import * as Endpoints from '../endpoint.js'
import type * as EngineLoops from '../engine-loop.js'
import type * as Loggers from '../observation/logger.js'
import type * as Metrics from '../observation/metrics.js'
import type * as Pools from '../pools.js'
import type * as Targets from '../local-targets.js'
import * as Arrivals from './arrival.js'
import * as Attempts from './attempt.js'
import * as Bodies from './body.js'
import * as Exchanges from './exchange.js'
import * as Headers from './headers.js'
import * as Problem from './problem.js'
import * as Wire from './wire.js'

/** The engine answers by the deadline; this much later the exchange is ended here. */
const ABANDON_AFTER_MS = 2_000
const STATUS_EXPECTATION_FAILED = 417

interface Parts {
  readonly engine: Decisions.Engines.Engine
  readonly identity: Decisions.Identities.Identity
  readonly clock: Decisions.Clock.Clock
  readonly loop: EngineLoops.EngineLoop
  readonly pools: Pools.Pools
  readonly targets: Targets.LocalTargets
  readonly logger: Loggers.Logger
  readonly metrics: Metrics.Metrics
}

export class Gateway implements Attempts.Listener {
  private readonly parts: Parts
  private readonly exchanges = new Map<Decisions.Ids.RequestId, Exchanges.Exchange>()
  /** Connections with a request that is not answered yet. */
  private readonly busy = new WeakMap<Net.Socket, number>()
  private readonly requestOf = new Map<Decisions.Ids.AttemptId, Decisions.Ids.RequestId>()
  private received = 0

  constructor (parts: Parts) {
    this.parts = parts
  }

  /** Requests that are not answered yet or still have an attempt. */
  get open (): number {
    return this.exchanges.size
  }

  /** Takes over a request whose head has been parsed. */
  handle (request: Http.IncomingMessage, response: Http.ServerResponse): void {
    const inbound = { request, response }
    const startedAt = performance.now()
    this.occupy(request.socket, 1)
    response.on('close', () => {
      this.occupy(request.socket, -1)
      this.parts.metrics.time('request', performance.now() - startedAt)
    })
    const heading = Arrivals.readHeading(request, this.isPeer)
    if (heading.isErr()) {
      this.refuse(inbound, heading.error)
      return
    }
    const subject = { service: heading.value.service, path: heading.value.path, method: request.method ?? 'GET', ...(heading.value.account === undefined ? {} : { account: heading.value.account }) }
    const policy = this.parts.engine.board.configuration.policyFor(subject, this.parts.clock.now())
    if (Number(request.headers['content-length'] ?? 0) > policy.bodyLimit) {
      this.refuse(inbound, tooLarge(policy.bodyLimit))
      return
    }
    if (Bodies.announced(request)) void this.receive(inbound, heading.value, policy, startedAt)
    else this.admit(inbound, heading.value, policy, Bodies.NO_BODY, startedAt)
  }

  /** Answers an Expect header other than 100-continue. */
  refuseExpectation (request: Http.IncomingMessage, response: Http.ServerResponse): void {
    this.refuse({ request, response }, Decisions.Refusals.notRun('request-malformed', 'Only the expectation 100-continue is supported.'), STATUS_EXPECTATION_FAILED)
  }

  /** Whether a request of this connection is in progress: nothing can be said then about what ran. */
  isBusy (socket: Net.Socket): boolean {
    return (this.busy.get(socket) ?? 0) > 0
  }

  dispatch (command: Decisions.Commands.Dispatch): void {
    const fields = [Wire.DEADLINE, String(Math.max(0, Math.round(command.remaining)))]
    this.attempt(command, fields)
  }

  forward (command: Decisions.Commands.Forward): void {
    const exchange = this.exchanges.get(command.request)
    if (exchange === undefined) {
      this.reportUnsent(command)
      return
    }
    const { request, attempt, address, remaining } = command
    this.attempt({ request, attempt, address, remaining }, Wire.forwardFields(command, exchange.arrival, this.parts.identity.node))
  }

  relay (command: Decisions.Commands.Relay): void {
    const exchange = this.exchanges.get(command.request)
    const attempt = exchange?.attempts.get(command.attempt)
    if (exchange === undefined || attempt === undefined) return
    exchange.relay(attempt)
  }

  refuseRequest (command: Decisions.Commands.Refuse): void {
    this.parts.metrics.count('request.refused', { kind: command.refusal.kind })
    const exchange = this.exchanges.get(command.request)
    exchange?.refuse(command.refusal)
    this.close(command.request)
  }

  replay (command: Decisions.Commands.Replay): void {
    this.exchanges.get(command.request)?.replay(command.status, command.body)
    this.close(command.request)
  }

  cancel (command: Decisions.Commands.Cancel): void {
    this.exchanges.get(command.request)?.attempts.get(command.attempt)?.cancel()
  }

  responded (attempt: Attempts.Attempt, head: Attempts.Head): void {
    const request = this.requestOf.get(attempt.plan.id)
    if (request === undefined) return
    this.parts.loop.submit({
      kind: 'attempt-responded', request, attempt: attempt.plan.id, status: head.status, shed: head.shed, serviceTime: head.serviceTime
    })
  }

  finished (attempt: Attempts.Attempt, end: Decisions.Events.AttemptEnd, elapsed: Decisions.Clock.Milliseconds): void {
    const id = attempt.plan.id
    const request = this.requestOf.get(id)
    if (request === undefined) return
    this.requestOf.delete(id)
    this.exchanges.get(request)?.attempts.delete(id)
    const report = (): void => {
      this.parts.loop.submit({ kind: 'attempt-finished', request, attempt: id, end, elapsed })
      this.close(request)
    }
    this.parts.targets.afterAttempt(attempt.plan, end, report)
  }

  /** Ends exchanges that the engine did not answer in time. Called at every tick. */
  sweep (): void {
    const now = performance.now()
    for (const [id, exchange] of this.exchanges) {
      if (now < exchange.abandonedAt) continue
      for (const attempt of exchange.attempts.values()) attempt.cancel()
      if (!exchange.answered) {
        this.parts.metrics.count('request.abandoned')
        this.parts.logger.error({ request: id, service: exchange.arrival.service }, 'no decision by the deadline; request answered as unknown')
        exchange.refuse(Decisions.Refusals.unknown('upstream-timeout', 'The node made no decision before the deadline.'))
      }
      this.exchanges.delete(id)
    }
  }

  private readonly isPeer: Arrivals.PeerCheck = (address, node) => {
    const member = this.parts.engine.board.members.get(node)
    if (member === undefined) return 'unknown'
    return Endpoints.split(member.address).host === address ? 'peer' : 'stranger'
  }

  private async receive (inbound: Exchanges.Inbound, heading: Arrivals.Heading, policy: Decisions.Policies.Policy, startedAt: number): Promise<void> {
    const patience = Math.min(heading.remaining ?? policy.deadline, policy.deadlineMaximum)
    const body = await Bodies.receive(inbound.request, policy.bodyLimit, patience)
    body.match(
      value => { this.admit(inbound, heading, policy, value, startedAt) },
      failure => { this.refuseBody(inbound, failure) }
    )
  }

  private refuseBody (inbound: Exchanges.Inbound, failure: Bodies.BodyFailure): void {
    switch (failure.kind) {
      case 'too-large': this.refuse(inbound, tooLarge(failure.limit)); break
      case 'too-slow': this.refuse(inbound, Decisions.Refusals.notRun('deadline-exceeded', 'The request body was not received before the deadline.')); break
      case 'cancelled': inbound.response.destroy(); break
    }
  }

  /** Refuses a request that the engine does not see; an earlier one with the same key may have run. */
  private refuse (inbound: Exchanges.Inbound, refusal: Decisions.Refusals.Refusal, status?: number): void {
    this.parts.metrics.count('request.refused', { kind: refusal.kind })
    Exchanges.send(inbound, Problem.problemFor(Arrivals.mayHaveRunBefore(inbound.request) ? { ...refusal, outcome: 'unknown' } : refusal, status))
  }

  private occupy (socket: Net.Socket, change: number): void {
    this.busy.set(socket, (this.busy.get(socket) ?? 0) + change)
  }

  private admit (inbound: Exchanges.Inbound, heading: Arrivals.Heading, policy: Decisions.Policies.Policy, body: Bodies.Body, startedAt: number): void {
    this.received += 1
    this.parts.metrics.count('request.received', { hop: heading.hop })
    const { node, incarnation } = this.parts.identity
    const id = Decisions.Ids.requestId(`${node}.${incarnation}.r${this.received}`)
    const arrival = Arrivals.arrivalOf(id, inbound.request, heading, body, performance.now() - startedAt)
    const allowed = Math.min(arrival.remaining ?? policy.deadline, policy.deadlineMaximum)
    const exchange = new Exchanges.Exchange(arrival, body, policy, performance.now() + allowed + ABANDON_AFTER_MS, inbound)
    this.exchanges.set(id, exchange)
    inbound.response.on('close', () => { this.requesterClosed(exchange, inbound.response) })
    this.parts.loop.submit(arrival)
  }

  private requesterClosed (exchange: Exchanges.Exchange, response: Http.ServerResponse): void {
    if (response.writableFinished || exchange.gone) return
    exchange.gone = true
    exchange.answered = true
    this.parts.metrics.count('request.cancelled')
    this.parts.loop.submit({ kind: 'request-cancelled', request: exchange.arrival.request })
    this.close(exchange.arrival.request)
  }

  private attempt (command: Pick<Decisions.Commands.Forward, 'request' | 'attempt' | 'address' | 'remaining' | 'target'>, fields: readonly string[]): void {
    const exchange = this.exchanges.get(command.request)
    if (exchange === undefined) {
      this.reportUnsent(command)
      return
    }
    const { method, service } = exchange.arrival
    const attempt = new Attempts.Attempt({
      id: command.attempt,
      address: command.address,
      method,
      remaining: command.remaining,
      bodyLimit: exchange.policy.bodyLimit,
      keepBody: exchange.arrival.key !== undefined,
      ...(command.target === undefined ? {} : { target: command.target })
    }, this)
    exchange.attempts.set(command.attempt, attempt)
    this.requestOf.set(command.attempt, command.request)
    if (command.target !== undefined) this.parts.targets.started(command.target)
    const body = exchange.body.open()
    if (body === undefined) {
      attempt.reject()
      return
    }
    this.parts.metrics.count('attempt.started', { service })
    const headers = [...Headers.passedOn(exchange.headers), ...fields]
    try {
      this.parts.pools.to(command.address).dispatch({ method, path: exchange.path, headers, body: Buffer.isBuffer(body) && body.length === 0 ? null : body }, attempt)
    } catch (error) {
      this.parts.logger.warn({ address: command.address, error: String(error) }, 'request could not be sent')
      attempt.reject()
    }
  }

  /** The requester has gone, and with it the content to send. */
  private reportUnsent (command: Pick<Decisions.Commands.Forward, 'request' | 'attempt'>): void {
    const { request, attempt } = command
    this.parts.loop.submit({ kind: 'attempt-finished', request, attempt, end: { kind: 'unreachable' }, elapsed: Decisions.Clock.milliseconds(0) })
  }

  private close (id: Decisions.Ids.RequestId): void {
    if (this.exchanges.get(id)?.over === true) this.exchanges.delete(id)
  }
}

function tooLarge (limit: number): Decisions.Refusals.Refusal {
  return Decisions.Refusals.notRun('body-too-large', `The request body exceeds ${limit} bytes.`)
}
