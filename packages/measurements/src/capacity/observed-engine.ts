/** One real engine among simulated peers, which send it membership updates and pings and answer its pings. */
import * as Decisions from '@jasminedale/decisions'
import * as Configuration from '@jasminedale/configuration'

const { Ids, Clock } = Decisions
const START_MS = 1_796_083_200_000
const TICK_MS = 100
const TICKS_PER_SECOND = 10
const BATCH_SIZE = 100
const DATA_CENTERS = ['a', 'b', 'c', 'd', 'e', 'f']
const SERVICES = 1_700
const MICROSECONDS_PER_MILLISECOND = 1_000

export interface Usage {
  /** Processor time per virtual second, in microseconds. */
  readonly processor: number
  /** Bytes of control messages sent per virtual second, as JSON. */
  readonly sent: number
}

function name (index: number): Decisions.Ids.NodeId {
  return Ids.nodeId(`node-${index}`)
}

function address (index: number): Decisions.Ids.Endpoint {
  return Ids.endpoint(`10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7400`)
}

function place (index: number): { readonly dataCenter: Decisions.Ids.DataCenter, readonly region: Decisions.Ids.Region } {
  const dataCenter = index % DATA_CENTERS.length
  return { dataCenter: Ids.dataCenter(DATA_CENTERS[dataCenter] ?? 'a'), region: Ids.region(`r${dataCenter >> 1}`) }
}

export class ObservedEngine {
  readonly engine: Decisions.Engines.Engine
  private now = START_MS
  private bytes = 0
  private sequence = 0

  constructor (private readonly nodes: number, private readonly targetsPerNode: number) {
    this.engine = new Decisions.Engines.Engine({
      identity: { node: name(0), address: address(0), ...place(0), incarnation: Ids.incarnation(START_MS), seeds: [] },
      seed: 1,
      parseConfiguration: Configuration.FleetConfigurations.parseConfiguration
    })
    this.engine.board.configuration.isInitialized = true
  }

  /** Sends the engine all peers and their targets, as synchronization does after a start. */
  populate (): void {
    for (let first = 1; first < this.nodes; first += BATCH_SIZE) {
      const indices = Array.from({ length: Math.min(BATCH_SIZE, this.nodes - first) }, (_, offset) => first + offset)
      this.synchronize('members', indices.map(index => this.member(index, START_MS)))
      this.synchronize('targets', indices.map(index => this.targets(index, START_MS)))
    }
  }

  /** Runs for `seconds` of virtual time with `restarts` peer restarts per second and measures the usage. */
  run (seconds: number, restarts: number): Usage {
    this.bytes = 0
    const before = process.cpuUsage()
    let dueRestarts = 0
    for (let tick = 0; tick < seconds * TICKS_PER_SECOND; tick += 1) {
      this.now += TICK_MS
      this.step([{ kind: 'tick' }])
      if (tick % TICKS_PER_SECOND === 0) this.ping()
      for (dueRestarts += restarts / TICKS_PER_SECOND; dueRestarts >= 1; dueRestarts -= 1) this.restart()
    }
    const { user, system } = process.cpuUsage(before)
    return { processor: (user + system) / seconds, sent: this.bytes / seconds }
  }

  step (events: readonly Decisions.Events.ExternalEvent[]): readonly Decisions.Commands.Command[] {
    const commands = this.engine.step(Clock.milliseconds(this.now), events)
    for (const command of commands) if (command.kind === 'send') this.answer(command)
    return commands
  }

  /** Returns the mean elapsed time of `work` over `count` repetitions, in microseconds. */
  static measureTime (count: number, work: (index: number) => void): number {
    const start = process.hrtime.bigint()
    for (let index = 0; index < count; index += 1) work(index)
    return Number(process.hrtime.bigint() - start) / MICROSECONDS_PER_MILLISECOND / count
  }

  private answer (command: Decisions.Commands.Send): void {
    const { message } = command
    this.bytes += JSON.stringify({ jsonrpc: '2.0', method: 'control', params: { from: name(0), message } }).length
    if (message.kind !== 'ping') return
    const header = { address: command.address, incarnation: Ids.incarnation(START_MS), configuration: Ids.version(0) }
    this.receive(command.to, command.address, { kind: 'ack', ...header, sequence: message.sequence, updates: [] })
  }

  private ping (): void {
    const index = 1 + this.sequence % (this.nodes - 1)
    this.sequence += 1
    const header = { address: address(index), incarnation: Ids.incarnation(START_MS), configuration: Ids.version(0) }
    this.receive(name(index), address(index), { kind: 'ping', ...header, sequence: this.sequence, updates: [] })
  }

  private restart (): void {
    this.sequence += 1
    const index = 1 + (this.sequence * 7_919) % (this.nodes - 1)
    this.gossip(1, [this.member(index, this.now)])
    this.gossip(1, [this.targets(index, this.now)])
  }

  private gossip (from: number, updates: readonly Decisions.MembershipMessages.Update[]): void {
    const header = { address: address(from), incarnation: Ids.incarnation(START_MS), configuration: Ids.version(0) }
    this.receive(name(from), address(from), { kind: 'gossip', ...header, updates: [...updates] })
  }

  private synchronize (table: Decisions.MembershipMessages.Table, entries: readonly Decisions.MembershipMessages.Update[]): void {
    const header = { address: address(1), incarnation: Ids.incarnation(START_MS), configuration: Ids.version(0) }
    this.receive(name(1), address(1), { kind: 'sync-entries', ...header, table, entries: [...entries], wanted: [], more: false })
  }

  private receive (from: Decisions.Ids.NodeId, at: Decisions.Ids.Endpoint, message: Decisions.Messages.Message): void {
    this.step([{ kind: 'message-received', from, address: at, message }])
  }

  private member (index: number, incarnation: number): Decisions.MembershipMessages.Update {
    return { kind: 'member', node: name(index), address: address(index), ...place(index), incarnation: Ids.incarnation(incarnation), revision: 0, state: 'alive' }
  }

  private targets (index: number, incarnation: number): Decisions.MembershipMessages.Update {
    const targets = Array.from({ length: this.targetsPerNode }, (_, offset): Decisions.MembershipMessages.TargetChange => {
      const service = Ids.service(`service-${(index * this.targetsPerNode + offset) % SERVICES}`)
      return [offset + 1, Ids.targetId(`target-${index}-${offset}`), service, 4, Ids.incarnation(incarnation), 'serving', 60_000]
    })
    return { kind: 'targets', host: name(index), incarnation: Ids.incarnation(incarnation), complete: this.targetsPerNode, targets }
  }
}
