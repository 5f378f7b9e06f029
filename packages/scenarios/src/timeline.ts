/** Virtual time: callbacks in order of time, then of scheduling. */
import * as Decisions from '@jasminedale/decisions'

interface Appointment { readonly time: number, readonly order: number, readonly run: () => void }

function before (left: Appointment, right: Appointment): boolean {
  return left.time < right.time || (left.time === right.time && left.order < right.order)
}

/** A binary heap of appointments. */
export class Timeline {
  private readonly heap: Appointment[] = []
  private order = 0
  private current = 0

  /** Start of virtual time in ms since the epoch, so that keys with a time look as in production. */
  constructor (private readonly epoch: number) {}

  /** Milliseconds since the start of the scenario. */
  elapsed (): number {
    return this.current
  }

  now (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(this.epoch + Math.round(this.current))
  }

  after (delay: number, run: () => void): void {
    this.order += 1
    this.push({ time: this.current + Math.max(0, delay), order: this.order, run })
  }

  at (time: number, run: () => void): void {
    this.after(time - this.current, run)
  }

  /** Runs everything that is due until `end`. */
  run (end: number): void {
    for (let next = this.heap[0]; next !== undefined && next.time <= end; next = this.heap[0]) {
      this.pop()
      this.current = next.time
      next.run()
    }
    this.current = end
  }

  private push (appointment: Appointment): void {
    let index = this.heap.push(appointment) - 1
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
      const child = right < this.heap.length && before(this.item(right), this.item(left)) ? right : left
      if (child >= this.heap.length || !this.swapIfBefore(child, index)) return
      index = child
    }
  }

  private swapIfBefore (child: number, parent: number): boolean {
    const [lower, upper] = [this.item(child), this.item(parent)]
    if (!before(lower, upper)) return false
    this.heap[child] = upper
    this.heap[parent] = lower
    return true
  }

  private item (index: number): Appointment {
    const found = this.heap[index]
    if (found === undefined) throw new RangeError(`no appointment at ${index}`)
    return found
  }
}
