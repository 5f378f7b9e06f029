/** Receives requests, submits them to the engine and executes its commands about them. */
import type * as Http from 'node:http'
import type * as Net from 'node:net'
import * as Decisions from '@jasminedale/decisions'
import * as Endpoints from '../endpoint.js'
import type * as EngineLoops from '../engine-loop.js'
import type * as Loggers from '../observation/logger.js'
import type * as Metrics from '../observation/metrics.js'
import type * as ConnectionPools from '../connection-pools.js'
import type * as LocalTargets from '../local-targets.js'
import * as Arrivals from './arrival.js'
import * as Attempts from './attempt.js'
import * as Bodies from './body.js'
import * as Exchanges from './exchange.js'
import * as Headers from './headers.js'
import * as Problems from './problem.js'
import * as HeaderFields from './header-fields.js'

/** Time after the deadline at which a request without a decision of the engine is ended. */
const DECISION_GRACE_MS = 2_000
const STATUS_EXPECTATION_FAILED = 417

interface GatewayParts {
  readonly engine: Decisions.Engines.Engine
  readonly identity: Decisions.Identities.Identity
  readonly clock: Decisions.Clock.Clock
  readonly loop: EngineLoops.EngineLoop
  readonly pools: ConnectionPools.ConnectionPools
  readonly targets: LocalTargets.LocalTargets
  readonly logger: Loggers.Logger
  readonly metrics: Metrics.Metrics
}

export class Gateway implements Attempts.AttemptListener {
  private readonly parts: GatewayParts
  private readonly exchanges = new Map<Decisions.Ids.RequestId, Exchanges.Exchange>()
  /** Number of requests in progress on each connection. */
  private readonly openRequestsBySocket = new WeakMap<Net.Socket, number>()
  private readonly requestByAttempt = new Map<Decisions.Ids.AttemptId, Decisions.Ids.RequestId>()
  private receivedRequests = 0

  constructor (parts: GatewayParts) {
    this.parts = parts
  }

  /** Number of requests that are unanswered or have an attempt in progress. */
  get openRequestCount (): number {
    return this.exchanges.size
  }

  /** Handles a request whose head has been parsed and whose body has not been read. */
  handle (request: Http.IncomingMessage, response: Http.ServerResponse): void {
    const inbound = { request, response }
    const startedAt = performance.now()
    this.addOpenRequests(request.socket, 1)
    response.on('close', () => {
      this.addOpenRequests(request.socket, -1)
      this.parts.metrics.time('request', performance.now() - startedAt)
    })
    const head = Arrivals.readRequestHead(request, this.checkPeer)
    if (head.isErr()) {
      this.refuse(inbound, head.error)
      return
    }
    const subject = { service: head.value.service, path: head.value.path, method: request.method ?? 'GET', ...(head.value.account === undefined ? {} : { account: head.value.account }) }
    const policy = this.parts.engine.board.configuration.policyFor(subject, this.parts.clock.now())
    if (Number(request.headers['content-length'] ?? 0) > policy.bodyLimit) {
      this.refuse(inbound, bodyTooLarge(policy.bodyLimit))
      return
    }
    if (Bodies.hasBody(request)) void this.receiveBody(inbound, head.value, policy, startedAt)
    else this.admit(inbound, head.value, policy, Bodies.EMPTY_BODY, startedAt)
  }

  /** Refuses a request with an Expect header other than 100-continue. */
  refuseExpectation (request: Http.IncomingMessage, response: Http.ServerResponse): void {
    this.refuse({ request, response }, Decisions.Refusals.notRun('request-malformed', 'Only the expectation 100-continue is supported.'), STATUS_EXPECTATION_FAILED)
  }

  /** Whether a request of this connection is in progress. If so, it is unknown what has run. */
  isBusy (socket: Net.Socket): boolean {
    return (this.openRequestsBySocket.get(socket) ?? 0) > 0
  }

