/** Binary min-heap: `peek` and `pop` return an item with the smallest sort key. */
export class MinHeap<Item> {
  private readonly items: Item[] = []

  constructor (private readonly sortKey: (item: Item) => number) {}

  peek (): Item | undefined {
    return this.items[0]
  }

  push (item: Item): void {
    let index = this.items.push(item) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.swapIfSmaller(index, parent)) return
      index = parent
    }
  }

  pop (): Item | undefined {
    const top = this.items[0]
    const last = this.items.pop()
    if (last === undefined || this.items.length === 0) return top
    this.items[0] = last
    this.siftDown()
    return top
  }

  private siftDown (): void {
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      const right = left + 1
      const child = right < this.items.length && this.sortKeyAt(right) < this.sortKeyAt(left) ? right : left
      if (child >= this.items.length || !this.swapIfSmaller(child, index)) return
      index = child
    }
  }

  private sortKeyAt (index: number): number {
    const item = this.items[index]
    return item === undefined ? Infinity : this.sortKey(item)
  }

  private swapIfSmaller (lower: number, upper: number): boolean {
    const [below, above] = [this.items[lower], this.items[upper]]
    if (below === undefined || above === undefined || this.sortKey(below) >= this.sortKey(above)) return false
    this.items[lower] = above
    this.items[upper] = below
    return true
  }
}
