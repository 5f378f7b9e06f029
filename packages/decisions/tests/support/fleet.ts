/** Simulated fleet of ejection controllers on an in-memory network and a virtual clock. */
import * as Decisions from '@jasminedale/decisions'
import * as Ejections from '../../src/ejection/ejection.js'
import type * as LeaseRules from '../../src/ejection/lease-rules.js'

const { milliseconds } = Decisions.Clock
const TICK_MS = 100
/** Start of the simulated ticks. A node ejects nothing in its first 12 s, so that time is skipped. */
export const SETTLED_MS = 13_000
/** Later than the end of every test, so that the last work of a target always counts as recent. */
const LAST_WORK_MS = 1_000_000
export const SERVICE = Decisions.Ids.service('accounts')

export interface Network {
  /** Probability that a message is lost. */
  readonly loss: number
  /** Probability that a message is duplicated. */
  readonly duplication: number
  /** Upper bound in ms of the delays, which are uniformly distributed. */
  readonly delay: number
}

export interface Options {
  readonly leaseRules?: LeaseRules.LeaseRules
  readonly regions?: number
  readonly floor?: number
}

interface ScheduledTask { readonly at: number, readonly order: number, readonly run: () => void }

export class FleetNode {
  board: Decisions.Blackboards.Blackboard
  pausedUntil = 0
  private controller: Ejections.Ejection
  private issuedIdCount = 0

  constructor (readonly id: Decisions.Ids.NodeId, region: string, private readonly fleet: Fleet, private incarnation = 1) {
    this.board = this.emptyBoard(region)
    this.controller = new Ejections.Ejection(fleet.options.leaseRules)
  }

  /** Loses all state except the tables of members and targets, which gossip restores at once. */
  restart (): void {
    const { members, targets, identity } = this.board
    this.incarnation += 1
    this.board = this.emptyBoard(identity.region)
    for (const [id, member] of members.byNode) this.board.members.byNode.set(id, member)
    for (const target of targets.byId.values()) this.board.targets.put(target)
    this.controller = new Ejections.Ejection(this.fleet.options.leaseRules)
  }

  handle (event: Decisions.Events.Event): void {
    const pending = [event]
    const context: Decisions.Controllers.StepContext = {
      board: this.board,
      now: milliseconds(this.fleet.now),
      random: this.fleet.random,
      emit: command => { if (command.kind === 'send') this.fleet.transmit(this, command) },
      raise: raised => { pending.push(raised) },
      record: entry => { this.board.journal.add({ at: milliseconds(this.fleet.now), ...entry }) },
      freshId: () => `${this.id}.${this.incarnation}.${this.issuedIdCount++}`
    }
    for (let next = pending.shift(); next !== undefined; next = pending.shift()) this.controller.react(next, context)
    this.fleet.onStep?.()
  }

  private emptyBoard (region: string): Decisions.Blackboards.Blackboard {
    const board = new Decisions.Blackboards.Blackboard({
      node: this.id,
      address: Decisions.Ids.endpoint(`${this.id}:1`),
      dataCenter: Decisions.Ids.dataCenter(`${region}-a`),
      region: Decisions.Ids.region(region),
      incarnation: Decisions.Ids.incarnation(this.incarnation),
      seeds: []
    })
    const { defaults } = board.configuration.current
    const capacityFloor = this.fleet.options.floor ?? defaults.capacityFloor
    // Longer than a lease, so that an ejection lasts only as long as its lease is renewed.
    const ejectionHold = Decisions.Clock.minutes(1)
    board.configuration.current = { ...board.configuration.current, defaults: { ...defaults, capacityFloor, ejectionHold } }
    return board
  }
}

export class Fleet {
  now = 0
  readonly nodes: FleetNode[] = []
  readonly targets: Decisions.Ids.TargetId[] = []
  readonly random: Decisions.Random.Random
  /** One-way links, written `FROM>TO`, that drop all messages. */
  readonly blockedLinks = new Set<string>()
  /** Called after each step of a node. */
  onStep: (() => void) | undefined
  private readonly hosts = new Map<Decisions.Ids.TargetId, FleetNode>()
  private readonly due: ScheduledTask[] = []
  private order = 0

  constructor (nodes: number, perNode: number, seed: number, private readonly network: Network, readonly options: Options = {}) {
    this.random = new Decisions.Random.Random(seed)
    for (let index = 0; index < nodes; index++) {
      const node = new FleetNode(Decisions.Ids.nodeId(`n${index}`), `r${index % (options.regions ?? 2)}`, this)
      this.nodes.push(node)
      for (let slot = 0; slot < perNode; slot++) {
        const target = Decisions.Ids.targetId(`t${index}-${slot}`)
        this.targets.push(target)
        this.hosts.set(target, node)
      }
    }
    for (const target of this.targets) this.setEvidence(target, 0)
    for (const node of this.nodes) {
      this.addAllMembers(node)
      node.handle({ kind: 'tick' })
      this.tickLater(node, SETTLED_MS - TICK_MS + this.random.below(TICK_MS))
    }
  }

