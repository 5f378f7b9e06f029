/** Fake caller: an open-loop load with resends under the same key, and a record of every answer. */
import * as Decisions from '@jasminedale/decisions'
import type * as FakeNodes from './fake-node.js'
import type * as FakeServers from './fake-server.js'
import type * as Networks from './network.js'
import type * as Randoms from './randomness.js'
import type * as Scripts from './script.js'
import type * as Timelines from './timeline.js'

export interface Answer {
  readonly kind: 'complete' | 'not-run' | 'unknown' | 'truncated' | 'none'
  readonly at: number
  readonly status?: number
  readonly body?: string
  readonly refusal?: Decisions.Refusals.RefusalKind
  /** Executions of the request when the answer arrived. */
  readonly executions: number
}

/** One thing that a caller wants done, over all sends. */
export interface Order {
  readonly id: string
  readonly service: string
  readonly keyed: boolean
  readonly idempotent: boolean
  readonly poison: boolean
  readonly createdAt: number
  sends: number
  readonly answers: Answer[]
}

/** What a caller needs of the fleet. */
export interface Access {
  readonly timeline: Timelines.Timeline
  readonly network: Networks.Network
  readonly random: Randoms.Randomness
  nodesIn (region: string): readonly FakeNodes.FakeNode[]
  executionsOf (id: string): number
}

const DEFAULT_DEADLINE_MS = 5_000
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'PUT', 'DELETE'])

interface Options {
  readonly keyed: boolean
  readonly resends: number
  readonly pause: number
  readonly deadline: number
  readonly start: number
  readonly stop: number
  readonly poisonEvery: number
}

function optionsOf (statement: Scripts.CallerStatement): Options {
  let options: Options = { keyed: false, resends: 0, pause: 0, deadline: DEFAULT_DEADLINE_MS, start: 0, stop: Infinity, poisonEvery: 0 }
  for (const option of statement.options) {
    switch (option.kind) {
      case 'keyed': options = { ...options, keyed: true }; break
      case 'resends': options = { ...options, resends: option.times, pause: option.pause }; break
      case 'deadline': options = { ...options, deadline: option.deadline }; break
      case 'from': options = { ...options, start: option.start }; break
      case 'until': options = { ...options, stop: option.stop }; break
      case 'poison': options = { ...options, poisonEvery: option.interval }; break
    }
  }
  return options
}

export class FakeCaller {
  readonly orders: Order[] = []
  private readonly options: Options
  private nextPoison: number

  constructor (readonly statement: Scripts.CallerStatement, private readonly access: Access) {
    this.options = optionsOf(statement)
    this.nextPoison = this.options.poisonEvery === 0 ? Infinity : this.options.start + this.options.poisonEvery
    access.timeline.at(this.options.start, () => { this.scheduleNext() })
  }

  private scheduleNext (): void {
    const { timeline, random } = this.access
    timeline.after(random.arrival(this.statement.rate), () => {
      if (timeline.elapsed() >= this.options.stop) return
      this.create()
      this.scheduleNext()
    })
  }

  private create (): void {
    const createdAt = this.access.timeline.elapsed()
    const poison = createdAt >= this.nextPoison
    if (poison) this.nextPoison += this.options.poisonEvery
    const order: Order = {
      id: `${this.access.timeline.now()}-${this.statement.name}-${this.orders.length}`,
      service: this.statement.service,
      keyed: this.options.keyed,
      idempotent: IDEMPOTENT_METHODS.has(this.statement.method),
      poison,
      createdAt,
      sends: 0,
      answers: []
    }
    this.orders.push(order)
    this.send(order)
  }

  /** A resend uses another node than the send before it, as the design asks of callers. */
  private send (order: Order, previous?: FakeNodes.FakeNode): void {
    order.sends += 1
    const nodes = this.access.nodesIn(this.statement.region)
    const others = nodes.filter(candidate => candidate !== previous)
    const node = this.access.random.pick(others.length > 0 ? others : nodes)
    let open = true
    const settle = (answer: Omit<Answer, 'at' | 'executions'>): void => {
      if (!open) return
      open = false
      order.answers.push({ ...answer, at: this.access.timeline.elapsed(), executions: this.access.executionsOf(order.id) })
      if (answer.kind !== 'complete' && order.sends <= this.options.resends) {
        this.access.timeline.after(this.options.pause, () => { this.send(order, node) })
      }
    }
    this.access.timeline.after(this.options.deadline + 2 * this.access.network.clientDelay(), () => { settle({ kind: 'none' }) })
    if (node === undefined) return
    this.access.timeline.after(this.access.network.clientDelay(), () => {
      if (node.state === 'down') settle({ kind: 'not-run' })
      else node.receive({ arrival: this.arrival(order), payload: this.payload(order) }, this.responder(settle))
    })
  }

  private responder (settle: (answer: Omit<Answer, 'at' | 'executions'>) => void): FakeNodes.Responder {
    const back = (run: () => void): void => { this.access.timeline.after(this.access.network.clientDelay(), run) }
    let received = 0
    return {
      head: status => { received = status },
      end: body => {
        const status = received
        back(() => { settle(body === undefined ? { kind: 'truncated' } : { kind: 'complete', status, body }) })
      },
      refuse: refusal => { back(() => { settle({ kind: refusal.outcome, refusal: refusal.kind }) }) },
      replay: (status, body) => { back(() => { settle({ kind: 'complete', status, ...(body === undefined ? {} : { body }) }) }) },
      reset: () => { back(() => { settle({ kind: 'truncated' }) }) }
    }
  }

  private payload (order: Order): FakeServers.Payload {
    return { id: order.id, poison: order.poison }
  }

  private arrival (order: Order): FakeNodes.Submission['arrival'] {
    const { method, path, service } = this.statement
    const content = order.idempotent && !order.poison ? '' : order.id
    return {
      hop: 'entry',
      service: Decisions.Ids.service(service),
      method,
      path,
      signature: Decisions.Ids.signature(Decisions.Rendezvous.digest(`${service} ${method} ${path} ${content}`)),
      replayable: true,
      remaining: Decisions.Clock.milliseconds(this.options.deadline),
      earlierAttempts: 0,
      ...(order.keyed ? { key: Decisions.Ids.idempotencyKey(order.id) } : {})
    }
  }
}
