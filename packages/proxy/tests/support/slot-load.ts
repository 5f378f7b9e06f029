/** Requests of several sources at the slots of one host, on virtual time. */
import * as Decisions from '@jasminedale/decisions'
import type * as RequestQueues from '../../src/host/request-queue.js'
import * as RateLimits from '../../src/host/rate-limit.js'
import * as Slots from '../../src/host/slots.js'

export interface Source {
  readonly name: string
  readonly ratePerSecond: number
  readonly serviceTime: number
  readonly isCall?: boolean
  readonly priority?: number
  readonly route?: string
  readonly account?: string
  readonly deadline?: number
  readonly objective?: number
  /** Multiplies the rate at a time in ms. */
  readonly rateAt?: (time: number) => number
}

export interface Served {
  offered: number
  completed: number
  /** Refused when they came. */
  refused: number
  /** Removed from the queue. */
  expired: number
  /** Ended after their deadline. */
  late: number
  /** Milliseconds from arrival to start of those that started. */
  readonly waits: number[]
}

export interface LoadOptions {
  readonly slots: number
  readonly duration: number
  readonly queue: RequestQueues.RequestQueue
  readonly seed?: number
}

interface Event { readonly at: number, readonly run: () => void }

/** Share of the requests offered that completed. */
export function ratio (served: Served | undefined): number {
  return served === undefined ? 0 : served.completed / Math.max(1, served.offered)
}

export class SlotLoad {
  private readonly slots = new Slots.Slots(new RateLimits.RateLimit())
  private readonly random: Decisions.Random.Random
  private readonly events: Event[] = []
  private now = 0
  private mean = 150
  readonly served = new Map<string, Served>()

  constructor (private readonly options: LoadOptions) {
    this.random = new Decisions.Random.Random(options.seed ?? 1)
    this.slots.resize(options.slots)
    this.slots.useQueue(options.queue, this.meanTime, this.time)
  }

  run (sources: readonly Source[]): Map<string, Served> {
    for (const source of sources) {
      this.served.set(source.name, { offered: 0, completed: 0, refused: 0, expired: 0, late: 0, waits: [] })
      this.scheduleArrival(source)
    }
    for (let next = this.takeEvent(); next !== undefined; next = this.takeEvent()) {
      this.now = next.at
      next.run()
    }
    return this.served
  }

  private get time (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(this.now)
  }

  private get meanTime (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(this.mean)
  }

  private takeEvent (): Event | undefined {
    this.events.sort((left, right) => right.at - left.at)
    return this.events.pop()
  }

  private after (delay: number, run: () => void): void {
    this.events.push({ at: this.now + delay, run })
  }

  private scheduleArrival (source: Source): void {
    const rate = source.ratePerSecond * (source.rateAt?.(this.now) ?? 1)
    const delay = -Math.log(1 - this.random.fraction()) * 1_000 / Math.max(rate, 0.001)
    if (this.now + delay > this.options.duration) return
    this.after(delay, () => {
      this.arrive(source)
      this.scheduleArrival(source)
    })
  }

  private arrive (source: Source): void {
    const served = this.served.get(source.name)
    if (served === undefined) return
    served.offered += 1
    const arrivedAt = this.now
    const deadline = Decisions.Clock.milliseconds(arrivedAt + (source.deadline ?? 2_000))
    const start = (): void => {
      served.waits.push(this.now - arrivedAt)
      this.after(source.serviceTime, () => { this.finish(source, served, deadline) })
    }
    const entry = {
      priority: source.priority ?? 1, deadline, objectiveDeadline: Decisions.Clock.milliseconds(arrivedAt + (source.objective ?? 1_000)),
      route: source.route ?? source.name, account: source.account === undefined ? undefined : Decisions.Ids.account(source.account), isCall: source.isCall ?? false,
      cost: source.serviceTime, start, expire: () => { served.expired += 1 }
    }
    if (this.slots.mayStart(this.time)) {
      this.slots.acquire(this.time)
      this.slots.recordStart(entry, this.meanTime, this.time)
      start()
    } else if (this.slots.mayQueue(entry, this.meanTime, this.time)) {
      this.slots.enqueue(entry, this.meanTime, this.time)
    } else {
      served.refused += 1
    }
  }

  private finish (source: Source, served: Served, deadline: number): void {
    if (this.now > deadline) served.late += 1
    else served.completed += 1
    this.mean += 0.2 * (source.serviceTime - this.mean)
    this.slots.release(this.meanTime, this.time)
  }
}
