/** Virtual clock that runs callbacks by time, and by order of scheduling if their times are equal. */

interface ScheduledCallback {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

export class Scheduler {
  /** Virtual time in ms since the start. */
  now = 0
  private readonly heap: ScheduledCallback[] = []
  private lastOrder = 0

  after (delay: number, run: () => void): void {
    this.lastOrder += 1
    this.heap.push({ at: this.now + Math.max(0, delay), order: this.lastOrder, run })
    this.siftUp(this.heap.length - 1)
  }

  /** Runs all callbacks due up to and including `end`. */
  runUntil (end: number): void {
    for (let next = this.heap[0]; next !== undefined && next.at <= end; next = this.heap[0]) {
      this.removeFirst()
      this.now = next.at
      next.run()
    }
    this.now = end
  }

  private removeFirst (): void {
    const last = this.heap.pop()
    if (last === undefined || this.heap.length === 0) return
    this.heap[0] = last
    this.siftDown(0)
  }

  private siftUp (start: number): void {
    for (let index = start; index > 0;) {
      const parent = (index - 1) >> 1
      if (!this.precedes(index, parent)) return
      this.swap(index, parent)
      index = parent
    }
  }

  private siftDown (start: number): void {
    for (let index = start; ;) {
      let smallest = index
      for (const child of [2 * index + 1, 2 * index + 2]) if (child < this.heap.length && this.precedes(child, smallest)) smallest = child
      if (smallest === index) return
      this.swap(index, smallest)
      index = smallest
    }
  }

  private precedes (left: number, right: number): boolean {
    const [first, second] = [this.heap[left], this.heap[right]]
    if (first === undefined || second === undefined) return false
    return first.at < second.at || (first.at === second.at && first.order < second.order)
  }

  private swap (left: number, right: number): void {
    const [first, second] = [this.heap[left], this.heap[right]]
    if (first === undefined || second === undefined) return
    this.heap[left] = second
    this.heap[right] = first
  }
}
