/** Fake caller: generates open-loop load, resends under the same key and records every answer. */
import * as Decisions from '@jasminedale/decisions'
import type * as FakeNodes from './fake-node.js'
import type * as FakeServers from './fake-server.js'
import type * as Networks from './network.js'
import type * as RandomGenerators from './random-generator.js'
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

/** One request of a caller, with all its sends. */
export interface CallerRequest {
  readonly id: string
  readonly service: string
  readonly keyed: boolean
  readonly idempotent: boolean
  readonly poison: boolean
  readonly createdAt: number
  sends: number
  readonly answers: Answer[]
}

/** The parts of the fleet that a caller uses. */
export interface CallerEnvironment {
  readonly timeline: Timelines.Timeline
  readonly network: Networks.Network
  readonly random: RandomGenerators.RandomGenerator
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
  readonly requests: CallerRequest[] = []
  private readonly options: Options
  private nextPoison: number

  constructor (readonly statement: Scripts.CallerStatement, private readonly environment: CallerEnvironment) {
    this.options = optionsOf(statement)
    this.nextPoison = this.options.poisonEvery === 0 ? Infinity : this.options.start + this.options.poisonEvery
    environment.timeline.at(this.options.start, () => { this.scheduleNext() })
  }

  private scheduleNext (): void {
    const { timeline, random } = this.environment
    timeline.after(random.interarrivalTime(this.statement.rate), () => {
      if (timeline.elapsed() >= this.options.stop) return
      this.create()
      this.scheduleNext()
    })
  }

  private create (): void {
    const createdAt = this.environment.timeline.elapsed()
    const poison = createdAt >= this.nextPoison
    if (poison) this.nextPoison += this.options.poisonEvery
    const request: CallerRequest = {
      id: `${this.environment.timeline.now()}-${this.statement.name}-${this.requests.length}`,
      service: this.statement.service,
      keyed: this.options.keyed,
      idempotent: IDEMPOTENT_METHODS.has(this.statement.method),
      poison,
      createdAt,
      sends: 0,
      answers: []
    }
    this.requests.push(request)
    this.send(request)
  }

  /** A resend goes through another node than the previous send, as callers are required to do. */
  private send (request: CallerRequest, previous?: FakeNodes.FakeNode): void {
    request.sends += 1
    const nodes = this.environment.nodesIn(this.statement.region)
    const others = nodes.filter(candidate => candidate !== previous)
    const node = this.environment.random.pick(others.length > 0 ? others : nodes)
    let isOpen = true
    const settle = (answer: Omit<Answer, 'at' | 'executions'>): void => {
      if (!isOpen) return
      isOpen = false
      request.answers.push({ ...answer, at: this.environment.timeline.elapsed(), executions: this.environment.executionsOf(request.id) })
      if (answer.kind !== 'complete' && request.sends <= this.options.resends) {
        this.environment.timeline.after(this.options.pause, () => { this.send(request, node) })
      }
    }
    this.environment.timeline.after(this.options.deadline + 2 * this.environment.network.clientDelay(), () => { settle({ kind: 'none' }) })
    if (node === undefined) return
    this.environment.timeline.after(this.environment.network.clientDelay(), () => {
      if (node.state === 'down') settle({ kind: 'not-run' })
      else node.receive({ arrival: this.arrival(request), payload: this.payload(request) }, this.responder(settle))
    })
  }

  private responder (settle: (answer: Omit<Answer, 'at' | 'executions'>) => void): FakeNodes.Responder {
    const afterClientDelay = (run: () => void): void => { this.environment.timeline.after(this.environment.network.clientDelay(), run) }
    let responseStatus = 0
    return {
      head: status => { responseStatus = status },
      end: body => {
        const status = responseStatus
        afterClientDelay(() => { settle(body === undefined ? { kind: 'truncated' } : { kind: 'complete', status, body }) })
      },
      refuse: refusal => { afterClientDelay(() => { settle({ kind: refusal.outcome, refusal: refusal.kind }) }) },
      replay: (status, body) => { afterClientDelay(() => { settle({ kind: 'complete', status, ...(body === undefined ? {} : { body }) }) }) },
      reset: () => { afterClientDelay(() => { settle({ kind: 'truncated' }) }) }
    }
  }

  private payload (request: CallerRequest): FakeServers.Payload {
    return { id: request.id, poison: request.poison }
  }

  private arrival (request: CallerRequest): FakeNodes.Submission['arrival'] {
    const { method, path, service } = this.statement
    const content = request.idempotent && !request.poison ? '' : request.id
    return {
      hop: 'entry',
      service: Decisions.Ids.service(service),
      method,
      path,
      signature: Decisions.Ids.signature(Decisions.Rendezvous.digest(`${service} ${method} ${path} ${content}`)),
      replayable: true,
      remaining: Decisions.Clock.milliseconds(this.options.deadline),
      earlierAttempts: 0,
      ...(request.keyed ? { key: Decisions.Ids.idempotencyKey(request.id) } : {})
    }
  }
}
