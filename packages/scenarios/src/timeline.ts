/** Virtual clock that runs callbacks by time, and by order of scheduling if their times are equal. */
import * as Decisions from '@jasminedale/decisions'

interface ScheduledCallback { readonly time: number, readonly order: number, readonly run: () => void }

function isBefore (left: ScheduledCallback, right: ScheduledCallback): boolean {
  return left.time < right.time || (left.time === right.time && left.order < right.order)
}

/** A binary heap of scheduled callbacks. */
export class Timeline {
  private readonly heap: ScheduledCallback[] = []
  private order = 0
  private currentTime = 0

  /** `epoch` is the start of virtual time in ms since the Unix epoch, so that keys contain realistic times. */
  constructor (private readonly epoch: number) {}

  /** Milliseconds since the start of the scenario. */
  elapsed (): number {
    return this.currentTime
  }

  now (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(this.epoch + Math.round(this.currentTime))
  }

  after (delay: number, run: () => void): void {
    this.order += 1
    this.push({ time: this.currentTime + Math.max(0, delay), order: this.order, run })
  }

  at (time: number, run: () => void): void {
    this.after(time - this.currentTime, run)
  }

  /** Runs everything that is due until `end`. */
  run (end: number): void {
    for (let next = this.heap[0]; next !== undefined && next.time <= end; next = this.heap[0]) {
      this.pop()
      this.currentTime = next.time
      next.run()
    }
    this.currentTime = end
  }

  private push (callback: ScheduledCallback): void {
    let index = this.heap.push(callback) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.swapIfBefore(index, parent)) return
      index = parent
    }
  }

  private pop (): void {
    const last = this.heap.pop()
    if (last === undefined || this.heap.length === 0) return
    this.heap[0] = last
    for (let index = 0; ;) {
      const left = index * 2 + 1
      const right = left + 1
      const child = right < this.heap.length && isBefore(this.item(right), this.item(left)) ? right : left
      if (child >= this.heap.length || !this.swapIfBefore(child, index)) return
      index = child
    }
  }

  private swapIfBefore (child: number, parent: number): boolean {
    const [lower, upper] = [this.item(child), this.item(parent)]
    if (!isBefore(lower, upper)) return false
    this.heap[child] = upper
    this.heap[parent] = lower
    return true
  }

  private item (index: number): ScheduledCallback {
    const found = this.heap[index]
    if (found === undefined) throw new RangeError(`no scheduled callback at heap index ${index}`)
    return found
  }
}