  dispatch (command: Decisions.Commands.Dispatch): void {
    const fields = [HeaderFields.DEADLINE, String(Math.max(0, Math.round(command.remaining)))]
    this.startAttempt(command, fields)
  }

  forward (command: Decisions.Commands.Forward): void {
    const exchange = this.exchanges.get(command.request)
    if (exchange === undefined) {
      this.reportUnsent(command)
      return
    }
    const { request, attempt, address, remaining } = command
    this.startAttempt({ request, attempt, address, remaining }, HeaderFields.forwardFields(command, exchange.arrival, this.parts.identity.node))
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
    this.removeIfFinished(command.request)
  }

  replay (command: Decisions.Commands.Replay): void {
    this.exchanges.get(command.request)?.replay(command.status, command.body)
    this.removeIfFinished(command.request)
  }

  cancel (command: Decisions.Commands.Cancel): void {
    this.exchanges.get(command.request)?.attempts.get(command.attempt)?.cancel()
  }

  handleResponse (attempt: Attempts.Attempt, head: Attempts.ResponseHead): void {
    const request = this.requestByAttempt.get(attempt.plan.id)
    if (request === undefined) return
    this.parts.loop.submit({
      kind: 'attempt-responded', request, attempt: attempt.plan.id, status: head.status, shed: head.isShed, serviceTime: head.serviceTime
    })
  }

  handleEnd (attempt: Attempts.Attempt, end: Decisions.Events.AttemptEnd, elapsed: Decisions.Clock.Milliseconds): void {
    const id = attempt.plan.id
    const request = this.requestByAttempt.get(id)
    if (request === undefined) return
    this.requestByAttempt.delete(id)
    this.exchanges.get(request)?.attempts.delete(id)
    const report = (): void => {
      this.parts.loop.submit({ kind: 'attempt-finished', request, attempt: id, end, elapsed })
      this.removeIfFinished(request)
    }
    this.parts.targets.finishAttempt(attempt.plan, end, report)
  }

  /** Ends the exchanges for which the engine has made no decision in time. Called on every tick. */
  sweep (): void {
    const now = performance.now()
    for (const [id, exchange] of this.exchanges) {
      if (now < exchange.expiresAt) continue
      for (const attempt of exchange.attempts.values()) attempt.cancel()
      if (!exchange.isAnswered) {
        this.parts.metrics.count('request.abandoned')
        this.parts.logger.error({ request: id, service: exchange.arrival.service }, 'no decision by the deadline; request answered as unknown')
        exchange.refuse(Decisions.Refusals.unknown('upstream-timeout', 'The node made no decision before the deadline.'))
      }
      this.exchanges.delete(id)
    }
  }

  private readonly checkPeer: Arrivals.PeerCheck = (address, node) => {
    const member = this.parts.engine.board.members.get(node)
    if (member === undefined) return 'unknown'
    return Endpoints.parse(member.address).host === address ? 'peer' : 'address-mismatch'
  }

  private async receiveBody (inbound: Exchanges.InboundRequest, head: Arrivals.RequestHead, policy: Decisions.Policies.Policy, startedAt: number): Promise<void> {
    const timeout = Math.min(head.remaining ?? policy.deadline, policy.deadlineMaximum)
    const body = await Bodies.receive(inbound.request, policy.bodyLimit, timeout)
    body.match(
      value => { this.admit(inbound, head, policy, value, startedAt) },
      failure => { this.refuseBody(inbound, failure) }
    )
  }

  private refuseBody (inbound: Exchanges.InboundRequest, failure: Bodies.BodyFailure): void {
    switch (failure.kind) {
      case 'too-large': this.refuse(inbound, bodyTooLarge(failure.limit)); break
      case 'too-slow': this.refuse(inbound, Decisions.Refusals.notRun('deadline-exceeded', 'The request body was not received before the deadline.')); break
      case 'cancelled': inbound.response.destroy(); break
    }
  }

