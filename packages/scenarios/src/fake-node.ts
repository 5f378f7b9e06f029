/** Fake node: runs a real engine and executes its commands against the other fakes. */
import * as Configuration from '@jasminedale/configuration'
import * as Decisions from '@jasminedale/decisions'
import type * as Attempts from './attempt.js'
import * as Deliveries from './delivery.js'
import type * as FakeServers from './fake-server.js'
import type * as Networks from './network.js'
import type * as Environments from './environment.js'

/** A request as sent to a node. */
export interface Submission {
  readonly arrival: Omit<Decisions.Events.RequestArrived, 'kind' | 'request'>
  readonly payload: FakeServers.Payload
}

/** Receives the answer to an inbound request. */
export interface Responder {
  head(status: number, shed: boolean, serviceTime: number): void
  end(body: string | undefined): void
  refuse(refusal: Decisions.Refusals.Refusal): void
  replay(status: number, body: string | undefined): void
  /** The connection broke before a response head. */
  reset(): void
}

interface Inbound { readonly submission: Submission, readonly responder: Responder }
type State = 'up' | 'down' | 'paused'

const TICK_MS = 100

export class FakeNode {
  readonly drained: Decisions.Commands.Drained[] = []
  readonly attempts = new Map<Decisions.Ids.AttemptId, Attempts.Attempt>()
  engine: Decisions.Engines.Engine
  state: State = 'up'
  private readonly inbound = new Map<Decisions.Ids.RequestId, Inbound>()
  private readonly connections = new Map<string, number>()
  private backlog: Decisions.Events.ExternalEvent[] = []
  private bootCount = 0

  constructor (readonly place: Networks.Place, private readonly environment: Environments.Environment) {
    this.engine = this.startEngine()
    environment.timeline.after(environment.random.fraction() * TICK_MS, () => { this.tick() })
  }

  /** Handles events now, or on resume if the process is paused. Events for a killed process are lost. */
  step (events: readonly Decisions.Events.ExternalEvent[]): void {
    if (this.state === 'down') return
    if (this.state === 'paused') {
      this.backlog.push(...events)
      return
    }
    for (const command of this.engine.step(this.environment.timeline.now(), events)) this.execute(command)
  }

  /** Accepts a request from a caller or another node and returns the id that this node gives it. */
  receive (submission: Submission, responder: Responder): Decisions.Ids.RequestId {
    const request = Decisions.Ids.requestId(`${this.place.node}/${this.environment.nextNumber()}`)
    this.inbound.set(request, { submission, responder })
    this.step([{ kind: 'request-arrived', request, ...submission.arrival }])
    return request
  }

  kill (): void {
    if (this.state === 'down') return
    this.state = 'down'
    this.backlog = []
    for (const { responder } of this.inbound.values()) responder.reset()
    this.inbound.clear()
    for (const attempt of this.attempts.values()) attempt.abandon()
    this.attempts.clear()
    this.connections.clear()
  }

  restart (): void {
    this.kill()
    this.engine = this.startEngine()
    this.state = 'up'
  }

  pause (): void {
    if (this.state === 'up') this.state = 'paused'
  }

  resume (): void {
    if (this.state !== 'paused') return
    this.state = 'up'
    this.step(this.backlog.splice(0))
  }

  drain (): void {
    this.step([{ kind: 'drain-requested' }])
  }

  /** Time at which the pooled connection to an address was opened, in ms of the scenario. Opens one if there is none. */
  connectionOpenedAt (address: string): number {
    const opened = this.connections.get(address) ?? this.environment.timeline.elapsed()
    this.connections.set(address, opened)
    return opened
  }

  submission (request: Decisions.Ids.RequestId): Submission | undefined {
    return this.inbound.get(request)?.submission
  }

  private startEngine (): Decisions.Engines.Engine {
    this.bootCount += 1
    return new Decisions.Engines.Engine({
      identity: this.environment.identity(this.place, this.environment.timeline.now()),
      seed: this.environment.seed * 1_000 + this.environment.nextNumber(),
      parseConfiguration: Configuration.FleetConfigurations.parseConfiguration,
      ...this.environment.engineOptions
    })
  }

  private tick (): void {
    this.step([{ kind: 'tick' }])
    this.environment.timeline.after(TICK_MS, () => { this.tick() })
  }

  private execute (command: Decisions.Commands.Command): void {
    switch (command.kind) {
      case 'dispatch': Deliveries.dispatch(this, command, this.environment); break
      case 'forward': Deliveries.forward(this, command, this.environment); break
      case 'relay': this.relay(command); break
      case 'refuse': this.takeInbound(command.request)?.responder.refuse(command.refusal); break
      case 'replay': this.takeInbound(command.request)?.responder.replay(command.status, command.body); break
      case 'cancel': this.attempts.get(command.attempt)?.cancel(); break
      case 'send': Deliveries.send(this, command, this.environment); break
      case 'probe': this.probe(command); break
      case 'read-log': this.environment.log(this.place).read(command, event => { this.step([event]) }); break
      case 'append-log': this.environment.log(this.place).append(command.stream, command.token, command.body, event => { this.step([event]) }); break
      case 'retire-connections': this.connections.delete(command.address); break
      case 'drained': this.drained.push(command); break
    }
  }

  private relay (command: Decisions.Commands.Relay): void {
    const inbound = this.takeInbound(command.request)
    if (inbound !== undefined) this.attempts.get(command.attempt)?.relayTo(inbound.responder)
  }

  private takeInbound (request: Decisions.Ids.RequestId): Inbound | undefined {
    const inbound = this.inbound.get(request)
    this.inbound.delete(request)
    return inbound
  }

  private probe (command: Decisions.Commands.Probe): void {
    this.environment.server(command.target)?.probe((healthy, elapsed) => {
      this.step([{ kind: 'probe-finished', target: command.target, healthy, elapsed: Decisions.Clock.milliseconds(elapsed) }])
    })
  }
}
