/** Base of every controller, and what it is given to work with. */
import type * as Entries from '../journal/entries.js'
import type * as Blackboards from './blackboard.js'
import type * as Clock from './clock.js'
import type * as Commands from './command.js'
import type * as Events from './event.js'
import type * as Randoms from './random.js'

/** Access to the current step. */
export interface Turn {
  readonly board: Blackboards.Blackboard
  readonly now: Clock.Milliseconds
  readonly random: Randoms.Random
  emit (command: Commands.Command): void
  /** Queues an internal event; it is handled before the step returns. */
  raise (event: Events.InternalEvent): void
  /** Adds a decision to the journal. */
  record (entry: Omit<Entries.Entry, 'at'>): void
  /** A new id that is unique on this node incarnation. */
  freshId (): string
}

export abstract class Controller {
  /** Handles one event. Controllers ignore events that do not concern them. */
  abstract react (event: Events.Event, turn: Turn): void
}
