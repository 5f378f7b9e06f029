/** Binary heap with the smallest weight first. */
export class Heap<Item> {
  private readonly items: Item[] = []

  constructor (private readonly weight: (item: Item) => number) {}

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
    this.sink()
    return top
  }

  private sink (): void {
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      const right = left + 1
      const child = right < this.items.length && this.weightAt(right) < this.weightAt(left) ? right : left
      if (child >= this.items.length || !this.swapIfSmaller(child, index)) return
      index = child
    }
  }

  private weightAt (index: number): number {
    const item = this.items[index]
    return item === undefined ? Infinity : this.weight(item)
  }

  private swapIfSmaller (lower: number, upper: number): boolean {
    const [below, above] = [this.items[lower], this.items[upper]]
    if (below === undefined || above === undefined || this.weight(below) >= this.weight(above)) return false
    this.items[lower] = above
    this.items[upper] = below
    return true
  }
}