  /** Refuses a request before the engine sees it. The outcome is unknown if an earlier request with the same key may have run. */
  private refuse (inbound: Exchanges.InboundRequest, refusal: Decisions.Refusals.Refusal, status?: number): void {
    this.parts.metrics.count('request.refused', { kind: refusal.kind })
    Exchanges.sendProblem(inbound, Problems.createProblem(Arrivals.mayHaveRunBefore(inbound.request) ? { ...refusal, outcome: 'unknown' } : refusal, status))
  }

  private addOpenRequests (socket: Net.Socket, change: number): void {
    this.openRequestsBySocket.set(socket, (this.openRequestsBySocket.get(socket) ?? 0) + change)
  }

  private admit (inbound: Exchanges.InboundRequest, head: Arrivals.RequestHead, policy: Decisions.Policies.Policy, body: Bodies.Body, startedAt: number): void {
    this.receivedRequests += 1
    this.parts.metrics.count('request.received', { hop: head.hop })
    const { node, incarnation } = this.parts.identity
    const id = Decisions.Ids.requestId(`${node}.${incarnation}.r${this.receivedRequests}`)
    const arrival = Arrivals.createArrival(id, inbound.request, head, body, performance.now() - startedAt)
    const timeout = Math.min(arrival.remaining ?? policy.deadline, policy.deadlineMaximum)
    const exchange = new Exchanges.Exchange(arrival, body, policy, performance.now() + timeout + DECISION_GRACE_MS, inbound)
    this.exchanges.set(id, exchange)
    inbound.response.on('close', () => { this.handleRequesterClosed(exchange, inbound.response) })
    this.parts.loop.submit(arrival)
  }

  private handleRequesterClosed (exchange: Exchanges.Exchange, response: Http.ServerResponse): void {
    if (response.writableFinished || exchange.isRequesterGone) return
    exchange.isRequesterGone = true
    exchange.isAnswered = true
    this.parts.metrics.count('request.cancelled')
    this.parts.loop.submit({ kind: 'request-cancelled', request: exchange.arrival.request })
    this.removeIfFinished(exchange.arrival.request)
  }

  private startAttempt (command: Pick<Decisions.Commands.Forward, 'request' | 'attempt' | 'address' | 'remaining' | 'target'>, fields: readonly string[]): void {
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
      isBodyKept: exchange.arrival.key !== undefined,
      ...(command.target === undefined ? {} : { target: command.target })
    }, this)
    exchange.attempts.set(command.attempt, attempt)
    this.requestByAttempt.set(command.attempt, command.request)
    if (command.target !== undefined) this.parts.targets.startAttempt(command.target)
    const body = exchange.body.takeContent()
    if (body === undefined) {
      attempt.reject()
      return
    }
    this.parts.metrics.count('attempt.started', { service })
    const headers = [...Headers.endToEndFields(exchange.headers), ...fields]
    try {
      this.parts.pools.poolFor(command.address).dispatch({ method, path: exchange.path, headers, body: Buffer.isBuffer(body) && body.length === 0 ? null : body }, attempt)
    } catch (error) {
      this.parts.logger.warn({ address: command.address, error: String(error) }, 'request could not be sent')
      attempt.reject()
    }
  }

  /** Reports an attempt that cannot start, because the requester has disconnected and its request body is lost. */
  private reportUnsent (command: Pick<Decisions.Commands.Forward, 'request' | 'attempt'>): void {
    const { request, attempt } = command
    this.parts.loop.submit({ kind: 'attempt-finished', request, attempt, end: { kind: 'unreachable' }, elapsed: Decisions.Clock.milliseconds(0) })
  }

  private removeIfFinished (id: Decisions.Ids.RequestId): void {
    if (this.exchanges.get(id)?.isFinished === true) this.exchanges.delete(id)
  }
}

function bodyTooLarge (limit: number): Decisions.Refusals.Refusal {
  return Decisions.Refusals.notRun('body-too-large', `The request body exceeds ${limit} bytes.`)
}
