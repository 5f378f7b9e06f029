/** Queue ordered by priority and then by arrival. */
import * as RequestQueues from './request-queue.js'

export class PriorityQueue extends RequestQueues.RequestQueue {
  private queue: RequestQueues.QueuedRequest[] = []

  get length (): number {
    return this.queue.length
  }

  get work (): number {
    return this.queue.reduce((sum, { cost }) => sum + (cost ?? 0), 0)
  }

  add (entry: RequestQueues.QueuedRequest, pace: RequestQueues.Pace): readonly RequestQueues.QueuedRequest[] {
    const position = this.queue.findIndex(other => other.priority > entry.priority)
    if (position < 0) {
      this.queue.push(entry)
      return []
    }
    this.queue.splice(position, 0, entry)
    const evicted = this.queue.filter((other, ahead) => ahead > position && this.excessBehind(other, ahead, pace) > 0)
    this.queue = this.queue.filter(other => !evicted.includes(other))
    return evicted
  }

  remove (entry: RequestQueues.QueuedRequest): boolean {
    const index = this.queue.indexOf(entry)
    if (index >= 0) this.queue.splice(index, 1)
    return index >= 0
  }

  takeNext (): RequestQueues.QueuedRequest | undefined {
    return this.queue.shift()
  }

  takeHopeless (pace: RequestQueues.Pace): readonly RequestQueues.QueuedRequest[] {
    const [first] = this.queue
    if (first === undefined || pace.now + RequestQueues.costOf(first, pace) <= first.deadline) return []
    return this.queue.splice(0, 1)
  }

  excess (entry: RequestQueues.Applicant, pace: RequestQueues.Pace): number {
    return this.excessBehind(entry, this.queue.filter(other => other.priority <= entry.priority).length, pace)
  }

  recordStart (): void { /* The order does not depend on the work. */ }

  takeAll (): readonly RequestQueues.QueuedRequest[] {
    return this.queue.splice(0)
  }

  private excessBehind (entry: RequestQueues.Applicant, ahead: number, pace: RequestQueues.Pace): number {
    const wait = entry.cost === undefined ? (ahead + 1) * Math.max(pace.untilFree, pace.interval) : RequestQueues.waitBehind(this.workOfFirst(ahead), ahead, pace)
    return pace.now + wait + RequestQueues.costOf(entry, pace) - RequestQueues.latestEnd(entry, ahead, pace)
  }

  private workOfFirst (count: number): number {
    let work = 0
    for (let index = 0; index < count; index += 1) work += this.queue[index]?.cost ?? 0
    return work
  }
}
