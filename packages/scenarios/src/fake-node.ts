/** Fake daemon: carries out the commands of a real engine against the other fakes. */
import * as Configuration from '@jasminedale/configuration'
import * as Decisions from '@jasminedale/decisions'
import type * as Attempts from './attempt.js'
import * as Deliveries from './delivery.js'
import type * as FakeServers from './fake-server.js'
import type * as Networks from './network.js'
import type * as Surroundings from './surroundings.js'

/** A request as it crosses the wire. */
export interface Submission {
  readonly arrival: Omit<Decisions.Events.RequestArrived, 'kind' | 'request'>
  readonly payload: FakeServers.Payload
}

/** Where the answer to an inbound request goes. */
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
  private lives = 0

  constructor (readonly place: Networks.Place, private readonly around: Surroundings.Surroundings) {
    this.engine = this.boot()
    around.timeline.after(around.random.fraction() * TICK_MS, () => { this.tick() })
  }

  /** Handles events now, or when the process resumes; a dead process loses them. */
  step (events: readonly Decisions.Events.ExternalEvent[]): void {
    if (this.state === 'down') return
    if (this.state === 'paused') {
      this.backlog.push(...events)
      return
    }
    for (const command of this.engine.step(this.around.timeline.now(), events)) this.carryOut(command)
  }

  /** Takes a request from a caller or another node and returns its id here. */
  receive (submission: Submission, responder: Responder): Decisions.Ids.RequestId {
    const request = Decisions.Ids.requestId(`${this.place.node}/${this.around.fresh()}`)
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
    this.engine = this.boot()
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

  /** Age of the pooled connection to an address; a first use opens one. */
  connection (address: string): number {
    const opened = this.connections.get(address) ?? this.around.timeline.elapsed()
    this.connections.set(address, opened)
    return opened
  }

  submission (request: Decisions.Ids.RequestId): Submission | undefined {
    return this.inbound.get(request)?.submission
  }

  private boot (): Decisions.Engines.Engine {
    this.lives += 1
    return new Decisions.Engines.Engine({
      identity: this.around.identity(this.place, this.around.timeline.now()),
      seed: this.around.seed * 1_000 + this.around.fresh(),
      parseConfiguration: Configuration.FleetConfigurations.parseConfiguration,
      ...this.around.engineOptions
    })
  }

  private tick (): void {
    this.step([{ kind: 'tick' }])
    this.around.timeline.after(TICK_MS, () => { this.tick() })
  }

  private carryOut (command: Decisions.Commands.Command): void {
    switch (command.kind) {
      case 'dispatch': Deliveries.dispatch(this, command, this.around); break
      case 'forward': Deliveries.forward(this, command, this.around); break
      case 'relay': this.relay(command); break
      case 'refuse': this.close(command.request)?.responder.refuse(command.refusal); break
      case 'replay': this.close(command.request)?.responder.replay(command.status, command.body); break
      case 'cancel': this.attempts.get(command.attempt)?.cancel(); break
      case 'send': Deliveries.send(this, command, this.around); break
      case 'probe': this.probe(command); break
      case 'read-log': this.around.log(this.place).read(command, event => { this.step([event]) }); break
      case 'append-log': this.around.log(this.place).append(command.stream, command.token, command.body, event => { this.step([event]) }); break
      case 'retire-connections': this.connections.delete(command.address); break
      case 'drained': this.drained.push(command); break
    }
  }

  private relay (command: Decisions.Commands.Relay): void {
    const inbound = this.close(command.request)
    if (inbound !== undefined) this.attempts.get(command.attempt)?.relayTo(inbound.responder)
  }

  private close (request: Decisions.Ids.RequestId): Inbound | undefined {
    const inbound = this.inbound.get(request)
    this.inbound.delete(request)
    return inbound
  }

  private probe (command: Decisions.Commands.Probe): void {
    this.around.server(command.target)?.probe((healthy, elapsed) => {
      this.step([{ kind: 'probe-finished', target: command.target, healthy, elapsed: Decisions.Clock.milliseconds(elapsed) }])
    })
  }
}
