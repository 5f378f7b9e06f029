/** A node of the test fleet: a blackboard, the controllers under test, and a stub of Routing and Admission. */
import * as Blackboards from '../../src/core/blackboard.js'
import type * as Clock from '../../src/core/clock.js'
import type * as Commands from '../../src/core/command.js'
import * as Controllers from '../../src/core/controller.js'
import type * as Events from '../../src/core/event.js'
import type * as Identities from '../../src/core/identity.js'
import * as Ids from '../../src/core/ids.js'
import * as Policies from '../../src/core/policy.js'
import * as Random from '../../src/core/random.js'
import * as Refusals from '../../src/core/refusal.js'
import * as Ownership from '../../src/ownership/ownership.js'
import type * as OwnershipRules from '../../src/ownership/ownership-rules.js'
import * as Quarantine from '../../src/quarantine/quarantine.js'
import type * as Requests from '../../src/routing/requests.js'

const TIMEOUT_MS = 10_000
/** Id of the only backend server of a node. */
export const targetOf = (node: Ids.NodeId): Ids.TargetId => Ids.targetId(`t-${node}`)

/** Opens requests and dispatches them immediately, except for a random share that it refuses. */
class Placement extends Controllers.Controller {
  constructor (private readonly refusalRate: number) { super() }

  react (event: Events.Event, context: Controllers.StepContext): void {
    const { requests, keys } = context.board
    switch (event.kind) {
      case 'request-arrived': openRequest(event, context); break
      case 'placement-wanted': this.place(event.request, context); break
      case 'attempt-responded': {
        const request = requests.get(event.request)
        if (request === undefined) return
        request.relayed = true
        context.emit({ kind: 'relay', request: event.request, attempt: event.attempt })
        break
      }
      case 'attempt-finished': {
        const request = requests.get(event.request)
        context.board.limits.dispatched.delete(event.attempt)
        if (request === undefined) return
        if (request.relayed) requests.byId.delete(event.request)
        else context.raise({ kind: 'placement-failed', request: event.request, refusal: refusalOf(event.end) })
        break
      }
      case 'placement-failed':
        if (!keys.keyedRequests.has(event.request)) context.emit({ kind: 'refuse', request: event.request, refusal: event.refusal })
        break
      default: break
    }
  }

  private place (id: Ids.RequestId, context: Controllers.StepContext): void {
    if (context.random.fraction() < this.refusalRate) {
      context.raise({ kind: 'placement-failed', request: id, refusal: Refusals.notRun('overloaded', 'Full.') })
      return
    }
    const attempt = Ids.attemptId(context.freshId())
    const { node } = context.board.identity
    const target = targetOf(node)
    context.board.requests.get(id)?.attempts.push({ attempt, hop: 'dispatch', target, node, startedAt: context.now })
    context.board.limits.dispatched.set(attempt, target)
    context.emit({ kind: 'dispatch', request: id, attempt, target, address: Ids.endpoint('127.0.0.1:9'), remaining: TIMEOUT_MS as Clock.Milliseconds })
  }
}

function openRequest (event: Events.RequestArrived, context: Controllers.StepContext): void {
  const policy = context.board.configuration.policyFor(event, context.now)
  context.board.requests.byId.set(event.request, {
    arrival: event,
    policy,
    idempotent: Policies.isIdempotent(policy, event.method),
    arrivedAt: context.now,
    deadline: context.now + TIMEOUT_MS,
    firstAttempt: Ids.attemptId(context.freshId()),
    attempts: [],
    relayed: false
  } as unknown as Requests.Request)
}

function refusalOf (end: Events.AttemptEnd): Refusals.Refusal {
  switch (end.kind) {
    case 'refused': return end.refusal
    case 'unreachable': return Refusals.notRun('upstream-unreachable', 'Not connected.')
    default: return Refusals.unknown('upstream-disconnected', 'Lost.')
  }
}

export interface NodeOptions { readonly rules?: OwnershipRules.OwnershipRules, readonly refusalRate?: number, readonly seed: number }

export class Node {
  readonly board: Blackboards.Blackboard
  private readonly controllers: readonly Controllers.Controller[]
  private readonly random: Random.Random
  private identifierCount = 0

  constructor (readonly identity: Identities.Identity, options: NodeOptions) {
    this.board = new Blackboards.Blackboard(identity)
    this.random = new Random.Random(options.seed)
    this.controllers = [new Quarantine.Quarantine(), new Ownership.Ownership(options.rules), new Placement(options.refusalRate ?? 0)]
  }

  step (now: number, event: Events.ExternalEvent): Commands.Command[] {
    const commands: Commands.Command[] = []
    const pending: Events.Event[] = [event]
    const context: Controllers.StepContext = {
      board: this.board,
      now: now as Clock.Milliseconds,
      random: this.random,
      emit: command => {
        commands.push(command)
        if (command.kind === 'refuse' || command.kind === 'replay') this.board.requests.byId.delete(command.request)
      },
      raise: raised => { pending.push(raised) },
      record: entry => { this.board.journal.add({ at: now as Clock.Milliseconds, ...entry }) },
      freshId: () => `${this.identity.node}.${this.identity.incarnation}.${this.identifierCount++}`
    }
    for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
      for (const controller of this.controllers) controller.react(next, context)
    }
    return commands
  }
}
