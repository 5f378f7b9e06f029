/** Simulated fleet: engines on a virtual clock, with an in-memory network and log. */
import * as Neverthrow from 'neverthrow'
import * as Decisions from '@jasminedale/decisions'
import * as Random from '../src/core/random.js'

const TICK_MS = 100
const START_MS = 1_765_000_000_000
const LOG_DELAY_MS = 5

export interface FleetOptions {
  readonly dataCenters: Readonly<Record<string, number>>
  readonly regionOf?: (dataCenter: string) => string
  readonly seed?: number
  /** Probability that a message is lost. */
  readonly loss?: number
  /** Serializes every message as JSON and checks it against the schema. */
  readonly validatesMessages?: boolean
}

export interface Node {
  readonly name: string
  readonly dataCenter: string
  engine: Decisions.Engines.Engine
  up: boolean
  /** Bytes of the control messages that the node has sent. */
  bytes: number
  /** Rises with each stop and restart, so that scheduled steps of an earlier run are skipped. */
  generation: number
  /** Service of each target that the node announces once per second. */
  readonly announcedTargets: Map<string, string>
}

interface Job { readonly at: number, readonly order: number, readonly run: () => void }

export const parse: Decisions.ConfigurationParsers.ParseConfiguration = (text, version, publication) => text.startsWith('bad')
  ? Neverthrow.err([{ kind: 'bad-text' }])
  : Neverthrow.ok({ version, publication, defaults: Decisions.DefaultPolicy.DEFAULT_POLICY, exceptions: [] })

export class Fleet {
  now = START_MS
  readonly nodes = new Map<string, Node>()
  readonly log = { records: [] as Decisions.Events.LogRecord[], end: 0, down: false, loseReplies: false, retention: 3_600_000, reads: 0 }
  /** Probability that a message is lost. */
  loss: number
  /** Whether a message from one node to another is dropped. */
  isBlocked: (from: Node, to: Node, channel: 'datagram' | 'stream') => boolean = () => false
  /** Messages of each kind and their bytes as JSON. */
  readonly sent = new Map<string, { count: number, bytes: number }>()
  private readonly jobs: Job[] = []
  private order = 0
  private readonly random: Random.Random
  private readonly byAddress = new Map<string, Node>()

  constructor (private readonly options: FleetOptions) {
    this.random = new Random.Random(options.seed ?? 1)
    this.loss = options.loss ?? 0
    for (const [dataCenter, count] of Object.entries(options.dataCenters)) {
      for (let index = 0; index < count; index += 1) this.add(`${dataCenter}-${index}`, dataCenter)
    }
  }

  add (name: string, dataCenter: string): Node {
    const engine = this.build(name, dataCenter)
    const node: Node = { name, dataCenter, engine, up: true, bytes: 0, generation: 0, announcedTargets: new Map() }
    this.nodes.set(name, node)
    this.byAddress.set(engine.board.identity.address, node)
    this.schedule(this.random.below(TICK_MS), () => { this.tick(node, 0) })
    return node
  }

  node (name: string): Node {
    const node = this.nodes.get(name)
    if (node === undefined) throw new Error(`no node ${name}`)
    return node
  }

  stop (node: Node): void {
    node.up = false
    node.generation += 1
  }

  restart (node: Node): void {
    node.engine = this.build(node.name, node.dataCenter)
    node.up = true
    node.generation += 1
    const { generation } = node
    this.schedule(this.random.below(TICK_MS), () => { this.tick(node, generation) })
  }

  running (): Node[] {
    return [...this.nodes.values()].filter(node => node.up)
  }

  step (node: Node, event: Decisions.Events.ExternalEvent): void {
    for (const command of node.engine.step(Decisions.Clock.milliseconds(this.now), [event])) this.execute(node, command)
  }

  /** Runs for `duration` ms or until the condition holds, and returns the elapsed time in ms. */
  run (duration: number, until?: () => boolean): number {
    const start = this.now
    let checked = start
    while (this.jobs.length > 0 && (this.jobs[0] as Job).at <= start + duration) {
      const job = this.pop()
      this.now = job.at
      job.run()
      if (until === undefined || this.now < checked + TICK_MS / 2) continue
      checked = this.now
      if (until()) return this.now - start
    }
    this.now = start + duration
    return duration
  }

  append (body: unknown): void {
    const appendedAt = Decisions.Clock.milliseconds(this.now)
    this.log.records.push({ offset: this.log.end, appendedAt, body: JSON.stringify(body) })
    this.log.end += 1
  }

  states (observer: Node): Map<string, string> {
    return new Map([...observer.engine.board.members.byNode].map(([name, member]) => [name, member.state]))
  }

  /** Whether every running node considers every running node alive. */
  converged (): boolean {
    const running = this.running()
    return running.every(observer => running.every(other =>
      observer.engine.board.members.get(Decisions.Ids.nodeId(other.name))?.state === 'alive'))
  }

  versions (): number[] {
    return this.running().map(node => node.engine.board.configuration.current.version)
  }

