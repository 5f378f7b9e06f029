/** Target with a queue in order of arrival, and what its host learns and reports of it. */
import * as Decisions from '@jasminedale/decisions'
import * as Proxy from '@jasminedale/proxy'
import type * as Schedulers from './scheduler.js'

/** Mean service times in ms of the two kinds of requests. */
export const MEAN_TIMES = { short: 200, long: 650 }
/** Standard deviation of the logarithm of the service time. */
export const DEVIATION = 0.3
export const TAIL_SHARE = 0.03
export const TAIL_FACTOR = 7

export interface Work {
  readonly key: Proxy.CostTables.CostKey
  /** Cost that the entry expects. */
  readonly cost: number
  readonly time: number
}

interface Waiting { readonly work: Work, readonly finished: (served: number) => void }

export class CostHost {
  readonly speed = new Proxy.Slowness.Slowness()
  private readonly table = new Proxy.CostTables.CostTable()
  private readonly running = new Proxy.RunningWorks.RunningWork()
  private readonly serviceTime = new Proxy.ServiceTimes.ServiceTime()
  private readonly queue: Waiting[] = []

  constructor (readonly id: Decisions.Ids.TargetId, readonly slowness: number, private readonly slots: number, private readonly scheduler: Schedulers.Scheduler) {}

  run (work: Work, finished: (served: number) => void): void {
    this.queue.push({ work, finished })
    this.startNext()
  }

  report (): Proxy.HostReports.HostReport {
    const queued = this.queue.reduce((sum, { work }) => sum + this.table.expected(work.key, this.now), 0)
    return {
      running: this.running.size, queued: this.queue.length, slots: this.slots, timeUntilProbe: undefined, failures: 0, serviceTime: this.serviceTime.mean, version: Decisions.Ids.version(1),
      work: { slowness: this.speed.ratio, left: this.running.left(this.now) / this.speed.ratio + queued, served: undefined }
    }
  }

  private get now (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(this.scheduler.now)
  }

  private startNext (): void {
    if (this.running.size >= this.slots) return
    const next = this.queue.shift()
    if (next === undefined) return
    const { work, finished } = next
    const run = { startedAt: this.now, cost: this.table.expected(work.key, this.now) * this.speed.ratio }
    this.running.start(run)
    this.scheduler.after(work.time, () => {
      this.running.end(run)
      this.serviceTime.add(Decisions.Clock.milliseconds(work.time))
      this.speed.add(work.time, work.cost)
      this.table.learn(work.key, work.time / this.speed.ratio, this.now)
      finished(work.time)
      this.startNext()
    })
  }
}
