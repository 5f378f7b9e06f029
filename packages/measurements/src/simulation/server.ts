/** Model of a backend server: slots that are held for a random service time. */
import type * as Agendas from './agenda.js'
import type * as Distributions from './distribution.js'

export interface ServerOptions {
  /** Requests that it works on at full speed. */
  readonly slots: number
  /** Mean service time in ms. */
  readonly serviceTime: number
  /** Standard deviation of the logarithm of the service time. */
  readonly deviation: number
}

/** One request at the server. */
export interface Work {
  readonly id: string
  /** `status` is undefined when the connection broke. */
  readonly finish: (status: number | undefined, elapsed: number) => void
}

export class Server {
  /** Requests that were started, by id, with the number of starts. */
  readonly started = new Map<string, number>()
  startedCount = 0
  errorRate = 0
  slowness = 1
  up = true
  private readonly running = new Set<Work>()

  constructor (
    readonly name: string, readonly options: ServerOptions,
    private readonly agenda: Agendas.Agenda, private readonly distribution: Distributions.Distribution
  ) {}

  get load (): number {
    return this.running.size / this.options.slots
  }

  /** Starts a request; false when the connection is refused. */
  run (work: Work): boolean {
    if (!this.up) return false
    this.startedCount += 1
    this.started.set(work.id, (this.started.get(work.id) ?? 0) + 1)
    this.running.add(work)
    const crowding = Math.max(1, this.running.size / this.options.slots)
    const time = this.distribution.logNormal(this.options.serviceTime, this.options.deviation) * this.slowness * crowding
    const status = this.distribution.fraction() < this.errorRate ? 500 : 200
    this.agenda.after(time, () => { if (this.running.delete(work)) work.finish(status, time) })
    return true
  }

  cancel (work: Work): void {
    this.running.delete(work)
  }

  crash (): void {
    this.up = false
    const lost = [...this.running]
    this.running.clear()
    for (const work of lost) work.finish(undefined, 0)
  }
}
