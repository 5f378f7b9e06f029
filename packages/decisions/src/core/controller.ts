/** Base class of the controllers, and what the engine passes to them. */
import type * as Entries from '../journal/entries.js'
import type * as Blackboards from './blackboard.js'
import type * as Clock from './clock.js'
import type * as Commands from './command.js'
import type * as Events from './event.js'
import type * as Randoms from './random.js'

/** The state that a controller reads and the effects that it can cause during one step of the engine. */
export interface StepContext {
  readonly board: Blackboards.Blackboard
  readonly now: Clock.Milliseconds
  readonly random: Randoms.Random
  /** Adds a command to the result of the step. */
  emit (command: Commands.Command): void
  /** Queues an internal event; it is handled before the step returns. */
  raise (event: Events.InternalEvent): void
  /** Adds a decision to the journal. */
  record (entry: Omit<Entries.Entry, 'at'>): void
  /** A new id; it contains the node and its incarnation, so it is unique in the fleet. */
  freshId (): string
}

export abstract class Controller {
  /** Handles one event. Controllers ignore events that do not concern them. */
  abstract react (event: Events.Event, context: StepContext): void
}
