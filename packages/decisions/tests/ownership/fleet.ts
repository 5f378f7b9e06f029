/** A fleet on an in-memory network and log, with every fault that the tests need. Virtual time only. */
import type * as Clock from '../../src/core/clock.js'
import type * as Commands from '../../src/core/command.js'
import type * as Events from '../../src/core/event.js'
import * as Ids from '../../src/core/ids.js'
import * as Messages from '../../src/core/message.js'
import * as Rendezvous from '../../src/core/rendezvous.js'
import * as Random from '../../src/core/random.js'
import type * as Refusals from '../../src/core/refusal.js'
import * as IdempotencyTables from '../../src/ownership/idempotency-table.js'
import type * as OwnershipRules from '../../src/ownership/ownership-rules.js'
import * as Nodes from './node.js'

export const START = 1_700_000_000_000
const DETECTION = 3_000
const ROSTER_NEWS: ReadonlySet<string> = new Set(['roster-changes', 'roster-state'])

export interface FleetOptions {
  /** Region and data center of each node, as `REGION/DATACENTER`. */
  readonly places: readonly string[]
  readonly seed?: number
  readonly rules?: OwnershipRules.OwnershipRules
  readonly ledger?: () => IdempotencyTables.IdempotencyTable
  readonly refusedShare?: number
  /** Share of the dispatched requests that complete; the others lose their connection. */
  readonly completionRate?: number
  /** Whether membership follows crashes by itself; otherwise the test sets what nodes see. */
  readonly detects?: boolean
  /** All nodes share one view of the members, to save memory in large fleets. */
  readonly sharesViews?: boolean
}

interface Slot {
  node: Nodes.Node
  up: boolean
  pausedUntil: number
  clockOffset: number
  /** Commands and events held back while the process is paused. */
  held: (() => void)[]
  downSince: number
}

interface Call { readonly caller: number, readonly request: Ids.RequestId, readonly attempt: Ids.AttemptId }
export type Answer = { readonly kind: 'complete' } | { readonly kind: 'refused', readonly refusal: Refusals.Refusal }

export class Fleet {
  now = START
  tickInterval = 100
  retention = 86_400_000
  readonly slots: Slot[]
  readonly log: Events.LogRecord[] = []
  logUp = true
  /** What happens to the next append: its reply is lost, or it lands late as well. */
  appendFault: 'none' | 'reply-lost' | 'late' = 'none'
  loss = 0
  duplication = 0
  spread = 0
  readonly cuts = new Set<string>()
  /** Nodes that lose all messages with new rosters. */
  readonly deaf = new Set<number>()
  readonly dispatches = new Map<string, number>()
  readonly answers: { readonly key: string, readonly at: number, readonly answer: Answer }[] = []
  /** Dispatched requests run until the test ends them. */
  keepsRequestsRunning = false
  readonly sent = { messages: 0, bytes: 0, appends: 0 }
  private readonly random: Random.Random
  private readonly calls = new Map<Ids.RequestId, Call>()
  private readonly keys = new Map<Ids.RequestId, { readonly text: string, readonly entry: boolean }>()
  private events: { at: number, order: number, run: () => void }[] = []
  private readonly running: { readonly index: number, readonly command: Commands.Dispatch }[] = []
  private requests = 0
  private order = 0

  constructor (private readonly options: FleetOptions) {
    this.random = new Random.Random(options.seed ?? 1)
    this.slots = options.places.map((_, index) => ({ node: this.create(index, START), up: true, pausedUntil: 0, clockOffset: 0, held: [], downSince: Infinity }))
    this.see()
  }

  private create (index: number, incarnation: number): Nodes.Node {
    const [region = '', dataCenter = ''] = (this.options.places[index] ?? '').split('/')
    const node = new Nodes.Node({
      node: Ids.nodeId(`n${index}`),
      address: Ids.endpoint(`127.0.0.1:${index}`),
      dataCenter: Ids.dataCenter(dataCenter),
      region: Ids.region(region),
      incarnation: Ids.incarnation(incarnation),
      seeds: []
    }, { ...this.options, seed: Rendezvous.hash(`${this.options.seed ?? 1} ${index} ${incarnation}`) })
    if (this.options.ledger !== undefined) node.board.keys.idempotencyTable = this.options.ledger()
    return node
  }

  slot (index: number): Slot {
    const slot = this.slots[index % this.slots.length]
    if (slot === undefined) throw new RangeError('no such node')
    return slot
  }

  /** Sets what `viewer` knows of `subject`. */
  view (viewer: number, subject: number, state: 'alive' | 'dead' | 'left'): void {
    const { identity } = this.slot(subject).node
    const { members } = this.slot(viewer).node.board
    members.generation += 1
    members.byNode.set(identity.node, {
      ...identity, state, stateSince: this.now as Clock.Milliseconds, configuration: Ids.version(0)
    })
  }

