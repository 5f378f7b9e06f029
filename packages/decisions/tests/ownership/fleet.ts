/** A fleet of nodes on a simulated network and log, in virtual time, with the faults that the tests inject. */
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

export const START_TIME = 1_700_000_000_000
/** Time after a crash until the other nodes see the node as dead. */
const DETECTION_DELAY_MS = 3_000
/** Kinds of the messages that contain roster versions. */
const ROSTER_MESSAGES: ReadonlySet<string> = new Set(['roster-changes', 'roster-state'])

export interface FleetOptions {
  /** Region and data center of each node, as `REGION/DATACENTER`. */
  readonly places: readonly string[]
  readonly seed?: number
  readonly rules?: OwnershipRules.OwnershipRules
  /** Creates the idempotency table of each node; the default limits apply without it. */
  readonly createTable?: () => IdempotencyTables.IdempotencyTable
  /** Share of the placed requests that are refused before their dispatch. */
  readonly refusalRate?: number
  /** Share of the dispatched requests that complete; the others lose their connection. */
  readonly completionRate?: number
  /** Whether crashes and restarts change the nodes' views of the members, as by default; otherwise the test sets the views. */
  readonly detectsCrashes?: boolean
  /** Whether all nodes share one view of the members, to save memory in large fleets. */
  readonly sharesMemberView?: boolean
}

interface Slot {
  node: Nodes.Node
  isUp: boolean
  pausedUntil: number
  clockOffset: number
  /** Commands and events that are deferred while the process is paused. */
  deferredWork: (() => void)[]
  downSince: number
}

interface ForwardedCall { readonly caller: number, readonly request: Ids.RequestId, readonly attempt: Ids.AttemptId }
export type Answer = { readonly kind: 'complete' } | { readonly kind: 'refused', readonly refusal: Refusals.Refusal }

export class Fleet {
  now = START_TIME
  /** Milliseconds between two ticks. */
  tickInterval = 100
  /** Time for which the log keeps records, in milliseconds. */
  retention = 86_400_000
  readonly slots: Slot[]
  readonly log: Events.LogRecord[] = []
  isLogUp = true
  /** Fault of the next append: its reply is lost, or its reply is lost and its record is written late. */
  appendFault: 'none' | 'reply-lost' | 'late' = 'none'
  /** Probability that a message is lost. */
  loss = 0
  /** Probability that a message is delivered twice. */
  duplication = 0
  /** Largest random delay of a message, in milliseconds. */
  jitter = 0
  /** Interrupted links: `FROM>TO` with the indexes of nodes, or `FROM>log`. */
  readonly cutLinks = new Set<string>()
  /** Nodes that lose all messages that contain new roster versions. */
  readonly nodesWithoutRosters = new Set<number>()
  /** By key: number of dispatches. */
  readonly dispatchCounts = new Map<string, number>()
  /** Answers to callers, in the order in which they were sent. */
  readonly answers: { readonly key: string, readonly at: number, readonly answer: Answer }[] = []
  /** Whether dispatched requests run until the test ends them. */
  keepsRequestsRunning = false
  readonly sent = { messages: 0, bytes: 0, appends: 0 }
  private readonly random: Random.Random
  private readonly forwardedCalls = new Map<Ids.RequestId, ForwardedCall>()
  private readonly sentKeys = new Map<Ids.RequestId, { readonly text: string, readonly isEntry: boolean }>()
  private events: { at: number, order: number, run: () => void }[] = []
  private readonly runningDispatches: { readonly index: number, readonly command: Commands.Dispatch }[] = []
  private requestCount = 0
  private eventCount = 0

  constructor (private readonly options: FleetOptions) {
    this.random = new Random.Random(options.seed ?? 1)
    this.slots = options.places.map((_, index) => ({ node: this.create(index, START_TIME), isUp: true, pausedUntil: 0, clockOffset: 0, deferredWork: [], downSince: Infinity }))
    this.initializeViews()
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
    if (this.options.createTable !== undefined) node.board.keys.idempotencyTable = this.options.createTable()
    return node
  }

  slot (index: number): Slot {
    const slot = this.slots[index % this.slots.length]
    if (slot === undefined) throw new RangeError('the test fleet has no such node')
    return slot
  }

  /** Sets the state of `subject` in the view of `viewer`. */
  setView (viewer: number, subject: number, state: 'alive' | 'dead' | 'left'): void {
    const { identity } = this.slot(subject).node
    const { members } = this.slot(viewer).node.board
    members.generation += 1
    members.byNode.set(identity.node, {
      ...identity, state, stateSince: this.now as Clock.Milliseconds, configuration: Ids.version(0)
    })
  }

