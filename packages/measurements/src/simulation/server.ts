/** Modelled backend server: each request occupies a slot for a random service time. */
import type * as Schedulers from './scheduler.js'
import type * as Distributions from './distribution.js'

export interface ServerOptions {
  /** Concurrent requests that run at full speed. */
  readonly slots: number
  /** Mean service time in ms. */
  readonly serviceTime: number
  /** Standard deviation of the logarithm of the service time. */
  readonly deviation: number
}

/** One request at the server. */
export interface ServerRequest {
  readonly id: string
  /** `status` is undefined if the connection broke. */
  readonly finish: (status: number | undefined, elapsed: number) => void
}

export class Server {
  /** Number of starts by request id. */
  readonly started = new Map<string, number>()
  startedCount = 0
  errorRate = 0
  slowness = 1
  isUp = true
  private readonly running = new Set<ServerRequest>()

  constructor (
    readonly name: string, readonly options: ServerOptions,
    private readonly scheduler: Schedulers.Scheduler, private readonly distribution: Distributions.Distribution
  ) {}

  get load (): number {
    return this.running.size / this.options.slots
  }

  /** Starts a request. Returns false if the connection is refused. */
  run (work: ServerRequest): boolean {
    if (!this.isUp) return false
    this.startedCount += 1
    this.started.set(work.id, (this.started.get(work.id) ?? 0) + 1)
    this.running.add(work)
    const overloadFactor = Math.max(1, this.running.size / this.options.slots)
    const time = this.distribution.logNormal(this.options.serviceTime, this.options.deviation) * this.slowness * overloadFactor
    const status = this.distribution.fraction() < this.errorRate ? 500 : 200
    this.scheduler.after(time, () => { if (this.running.delete(work)) work.finish(status, time) })
    return true
  }

  cancel (work: ServerRequest): void {
    this.running.delete(work)
  }

  crash (): void {
    this.isUp = false
    const interrupted = [...this.running]
    this.running.clear()
    for (const work of interrupted) work.finish(undefined, 0)
  }
}