  hostOf (target: Decisions.Ids.TargetId): FleetNode {
    const node = this.hosts.get(target)
    if (node === undefined) throw new Error(`unknown target ${target}`)
    return node
  }

  /** Sets the evidence of a target as Detection would publish it. */
  setEvidence (target: Decisions.Ids.TargetId, score = 20): void {
    const working = { latency: milliseconds(50), errorRate: 0, samples: 10, lastWork: milliseconds(LAST_WORK_MS) }
    this.hostOf(target).board.evidence.local.set(target, { score, ...working })
  }

  /**
   * Targets that are ejected. Targets of paused hosts are left out: a paused host applies no ejection, and it checks
   * the lease of an earlier one before it handles the first event after the pause.
   */
  ejected (): Decisions.Ids.TargetId[] {
    const working = this.nodes.filter(node => this.now >= node.pausedUntil)
    return working.flatMap(node => [...node.board.ejections.local].filter(([, state]) => state.kind === 'ejected').map(([target]) => target))
  }

  transmit (from: FleetNode, command: Decisions.Commands.Send): void {
    const copies = this.random.fraction() < this.network.duplication ? 2 : 1
    const text = JSON.stringify(command.message)
    const to = this.nodes.find(node => node.id === command.to)
    if (to === undefined) return
    for (let copy = 0; copy < copies; copy++) {
      if (this.random.fraction() < this.network.loss || this.blockedLinks.has(`${from.id}>${to.id}`)) continue
      this.schedule(1 + this.random.fraction() * this.network.delay, () => { this.deliver(from, to, text) })
    }
  }

  schedule (delay: number, run: () => void): void {
    const entry = { at: this.now + delay, order: this.order++, run }
    let low = 0
    let high = this.due.length
    while (low < high) {
      const middle = (low + high) >> 1
      const other = this.due[middle]
      if (other !== undefined && (other.at > entry.at || (other.at === entry.at && other.order > entry.order))) low = middle + 1
      else high = middle
    }
    this.due.splice(low, 0, entry)
  }

  run (until: number): void {
    for (let next = this.due.at(-1); next !== undefined && next.at <= until; next = this.due.at(-1)) {
      this.due.pop()
      this.now = next.at
      next.run()
    }
    this.now = until
  }

  private deliver (from: FleetNode, to: FleetNode, text: string): void {
    if (this.now < to.pausedUntil) {
      this.schedule(to.pausedUntil - this.now, () => { this.deliver(from, to, text) })
      return
    }
    const message = Decisions.Messages.messageSchema.parse(JSON.parse(text))
    to.handle({ kind: 'message-received', from: from.id, address: from.board.identity.address, message })
  }

  private tickLater (node: FleetNode, delay: number): void {
    this.schedule(delay, () => {
      if (this.now < node.pausedUntil) {
        this.tickLater(node, node.pausedUntil - this.now + TICK_MS / 2)
        return
      }
      node.handle({ kind: 'tick' })
      for (const target of node.board.evidence.local.keys()) this.raiseEjectionWanted(node, target)
      this.tickLater(node, TICK_MS)
    })
  }

  private raiseEjectionWanted (node: FleetNode, target: Decisions.Ids.TargetId): void {
    const score = node.board.evidence.local.get(target)?.score ?? 0
    if (score >= 14 && node.board.ejections.stateOf(target).kind === 'in-service') {
      node.handle({ kind: 'ejection-wanted', target, evidence: 'test' })
    }
  }

  /** Adds all nodes and targets to the tables of `node`. */
  private addAllMembers (node: FleetNode): void {
    for (const other of this.nodes) this.addMember(node, other)
  }

  private addMember (node: FleetNode, other: FleetNode): void {
    const { identity } = other.board
    node.board.members.byNode.set(other.id, {
      node: other.id, address: identity.address, dataCenter: identity.dataCenter, region: identity.region,
      incarnation: identity.incarnation, state: 'alive', stateSince: milliseconds(0), configuration: Decisions.Ids.version(0)
    })
    for (const target of this.targets) if (this.hostOf(target) === other) node.board.targets.put(this.record(target, other))
  }

  private record (target: Decisions.Ids.TargetId, host: FleetNode): Parameters<FleetNode['board']['targets']['put']>[0] {
    const { identity } = host.board
    return {
      target, service: SERVICE, host: host.id, dataCenter: identity.dataCenter, region: identity.region,
      slots: 4, incarnation: Decisions.Ids.incarnation(1), state: 'serving', announcedAt: milliseconds(-60_000), load: 0
    }
  }
}