  private see (): void {
    if (this.options.sharesViews === true) {
      const { byNode } = this.slot(0).node.board.members
      for (const { node } of this.slots) Object.assign(node.board.members, { byNode })
      for (const subject of this.slots.keys()) this.view(0, subject, 'alive')
      return
    }
    for (const viewer of this.slots.keys()) for (const subject of this.slots.keys()) this.view(viewer, subject, 'alive')
  }

  crash (index: number): void {
    const slot = this.slot(index)
    slot.up = false
    slot.held = []
    slot.downSince = this.now
  }

  restart (index: number): void {
    const slot = this.slot(index)
    slot.node = this.create(index, Math.max(this.now, Number(slot.node.identity.incarnation) + 1))
    Object.assign(slot, { up: true, pausedUntil: 0, held: [], downSince: Infinity })
    for (const other of this.slots.keys()) {
      this.view(index, other, 'alive')
      if (this.options.detects !== false) this.view(other, index, 'alive')
    }
  }

  drain (index: number): void {
    this.deliver(index, { kind: 'drain-requested' })
  }

  /** Runs something on a node now, or when its pause ends. */
  private on (index: number, work: () => void): void {
    const slot = this.slot(index)
    if (slot.pausedUntil > this.now) slot.held.push(work)
    else work()
  }

  private deliver (index: number, event: Events.ExternalEvent): void {
    const { node } = this.slot(index)
    this.on(index, () => {
      const slot = this.slot(index)
      if (!slot.up || slot.node !== node) return
      // A pause may fall between a decision and its execution.
      for (const command of node.step(this.now + slot.clockOffset, event)) {
        this.on(index, () => { if (this.slot(index).node === node && this.slot(index).up) this.execute(index, command) })
      }
    })
  }

  later (delay: number, run: () => void): void {
    this.events.push({ at: this.now + delay, order: this.order++, run })
  }

  advance (duration: number): void {
    const end = this.now + duration
    while (this.now < end) {
      this.now = Math.min(end, this.now + this.tickInterval)
      const due = this.events.filter(event => event.at <= this.now).sort((left, right) => left.at - right.at || left.order - right.order)
      this.events = this.events.filter(event => event.at > this.now)
      for (const event of due) event.run()
      for (const [index, slot] of this.slots.entries()) this.tick(index, slot)
    }
  }

  private tick (index: number, slot: Slot): void {
    if (this.options.detects !== false && slot.downSince <= this.now - DETECTION) {
      slot.downSince = Infinity
      for (const viewer of this.slots.keys()) this.view(viewer, index, 'dead')
    }
    if (!slot.up || slot.pausedUntil > this.now) return
    const held = slot.held.splice(0)
    for (const work of held) work()
    this.deliver(index, { kind: 'tick' })
  }

  /** Ends the running requests of a node's backend server; at a crash it comes back with a new incarnation. */
  endRunningRequests (index: number, crashes: boolean): void {
    const target = Nodes.targetOf(this.slot(index).node.identity.node)
    for (const { command } of this.running.filter(run => run.index === index)) {
      this.finish(index, command, crashes ? { kind: 'disconnected', responseStarted: false } : { kind: 'complete', status: 200, bytes: 0 })
    }
    this.running.splice(0, this.running.length, ...this.running.filter(run => run.index !== index))
    if (!crashes) return
    this.deliver(index, { kind: 'target-gone', target, crashed: true })
    this.announceTarget(index)
  }

  announceTarget (index: number): void {
    const { identity } = this.slot(index).node
    const incarnation = Ids.incarnation(this.now)
    this.deliver(index, { kind: 'target-announced', target: Nodes.targetOf(identity.node), service: Ids.service('orders'), address: identity.address, slots: 4, incarnation })
  }

  /** Sends a request through a node, keyed unless the key is empty. Content may differ, to test mismatches. */
  send (entry: number, key: string, content = 'content'): void {
    const request = Ids.requestId(`r${this.requests++}`)
    this.keys.set(request, { text: key, entry: true })
    this.deliver(entry, this.arrival(request, 'entry', key, content))
  }

  private arrival (request: Ids.RequestId, hop: Events.Hop, key: string, content: string): Events.RequestArrived {
    return {
      kind: 'request-arrived', request, hop, service: Ids.service('orders'), method: 'POST', path: '/', ...(key === '' ? {} : { key: Ids.idempotencyKey(key) }),
      signature: Ids.signature(content), replayable: true, earlierAttempts: 0
    }
  }

  private execute (index: number, command: Commands.Command): void {
    switch (command.kind) {
      case 'send': this.transmit(index, command); break
      case 'forward': this.forward(index, command); break
      case 'dispatch': this.dispatch(index, command); break
      case 'refuse': this.end(index, command.request, { kind: 'refused', refusal: command.refusal }); break
      case 'replay': this.end(index, command.request, { kind: 'complete' }); break
      case 'read-log': this.read(index, command.from); break
      case 'append-log': this.append(index, command); break
      default: break
    }
  }

  private isCut (from: number, to: number): boolean {
    return this.cuts.has(`${from}>${to}`) || this.random.fraction() < this.loss
  }

  private delay (): number {
    return 1 + this.random.fraction() * this.spread
  }

