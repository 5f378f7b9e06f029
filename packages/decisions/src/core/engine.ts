/** Entry point of the decision library: takes events and returns commands. */
import * as Admission from '../admission/admission.js'
import * as Burn from '../burn/burn.js'
import * as Detection from '../detection/detection.js'
import * as Ejection from '../ejection/ejection.js'
import type * as Entries from '../journal/entries.js'
import * as Directory from '../membership/directory.js'
import * as Membership from '../membership/membership.js'
import * as Ownership from '../ownership/ownership.js'
import * as Parsers from '../publication/parser.js'
import * as Publication from '../publication/publication.js'
import * as Quarantine from '../quarantine/quarantine.js'
import * as Routing from '../routing/routing.js'
import * as Blackboards from './blackboard.js'
import type * as Clock from './clock.js'
import type * as Commands from './command.js'
import type * as Controllers from './controller.js'
import type * as Events from './event.js'
import type * as Identities from './identity.js'
import * as Random from './random.js'

export interface EngineOptions {
  readonly identity: Identities.Identity
  /** Seed of the random generator. */
  readonly seed: number
  /** Parses published configurations; without it no publication is accepted. */
  readonly parseConfiguration?: Parsers.ParseConfiguration
}

/** Controllers in the order in which they handle an event: those that update the state that others read come first. */
function controllers (parse: Parsers.ParseConfiguration): readonly Controllers.Controller[] {
  return [
    new Membership.Membership(),
    new Directory.Directory(),
    new Publication.Publication(parse),
    new Quarantine.Quarantine(),
    new Detection.Detection(),
    new Ejection.Ejection(),
    new Ownership.Ownership(),
    new Admission.Admission(),
    new Routing.Routing(),
    new Burn.Burn()
  ]
}

/**
 * The internal event that tells all controllers about a command. Any controller may answer a request, and Admission
 * may queue an attempt, so only the command shows that a request is answered or that an attempt starts at its target.
 */
function internalEventFor (command: Commands.Command): Events.RequestAnswered | Events.AttemptDispatched | undefined {
  switch (command.kind) {
    case 'refuse': return { kind: 'request-answered', request: command.request, answer: command.refusal }
    case 'replay': return { kind: 'request-answered', request: command.request, answer: { kind: 'replayed', status: command.status } }
    case 'dispatch': return { kind: 'attempt-dispatched', request: command.request, attempt: command.attempt, target: command.target }
    default: return undefined
  }
}

export class Engine {
  readonly board: Blackboards.Blackboard
  private readonly controllers: readonly Controllers.Controller[]
  private readonly random: Random.Random
  private issuedIdCount = 0

  constructor (private readonly options: EngineOptions) {
    this.controllers = controllers(options.parseConfiguration ?? Parsers.REJECT_ALL)
    this.board = new Blackboards.Blackboard(options.identity)
    this.random = new Random.Random(options.seed)
  }

  /**
   * Handles events that occur at the instant `now` and returns the commands to carry out.
   * The same sequence of calls with the same seed returns the same commands.
   */
  step (now: Clock.Milliseconds, events: readonly Events.ExternalEvent[]): readonly Commands.Command[] {
    const commands: Commands.Command[] = []
    const pending: Events.Event[] = []
    const context = this.createStepContext(now, commands, pending)
    for (const event of events) {
      pending.push(event)
      for (let next = pending.shift(); next !== undefined; next = pending.shift()) this.deliver(next, context)
    }
    return commands
  }

  private deliver (event: Events.Event, context: Controllers.StepContext): void {
    for (const controller of this.controllers) controller.react(event, context)
  }

  private createStepContext (now: Clock.Milliseconds, commands: Commands.Command[], pending: Events.Event[]): Controllers.StepContext {
    const { board, random } = this
    return {
      board,
      now,
      random,
      emit: command => {
        commands.push(command)
        const event = internalEventFor(command)
        if (event !== undefined) pending.push(event)
      },
      raise: event => { pending.push(event) },
      record: (entry: Omit<Entries.Entry, 'at'>) => { board.journal.add({ at: now, ...entry }) },
      freshId: () => this.freshId()
    }
  }

  private freshId (): string {
    this.issuedIdCount += 1
    return `${this.options.identity.node}.${this.options.identity.incarnation}.${this.issuedIdCount}`
  }
}
