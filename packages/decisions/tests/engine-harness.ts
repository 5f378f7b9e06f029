/** Test harness for a single engine: the test sets its members, targets, policy and clock. */
import * as Decisions from '@jasminedale/decisions'

const { Clock, Ids } = Decisions
export const SERVICE = Ids.service('accounts')
const START_MS = 1_765_000_000_000

export type Command<Kind extends Decisions.Commands.Command['kind']> = Extract<Decisions.Commands.Command, { readonly kind: Kind }>

export class EngineHarness {
  readonly engine: Decisions.Engines.Engine
  now = START_MS
  private requestCount = 0

  constructor (policy: Partial<Decisions.Policies.Policy> = {}, exceptions: readonly Decisions.Policies.Exception[] = []) {
    const identity = {
      node: Ids.nodeId('self'), address: Ids.endpoint('self:1'), dataCenter: Ids.dataCenter('burnaby-a'), region: Ids.region('lower-mainland'), incarnation: Ids.incarnation(1), seeds: []
    }
    this.engine = new Decisions.Engines.Engine({ identity, seed: 7 })
    const { configuration } = this.engine.board
    configuration.isInitialized = true
    configuration.current = { ...configuration.current, defaults: { ...configuration.current.defaults, ...policy }, exceptions }
  }

  step (...events: readonly Decisions.Events.ExternalEvent[]): readonly Decisions.Commands.Command[] {
    return this.engine.step(Clock.milliseconds(this.now), events)
  }

  /** Advances the clock by `duration` ms and sends a tick. */
  tick (duration = 100): readonly Decisions.Commands.Command[] {
    this.now += duration
    return this.step({ kind: 'tick' })
  }

  /** Adds a target on a node of its own, as if learned by gossip. */
  addRemoteTarget (name: string, region = 'lower-mainland', dataCenter = 'burnaby-a'): void {
    const { members, targets } = this.engine.board
    const place = { dataCenter: Ids.dataCenter(dataCenter), region: Ids.region(region), incarnation: Ids.incarnation(1) }
    const [node, now] = [Ids.nodeId(`host-${name}`), Clock.milliseconds(this.now)]
    members.byNode.set(node, { node, address: Ids.endpoint(`host-${name}:1`), ...place, state: 'alive', stateSince: now, configuration: Ids.version(0) })
    members.generation += 1
    targets.put({ target: Ids.targetId(name), service: SERVICE, host: node, ...place, slots: 4, state: 'serving', announcedAt: Clock.milliseconds(0), load: 0 })
  }

  announceLocalTarget (name: string, slots: number, incarnation = 1): readonly Decisions.Commands.Command[] {
    return this.step({
      kind: 'target-announced', target: Ids.targetId(name), service: SERVICE, address: Ids.endpoint(`${name}:2`), slots, incarnation: Ids.incarnation(incarnation)
    })
  }

  arrival (fields: Partial<Omit<Decisions.Events.RequestArrived, 'kind'>> = {}): Decisions.Events.RequestArrived {
    this.requestCount += 1
    return {
      kind: 'request-arrived', request: Ids.requestId(`r${this.requestCount}`), hop: 'entry', service: SERVICE, method: 'GET', path: '/', signature: Ids.signature(`s${this.requestCount}`), replayable: true, earlierAttempts: 0, ...fields
    }
  }

  respond (to: Command<'forward' | 'dispatch'>, status = 200): readonly Decisions.Commands.Command[] {
    return this.step({ kind: 'attempt-responded', request: to.request, attempt: to.attempt, status, shed: false, serviceTime: Clock.milliseconds(1) })
  }

  finish (to: Command<'forward' | 'dispatch'>, end: Decisions.Events.AttemptEnd = { kind: 'complete', status: 200, bytes: 1_000 }): readonly Decisions.Commands.Command[] {
    return this.step({ kind: 'attempt-finished', request: to.request, attempt: to.attempt, end, elapsed: Clock.milliseconds(1) })
  }
}

/** The commands that concern requests. */
export function requestCommands (commands: readonly Decisions.Commands.Command[]): readonly Decisions.Commands.Command[] {
  const kinds: ReadonlySet<Decisions.Commands.Command['kind']> = new Set(['dispatch', 'forward', 'relay', 'refuse', 'cancel', 'replay'])
  return commands.filter(command => kinds.has(command.kind))
}

/** The only command of this kind; throws if there are none or several. */
export function onlyCommand<Kind extends Decisions.Commands.Command['kind']> (kind: Kind, commands: readonly Decisions.Commands.Command[]): Command<Kind> {
  const found = commands.filter((command): command is Command<Kind> => command.kind === kind)
  const [first] = found
  if (first === undefined || found.length > 1) throw new RangeError(`Expected one ${kind} among ${JSON.stringify(commands)}.`)
  return first
}

export function refusedEnd (kind: Decisions.Refusals.RefusalKind): Decisions.Events.AttemptEnd {
  return { kind: 'refused', refusal: Decisions.Refusals.notRun(kind, 'test') }
}