  private build (name: string, dataCenter: string): Decisions.Engines.Engine {
    const region = this.options.regionOf?.(dataCenter) ?? 'r1'
    const first = Object.keys(this.options.dataCenters)[0] ?? ''
    const identity = {
      node: Decisions.Ids.nodeId(name),
      address: Decisions.Ids.endpoint(`${name}:7000`),
      dataCenter: Decisions.Ids.dataCenter(dataCenter),
      region: Decisions.Ids.region(region),
      incarnation: Decisions.Ids.incarnation(this.now),
      seeds: [Decisions.Ids.endpoint(`${first}-0:7000`)]
    }
    return new Decisions.Engines.Engine({ identity, seed: this.random.below(1_000_000_000), parseConfiguration: parse })
  }

  private tick (node: Node, generation: number): void {
    if (!node.up || node.generation !== generation) return
    for (const [target, service] of node.announcedTargets) {
      if (Math.floor(this.now / TICK_MS) % 10 === 0) this.announce(node, target, service)
    }
    this.step(node, { kind: 'tick' })
    this.schedule(TICK_MS, () => { this.tick(node, generation) })
  }

  private announce (node: Node, target: string, service: string): void {
    this.step(node, {
      kind: 'target-announced',
      target: Decisions.Ids.targetId(target),
      service: Decisions.Ids.service(service),
      address: Decisions.Ids.endpoint('127.0.0.1:1'),
      slots: 4,
      incarnation: Decisions.Ids.incarnation(START_MS)
    })
  }

  private execute (node: Node, command: Decisions.Commands.Command): void {
    switch (command.kind) {
      case 'send': this.deliver(node, command); break
      case 'read-log': this.read(node, command); break
      case 'append-log': this.appendFor(node, command); break
      default: break
    }
  }

  private deliver (from: Node, { address, channel, message }: Decisions.Commands.Send): void {
    const envelope = { jsonrpc: '2.0', method: 'control', params: { from: from.name, message } }
    const text = JSON.stringify(envelope)
    if (channel === 'datagram' && text.length > 1_200) throw new Error(`datagram of ${text.length} bytes: ${text}`)
    from.bytes += text.length
    const tally = this.sent.get(message.kind) ?? { count: 0, bytes: 0 }
    this.sent.set(message.kind, { count: tally.count + 1, bytes: tally.bytes + text.length })
    const to = this.byAddress.get(address)
    if (to === undefined || this.random.fraction() < this.loss || this.isBlocked(from, to, channel)) return
    const region = this.options.regionOf
    const delay = region !== undefined && region(from.dataCenter) !== region(to.dataCenter) ? 8 : 1
    const received = this.options.validatesMessages === true ? Decisions.Messages.messageSchema.parse(JSON.parse(JSON.stringify(message))) : message
    const sender = { from: Decisions.Ids.nodeId(from.name), address: from.engine.board.identity.address }
    this.schedule(delay + this.random.below(3), () => {
      if (to.up) this.step(to, { kind: 'message-received', ...sender, message: received })
    })
  }

  private read (node: Node, { stream, from }: Decisions.Commands.ReadLog): void {
    const { generation } = node
    if (stream === 'configuration') this.log.reads += 1
    this.schedule(LOG_DELAY_MS, () => {
      if (node.generation !== generation) return
      const { log } = this
      while (log.records[0] !== undefined && this.now - log.records[0].appendedAt > log.retention) log.records.shift()
      // The simulated log has only the stream `configuration`.
      if (log.down || stream !== 'configuration') {
        this.step(node, { kind: 'log-unavailable', stream })
        return
      }
      const start = log.records[0]?.offset ?? log.end
      const records = log.records.filter(record => record.offset >= from).slice(0, 3)
      const [logTime, retention] = [Decisions.Clock.milliseconds(this.now), Decisions.Clock.milliseconds(log.retention)]
      this.step(node, { kind: 'log-read', stream, records, start, end: log.end, logTime, retention })
    })
  }

  private appendFor (node: Node, { stream, token, body }: Decisions.Commands.AppendLog): void {
    const { loseReplies } = this.log
    const down = this.log.down || stream !== 'configuration'
    if (!down) this.append(JSON.parse(body))
    const result = down ? 'failed' : loseReplies ? 'unknown' : 'appended'
    this.schedule(LOG_DELAY_MS, () => { this.step(node, { kind: 'append-finished', stream, token, result }) })
  }

  private schedule (delay: number, run: () => void): void {
    this.order += 1
    const { jobs } = this
    const job = { at: this.now + delay, order: this.order, run }
    let index = jobs.push(job) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!earlier(job, jobs[parent] as Job)) break
      jobs[index] = jobs[parent] as Job
      index = parent
    }
    jobs[index] = job
  }

  private pop (): Job {
    const { jobs } = this
    const top = jobs[0] as Job
    const last = jobs.pop() as Job
    if (jobs.length === 0) return top
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= jobs.length) break
      if (child + 1 < jobs.length && earlier(jobs[child + 1] as Job, jobs[child] as Job)) child += 1
      if (!earlier(jobs[child] as Job, last)) break
      jobs[index] = jobs[child] as Job
      index = child
    }
    jobs[index] = last
    return top
  }
}

function earlier (left: Job, right: Job): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order)
}