  private initializeViews (): void {
    if (this.options.sharesMemberView === true) {
      const { byNode } = this.slot(0).node.board.members
      for (const { node } of this.slots) Object.assign(node.board.members, { byNode })
      for (const subject of this.slots.keys()) this.setView(0, subject, 'alive')
      return
    }
    for (const viewer of this.slots.keys()) for (const subject of this.slots.keys()) this.setView(viewer, subject, 'alive')
  }

  crash (index: number): void {
    const slot = this.slot(index)
    slot.isUp = false
    slot.deferredWork = []
    slot.downSince = this.now
  }

  restart (index: number): void {
    const slot = this.slot(index)
    slot.node = this.create(index, Math.max(this.now, Number(slot.node.identity.incarnation) + 1))
    Object.assign(slot, { isUp: true, pausedUntil: 0, deferredWork: [], downSince: Infinity })
    for (const other of this.slots.keys()) {
      this.setView(index, other, 'alive')
      if (this.options.detectsCrashes !== false) this.setView(other, index, 'alive')
    }
  }

  drain (index: number): void {
    this.deliver(index, { kind: 'drain-requested' })
  }

  /** Runs work of a node now or, if the node is paused, at the end of the pause. */
  private runOn (index: number, work: () => void): void {
    const slot = this.slot(index)
    if (slot.pausedUntil > this.now) slot.deferredWork.push(work)
    else work()
  }

  private deliver (index: number, event: Events.ExternalEvent): void {
    const { node } = this.slot(index)
    this.runOn(index, () => {
      const slot = this.slot(index)
      if (!slot.isUp || slot.node !== node) return
      // The node may be paused between its decision and the execution of the command.
      for (const command of node.step(this.now + slot.clockOffset, event)) {
        this.runOn(index, () => { if (this.slot(index).node === node && this.slot(index).isUp) this.execute(index, command) })
      }
    })
  }

  schedule (delay: number, run: () => void): void {
    this.events.push({ at: this.now + delay, order: this.eventCount++, run })
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
    if (this.options.detectsCrashes !== false && slot.downSince <= this.now - DETECTION_DELAY_MS) {
      slot.downSince = Infinity
      for (const viewer of this.slots.keys()) this.setView(viewer, index, 'dead')
    }
    if (!slot.isUp || slot.pausedUntil > this.now) return
    const deferredWork = slot.deferredWork.splice(0)
    for (const work of deferredWork) work()
    this.deliver(index, { kind: 'tick' })
  }

  /** Ends the running requests of a node's backend server. After a crash, the server is announced with a new incarnation. */
  endRunningRequests (index: number, withCrash: boolean): void {
    const target = Nodes.targetOf(this.slot(index).node.identity.node)
    for (const { command } of this.runningDispatches.filter(run => run.index === index)) {
      this.finishAttempt(index, command, withCrash ? { kind: 'disconnected', responseStarted: false } : { kind: 'complete', status: 200, bytes: 0 })
    }
    this.runningDispatches.splice(0, this.runningDispatches.length, ...this.runningDispatches.filter(run => run.index !== index))
    if (!withCrash) return
    this.deliver(index, { kind: 'target-gone', target, crashed: true })
    this.announceTarget(index)
  }

  announceTarget (index: number): void {
    const { identity } = this.slot(index).node
    const incarnation = Ids.incarnation(this.now)
    this.deliver(index, { kind: 'target-announced', target: Nodes.targetOf(identity.node), service: Ids.service('orders'), address: identity.address, slots: 4, incarnation })
  }