  private transmit (from: number, command: Commands.Send): void {
    const to = this.slots.findIndex(slot => slot.node.identity.node === command.to)
    this.sent.messages += 1
    this.sent.bytes += JSON.stringify(command.message).length
    Messages.messageSchema.parse(command.message)
    const copies = this.random.fraction() < this.duplication ? 2 : 1
    const { node, address } = this.slot(from).node.identity
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.isCut(from, to) || (this.deaf.has(to) && ROSTER_NEWS.has(command.message.kind))) continue
      // The message is copied, because a node must not share objects with another one.
      const message = structuredClone(command.message)
      this.later(this.delay(), () => { this.deliver(to, { kind: 'message-received', from: node, address, message }) })
    }
  }

  private forward (from: number, command: Commands.Forward): void {
    const to = this.slots.findIndex(slot => slot.node.identity.node === command.node)
    const arrival = this.slot(from).node.board.requests.get(command.request)?.arrival
    const key = this.keys.get(command.request)
    const fail = (kind: 'unreachable' | 'disconnected', delay: number): void => {
      this.later(delay, () => { this.finish(from, command, kind === 'unreachable' ? { kind } : { kind, responseStarted: false }) })
    }
    if (key === undefined || arrival === undefined) return
    if (!this.slot(to).up || this.cuts.has(`${to}>${from}`) || this.isCut(from, to)) {
      fail('unreachable', 10)
      return
    }
    const request = Ids.requestId(`r${this.requests++}`)
    this.keys.set(request, { text: key.text, entry: false })
    this.calls.set(request, { caller: from, request: command.request, attempt: command.attempt })
    this.later(this.delay(), () => { this.deliver(to, this.arrival(request, 'owner', key.text, arrival.signature)) })
    fail('disconnected', 11_000)
  }

  private finish (index: number, { request, attempt }: { readonly request: Ids.RequestId, readonly attempt: Ids.AttemptId }, end: Events.AttemptEnd): void {
    const elapsed = 1 as Clock.Milliseconds
    if (end.kind === 'complete') this.deliver(index, { kind: 'attempt-responded', request, attempt, status: 200, shed: false, serviceTime: elapsed })
    this.deliver(index, { kind: 'attempt-finished', request, attempt, end, elapsed })
    if (end.kind === 'complete') this.end(index, request, { kind: 'complete' })
  }

  private dispatch (index: number, command: Commands.Dispatch): void {
    const key = this.keys.get(command.request)?.text ?? ''
    this.dispatches.set(key, (this.dispatches.get(key) ?? 0) + 1)
    if (this.keepsRequestsRunning) {
      this.running.push({ index, command })
      return
    }
    const end: Events.AttemptEnd = this.random.fraction() < (this.options.completionRate ?? 0.8)
      ? { kind: 'complete', status: 200, bytes: 2, body: 'ok' }
      : { kind: 'disconnected', responseStarted: false }
    this.later(this.delay() * 2, () => { this.finish(index, command, end) })
  }

  /** The answer goes back to the caller, or to the node that forwarded the request. */
  private end (index: number, request: Ids.RequestId, answer: Answer): void {
    const key = this.keys.get(request)
    const call = this.calls.get(request)
    if (key?.entry === true) this.answers.push({ key: key.text, at: this.now, answer })
    if (call === undefined) return
    this.calls.delete(request)
    if (this.isCut(index, call.caller)) return
    this.later(this.delay(), () => {
      this.finish(call.caller, call, answer.kind === 'complete' ? { kind: 'complete', status: 200, bytes: 2, body: 'ok' } : answer)
    })
  }

  private read (index: number, from: number): void {
    const up = this.logUp && !this.cuts.has(`${index}>log`)
    this.later(this.delay(), () => {
      if (!up) {
        this.deliver(index, { kind: 'log-unavailable', stream: 'roster' })
        return
      }
      const start = this.log.findIndex(record => record.appendedAt > this.now - this.retention)
      const records = this.log.filter(record => record.offset >= Math.max(from, start))
      this.deliver(index, { kind: 'log-read', stream: 'roster', records, start: start < 0 ? this.log.length : start, end: this.log.length, logTime: this.now as Clock.Milliseconds, retention: this.retention as Clock.Milliseconds })
    })
  }

  private append (index: number, command: Commands.AppendLog): void {
    const { token, body } = command
    const fault = this.appendFault
    this.appendFault = 'none'
    const finish = (result: Events.AppendFinished['result']): void => {
      this.later(this.delay(), () => { this.deliver(index, { kind: 'append-finished', stream: 'roster', token, result }) })
    }
    if (!this.logUp || this.cuts.has(`${index}>log`)) {
      finish('failed')
      return
    }
    const land = (): void => {
      this.sent.appends += 1
      this.log.push({ offset: this.log.length, appendedAt: this.now as Clock.Milliseconds, body })
    }
    if (fault === 'late') this.later(15_000, land)
    else land()
    finish(fault === 'none' ? 'appended' : 'unknown')
  }
}
