/** The decision library's single entry: events in, commands out. */
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
  /** Seed of every random choice. */
  readonly seed: number
  /** Reads published texts; without it no publication is accepted. */
  readonly parseConfiguration?: Parsers.ParseConfiguration
}

/** Order matters: sections that others read are updated first. */
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
 * Every controller may answer a request, and admission may hold an attempt in its queue; only the command
 * tells the others that a request is over or that work on a target begins.
 */
function announced (command: Commands.Command): Events.RequestAnswered | Events.AttemptDispatched | undefined {
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
  private identifiers = 0

  constructor (private readonly options: EngineOptions) {
    this.controllers = controllers(options.parseConfiguration ?? Parsers.REJECT_ALL)
    this.board = new Blackboards.Blackboard(options.identity)
    this.random = new Random.Random(options.seed)
  }

  /**
   * Handles a batch of events at one instant and returns what to do.
   * The same sequence of calls with the same seed returns the same commands.
   */
  step (now: Clock.Milliseconds, events: readonly Events.ExternalEvent[]): readonly Commands.Command[] {
    const commands: Commands.Command[] = []
    const pending: Events.Event[] = []
    const turn = this.turn(now, commands, pending)
    for (const event of events) {
      pending.push(event)
      for (let next = pending.shift(); next !== undefined; next = pending.shift()) this.deliver(next, turn)
    }
    return commands
  }

  private deliver (event: Events.Event, turn: Controllers.Turn): void {
    for (const controller of this.controllers) controller.react(event, turn)
  }

  private turn (now: Clock.Milliseconds, commands: Commands.Command[], pending: Events.Event[]): Controllers.Turn {
    const { board, random } = this
    return {
      board,
      now,
      random,
      emit: command => {
        commands.push(command)
        const event = announced(command)
        if (event !== undefined) pending.push(event)
      },
      raise: event => { pending.push(event) },
      record: (entry: Omit<Entries.Entry, 'at'>) => { board.journal.add({ at: now, ...entry }) },
      freshId: () => this.freshId()
    }
  }

  private freshId (): string {
    this.identifiers += 1
    return `${this.options.identity.node}.${this.options.identity.incarnation}.${this.identifiers}`
  }
}