  /** Sends a request through a node, without a key if `key` is empty. */
  send (entry: number, key: string, content = 'content'): void {
    const request = Ids.requestId(`r${this.requestCount++}`)
    this.sentKeys.set(request, { text: key, isEntry: true })
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
      case 'refuse': this.sendAnswer(index, command.request, { kind: 'refused', refusal: command.refusal }); break
      case 'replay': this.sendAnswer(index, command.request, { kind: 'complete' }); break
      case 'read-log': this.readLog(index, command.from); break
      case 'append-log': this.appendToLog(index, command); break
      default: break
    }
  }

  private isLost (from: number, to: number): boolean {
    return this.cutLinks.has(`${from}>${to}`) || this.random.fraction() < this.loss
  }

  private delay (): number {
    return 1 + this.random.fraction() * this.jitter
  }

  private transmit (from: number, command: Commands.Send): void {
    const to = this.slots.findIndex(slot => slot.node.identity.node === command.to)
    this.sent.messages += 1
    this.sent.bytes += JSON.stringify(command.message).length
    Messages.messageSchema.parse(command.message)
    const copies = this.random.fraction() < this.duplication ? 2 : 1
    const { node, address } = this.slot(from).node.identity
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.isLost(from, to) || (this.nodesWithoutRosters.has(to) && ROSTER_MESSAGES.has(command.message.kind))) continue
      // Copied, because nodes must not share objects.
      const message = structuredClone(command.message)
      this.schedule(this.delay(), () => { this.deliver(to, { kind: 'message-received', from: node, address, message }) })
    }
  }

  private forward (from: number, command: Commands.Forward): void {
    const to = this.slots.findIndex(slot => slot.node.identity.node === command.node)
    const arrival = this.slot(from).node.board.requests.get(command.request)?.arrival
    const key = this.sentKeys.get(command.request)
    const fail = (kind: 'unreachable' | 'disconnected', delay: number): void => {
      this.schedule(delay, () => { this.finishAttempt(from, command, kind === 'unreachable' ? { kind } : { kind, responseStarted: false }) })
    }
    if (key === undefined || arrival === undefined) return
    if (!this.slot(to).isUp || this.cutLinks.has(`${to}>${from}`) || this.isLost(from, to)) {
      fail('unreachable', 10)
      return
    }
    const request = Ids.requestId(`r${this.requestCount++}`)
    this.sentKeys.set(request, { text: key.text, isEntry: false })
    this.forwardedCalls.set(request, { caller: from, request: command.request, attempt: command.attempt })
    this.schedule(this.delay(), () => { this.deliver(to, this.arrival(request, 'owner', key.text, arrival.signature)) })
    fail('disconnected', 11_000)
  }

  private finishAttempt (index: number, { request, attempt }: { readonly request: Ids.RequestId, readonly attempt: Ids.AttemptId }, end: Events.AttemptEnd): void {
    const elapsed = 1 as Clock.Milliseconds
    if (end.kind === 'complete') this.deliver(index, { kind: 'attempt-responded', request, attempt, status: 200, shed: false, serviceTime: elapsed })
    this.deliver(index, { kind: 'attempt-finished', request, attempt, end, elapsed })
    if (end.kind === 'complete') this.sendAnswer(index, request, { kind: 'complete' })
  }

  private dispatch (index: number, command: Commands.Dispatch): void {
    const key = this.sentKeys.get(command.request)?.text ?? ''
    this.dispatchCounts.set(key, (this.dispatchCounts.get(key) ?? 0) + 1)
    if (this.keepsRequestsRunning) {
      this.runningDispatches.push({ index, command })
      return
    }
    const end: Events.AttemptEnd = this.random.fraction() < (this.options.completionRate ?? 0.8)
      ? { kind: 'complete', status: 200, bytes: 2, body: 'ok' }
      : { kind: 'disconnected', responseStarted: false }
    this.schedule(this.delay() * 2, () => { this.finishAttempt(index, command, end) })
  }

  /** Sends an answer to the caller, or to the node that forwarded the request. */
  private sendAnswer (index: number, request: Ids.RequestId, answer: Answer): void {
    const key = this.sentKeys.get(request)
    const call = this.forwardedCalls.get(request)
    if (key?.isEntry === true) this.answers.push({ key: key.text, at: this.now, answer })
    if (call === undefined) return
    this.forwardedCalls.delete(request)
    if (this.isLost(index, call.caller)) return
    this.schedule(this.delay(), () => {
      this.finishAttempt(call.caller, call, answer.kind === 'complete' ? { kind: 'complete', status: 200, bytes: 2, body: 'ok' } : answer)
    })
  }

  private readLog (index: number, from: number): void {
    const isReachable = this.isLogUp && !this.cutLinks.has(`${index}>log`)
    this.schedule(this.delay(), () => {
      if (!isReachable) {
        this.deliver(index, { kind: 'log-unavailable', stream: 'roster' })
        return
      }
      const start = this.log.findIndex(record => record.appendedAt > this.now - this.retention)
      const records = this.log.filter(record => record.offset >= Math.max(from, start))
      this.deliver(index, { kind: 'log-read', stream: 'roster', records, start: start < 0 ? this.log.length : start, end: this.log.length, logTime: this.now as Clock.Milliseconds, retention: this.retention as Clock.Milliseconds })
    })
  }

  private appendToLog (index: number, command: Commands.AppendLog): void {
    const { token, body } = command
    const fault = this.appendFault
    this.appendFault = 'none'
    const finish = (result: Events.AppendFinished['result']): void => {
      this.schedule(this.delay(), () => { this.deliver(index, { kind: 'append-finished', stream: 'roster', token, result }) })
    }
    if (!this.isLogUp || this.cutLinks.has(`${index}>log`)) {
      finish('failed')
      return
    }
    const write = (): void => {
      this.sent.appends += 1
      this.log.push({ offset: this.log.length, appendedAt: this.now as Clock.Milliseconds, body })
    }
    if (fault === 'late') this.schedule(15_000, write)
    else write()
    finish(fault === 'none' ? 'appended' : 'unknown')
  }
}
