/** Simulated node: executes the commands of a real engine. */
import * as Decisions from '@jasminedale/decisions'
import * as Attempts from './attempt.js'
import type * as Fleets from './fleet.js'
import type * as Servers from './server.js'

/** Receives the answer to a request. */
export interface Requester {
  head (status: number, serviceTime: number): void
  end (intact: boolean): void
  refuse (refusal: Decisions.Refusals.Refusal): void
}

/** A request as sent to a node. */
export interface Submission {
  readonly id: string
  readonly arrival: Omit<Decisions.Events.RequestArrived, 'kind' | 'request'>
}

interface Inbound { readonly submission: Submission, readonly requester: Requester }

export class Node {
  readonly engine: Decisions.Engines.Engine
  readonly attempts = new Map<Decisions.Ids.AttemptId, Attempts.Attempt>()
  readonly drained: Decisions.Commands.Drained[] = []
  private readonly inbound = new Map<Decisions.Ids.RequestId, Inbound>()
  private receivedCount = 0

  constructor (
    readonly name: string, readonly dataCenter: string, readonly region: string, seed: number, readonly fleet: Fleets.Fleet
  ) {
    this.engine = new Decisions.Engines.Engine({ identity: this.identity(), seed })
    // The simulation has no log, without which a node would refuse callers for the first 3 s.
    this.engine.board.configuration.isInitialized = true
  }

  step (events: readonly Decisions.Events.ExternalEvent[]): void {
    const now = Decisions.Clock.milliseconds(this.fleet.scheduler.now)
    for (const command of this.engine.step(now, events)) this.execute(command)
  }

  receive (submission: Submission, requester: Requester): Decisions.Ids.RequestId {
    this.receivedCount += 1
    const request = Decisions.Ids.requestId(`${this.name}/${this.receivedCount}`)
    this.inbound.set(request, { submission, requester })
    this.step([{ kind: 'request-arrived', request, ...submission.arrival }])
    return request
  }

  submission (request: Decisions.Ids.RequestId): Submission | undefined {
    return this.inbound.get(request)?.submission
  }

  configure (policy: Partial<Decisions.Policies.Policy>, exceptions: readonly Decisions.Policies.Exception[]): void {
    const { configuration } = this.engine.board
    configuration.current = { ...configuration.current, defaults: { ...configuration.current.defaults, ...policy }, exceptions }
  }

  announce (name: string, server: Servers.Server): void {
    this.step([{
      kind: 'target-announced',
      target: Decisions.Ids.targetId(name),
      service: Decisions.Ids.service('accounts'),
      address: Decisions.Ids.endpoint(`server:${name}`),
      slots: server.options.slots,
      incarnation: Decisions.Ids.incarnation(1),
      load: Math.min(1, server.load)
    }])
  }

  private identity (): Decisions.Identities.Identity {
    return {
      node: Decisions.Ids.nodeId(this.name),
      address: Decisions.Ids.endpoint(this.name),
      dataCenter: Decisions.Ids.dataCenter(this.dataCenter),
      region: Decisions.Ids.region(this.region),
      incarnation: Decisions.Ids.incarnation(1),
      seeds: this.fleet.seeds.filter(seed => seed !== this.name).map(Decisions.Ids.endpoint)
    }
  }

  private execute (command: Decisions.Commands.Command): void {
    switch (command.kind) {
      case 'dispatch': Attempts.dispatch(this, command); break
      case 'forward': Attempts.forward(this, command); break
      case 'relay': this.relay(command); break
      case 'refuse': this.takeInbound(command.request)?.requester.refuse(command.refusal); break
      case 'cancel': this.attempts.get(command.attempt)?.cancel(); break
      case 'send': this.send(command); break
      case 'drained': this.drained.push(command); break
      default: break
    }
  }

  private send (command: Decisions.Commands.Send): void {
    const peer = this.fleet.node(command.address)
    const { node: from, address } = this.engine.board.identity
    if (peer === undefined) return
    this.fleet.deliver(this, peer, () => { peer.step([{ kind: 'message-received', from, address, message: command.message }]) })
  }

  private relay (command: Decisions.Commands.Relay): void {
    const inbound = this.takeInbound(command.request)
    if (inbound !== undefined) this.attempts.get(command.attempt)?.relayTo(inbound.requester)
  }

  private takeInbound (request: Decisions.Ids.RequestId): Inbound | undefined {
    const inbound = this.inbound.get(request)
    this.inbound.delete(request)
    return inbound
  }
}
