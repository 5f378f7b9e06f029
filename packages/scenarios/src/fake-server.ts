/** Fake backend server: slots, service times, faults. */
import * as Decisions from '@jasminedale/decisions'
import type * as Randoms from './randomness.js'
import type * as Scripts from './script.js'
import type * as Timelines from './timeline.js'

/** Work as the backend server sees it. */
export interface Work {
  readonly service: string
  readonly payload: Payload
  /** Connection of the dispatch; only `silent-connections` looks at it. */
  readonly openedAt: number
}

/** What the caller put into a request; the checker compares answers with it. */
export interface Payload { readonly id: string, readonly poison: boolean }

export interface Execution { readonly id: string, readonly server: string, readonly at: number }

export interface Listener {
  head (status: number, shed: boolean, serviceTime: number): void
  /** `body` is the id of the request that ran; undefined: the connection broke. */
  end (body: string | undefined): void
}

const RESTART_MS = 3_000
const ANNOUNCE_MS = 1_000
const PROBE_MS = 25
const BODY_MS = 1
const SHED_MS = 1

/** What a fake backend server is connected to. */
export interface Parts {
  readonly timeline: Timelines.Timeline
  readonly random: Randoms.Randomness
  /** Counts one execution of a request. */
  readonly count: (id: string) => void
  /** The node on the same VM. */
  readonly host: (event: Decisions.Events.ExternalEvent) => void
}

export class FakeServer {
  readonly executions: Execution[] = []
  fault: Scripts.Fault = { kind: 'healthy' }
  crashes = 0
  private readonly running = new Set<Listener>()
  private faultSince = 0
  private incarnation = 1
  private up = true
  private leaving = false

  constructor (readonly name: string, private readonly statement: Scripts.ServiceStatement, private readonly parts: Parts) {
    parts.timeline.after(parts.random.fraction() * ANNOUNCE_MS, () => { this.announce() })
  }

  inject (fault: Scripts.Fault): void {
    if (fault.kind === 'crash') {
      this.crash()
      return
    }
    if (fault.kind === 'leave') {
      this.leaving = true
      this.parts.host({ kind: 'target-leaving', target: this.target() })
    }
    this.fault = fault
    this.faultSince = this.parts.timeline.elapsed()
  }

  get service (): string {
    return this.statement.name
  }

  /** Runs one request. Returns false when the connection is refused. */
  run (work: Work, listener: Listener): boolean {
    if (!this.up) return false
    if (this.fault.kind === 'silent-connections' && work.openedAt < this.faultSince) return true
    if (this.fault.kind === 'shed') {
      this.parts.timeline.after(SHED_MS, () => { this.finish(listener, 503, true, SHED_MS, work.payload.id) })
      this.running.add(listener)
      return true
    }
    this.parts.count(work.payload.id)
    this.executions.push({ id: work.payload.id, server: this.name, at: this.parts.timeline.elapsed() })
    this.running.add(listener)
    if (work.payload.poison) this.parts.timeline.after(this.serviceTime() / 2, () => { this.crash() })
    else if (this.fault.kind !== 'hang') this.respond(work, listener)
    return true
  }

  /** Stops working on a request whose connection was closed. */
  cancel (listener: Listener): void {
    this.running.delete(listener)
  }

  probe (reply: (healthy: boolean, elapsed: number) => void): void {
    this.parts.timeline.after(PROBE_MS, () => { reply(this.up && this.fault.kind !== 'fails-probes', PROBE_MS) })
  }

  private respond (work: Work, listener: Listener): void {
    const failed = this.fault.kind === 'errors' && this.parts.random.fraction() < this.fault.fraction
    const time = this.serviceTime()
    this.parts.timeline.after(time, () => { this.finish(listener, failed ? 500 : 200, false, time, work.payload.id) })
  }

  private finish (listener: Listener, status: number, shed: boolean, time: number, body: string): void {
    if (!this.running.has(listener)) return
    listener.head(status, shed, time)
    const truncated = this.fault.kind === 'truncate'
    this.parts.timeline.after(BODY_MS, () => {
      if (this.running.delete(listener)) listener.end(truncated ? undefined : body)
    })
  }

  private serviceTime (): number {
    const factor = this.fault.kind === 'slow' ? this.fault.factor : 1
    const queueing = Math.max(1, this.running.size / this.statement.slots)
    return this.statement.time * factor * queueing * Math.exp(this.statement.deviation * this.parts.random.normal())
  }

  private crash (): void {
    if (!this.up) return
    this.up = false
    this.crashes += 1
    this.parts.host({ kind: 'target-gone', target: this.target(), crashed: true })
    const lost = [...this.running]
    this.running.clear()
    for (const listener of lost) listener.end(undefined)
    this.parts.timeline.after(RESTART_MS, () => {
      this.up = true
      this.incarnation += 1
    })
  }

  private announce (): void {
    if (this.up && !this.leaving) {
      this.parts.host({
        kind: 'target-announced',
        target: this.target(),
        service: Decisions.Ids.service(this.statement.name),
        address: Decisions.Ids.endpoint(`server:${this.name}`),
        slots: this.statement.slots,
        incarnation: Decisions.Ids.incarnation(this.incarnation),
        load: Math.min(1, this.running.size / this.statement.slots)
      })
    }
    this.parts.timeline.after(ANNOUNCE_MS, () => { this.announce() })
  }

  private target (): Decisions.Ids.TargetId {
    return Decisions.Ids.targetId(this.name)
  }
}
