/** Fake backend server with slots, random service times and injectable faults. */
import * as Decisions from '@jasminedale/decisions'
import type * as RandomGenerators from './random-generator.js'
import type * as Scripts from './script.js'
import type * as Timelines from './timeline.js'

/** A request as received by the backend server. */
export interface ServerRequest {
  readonly service: string
  readonly payload: Payload
  /** When the connection was opened; only the fault `silent-connections` uses it. */
  readonly openedAt: number
}

/** Content of a request. A response body repeats the id, so that expectations can match answers to requests. */
export interface Payload { readonly id: string, readonly poison: boolean }

export interface Execution { readonly id: string, readonly server: string, readonly at: number }

export interface ResponseListener {
  head (status: number, shed: boolean, serviceTime: number): void
  /** `body` is the id of the request that ran, or undefined if the connection broke. */
  end (body: string | undefined): void
}

const RESTART_MS = 3_000
const ANNOUNCE_MS = 1_000
const PROBE_MS = 25
const BODY_MS = 1
const SHED_MS = 1

/** The parts of the fleet that a fake backend server uses. */
export interface ServerEnvironment {
  readonly timeline: Timelines.Timeline
  readonly random: RandomGenerators.RandomGenerator
  /** Counts one execution of a request. */
  readonly countExecution: (id: string) => void
  /** Sends an event to the node on the same VM. */
  readonly notifyNode: (event: Decisions.Events.ExternalEvent) => void
}

export class FakeServer {
  readonly executions: Execution[] = []
  fault: Scripts.Fault = { kind: 'healthy' }
  crashes = 0
  private readonly running = new Set<ResponseListener>()
  private faultSince = 0
  private incarnation = 1
  private isUp = true
  private isLeaving = false

  constructor (readonly name: string, private readonly statement: Scripts.ServiceStatement, private readonly environment: ServerEnvironment) {
    environment.timeline.after(environment.random.fraction() * ANNOUNCE_MS, () => { this.announce() })
  }

  inject (fault: Scripts.Fault): void {
    if (fault.kind === 'crash') {
      this.crash()
      return
    }
    if (fault.kind === 'leave') {
      this.isLeaving = true
      this.environment.notifyNode({ kind: 'target-leaving', target: this.target() })
    }
    this.fault = fault
    this.faultSince = this.environment.timeline.elapsed()
  }

  get service (): string {
    return this.statement.name
  }

  /** Runs one request. Returns false when the connection is refused. */
  run (request: ServerRequest, listener: ResponseListener): boolean {
    if (!this.isUp) return false
    if (this.fault.kind === 'silent-connections' && request.openedAt < this.faultSince) return true
    if (this.fault.kind === 'shed') {
      this.environment.timeline.after(SHED_MS, () => { this.finish(listener, 503, true, SHED_MS, request.payload.id) })
      this.running.add(listener)
      return true
    }
    this.environment.countExecution(request.payload.id)
    this.executions.push({ id: request.payload.id, server: this.name, at: this.environment.timeline.elapsed() })
    this.running.add(listener)
    if (request.payload.poison) this.environment.timeline.after(this.serviceTime() / 2, () => { this.crash() })
    else if (this.fault.kind !== 'hang') this.respond(request, listener)
    return true
  }

  /** Abandons a request whose connection was closed. */
  cancel (listener: ResponseListener): void {
    this.running.delete(listener)
  }

  probe (reply: (healthy: boolean, elapsed: number) => void): void {
    this.environment.timeline.after(PROBE_MS, () => { reply(this.isUp && this.fault.kind !== 'fails-probes', PROBE_MS) })
  }

  private respond (request: ServerRequest, listener: ResponseListener): void {
    const failed = this.fault.kind === 'errors' && this.environment.random.fraction() < this.fault.fraction
    const time = this.serviceTime()
    this.environment.timeline.after(time, () => { this.finish(listener, failed ? 500 : 200, false, time, request.payload.id) })
  }

  private finish (listener: ResponseListener, status: number, shed: boolean, time: number, body: string): void {
    if (!this.running.has(listener)) return
    listener.head(status, shed, time)
    const truncated = this.fault.kind === 'truncate'
    this.environment.timeline.after(BODY_MS, () => {
      if (this.running.delete(listener)) listener.end(truncated ? undefined : body)
    })
  }

  private serviceTime (): number {
    const factor = this.fault.kind === 'slow' ? this.fault.factor : 1
    const queueing = Math.max(1, this.running.size / this.statement.slots)
    return this.statement.time * factor * queueing * Math.exp(this.statement.deviation * this.environment.random.normal())
  }

  private crash (): void {
    if (!this.isUp) return
    this.isUp = false
    this.crashes += 1
    this.environment.notifyNode({ kind: 'target-gone', target: this.target(), crashed: true })
    const interrupted = [...this.running]
    this.running.clear()
    for (const listener of interrupted) listener.end(undefined)
    this.environment.timeline.after(RESTART_MS, () => {
      this.isUp = true
      this.incarnation += 1
    })
  }

  private announce (): void {
    if (this.isUp && !this.isLeaving) {
      this.environment.notifyNode({
        kind: 'target-announced',
        target: this.target(),
        service: Decisions.Ids.service(this.statement.name),
        address: Decisions.Ids.endpoint(`server:${this.name}`),
        slots: this.statement.slots,
        incarnation: Decisions.Ids.incarnation(this.incarnation),
        load: Math.min(1, this.running.size / this.statement.slots)
      })
    }
    this.environment.timeline.after(ANNOUNCE_MS, () => { this.announce() })
  }

  private target (): Decisions.Ids.TargetId {
    return Decisions.Ids.targetId(this.name)
  }
}
