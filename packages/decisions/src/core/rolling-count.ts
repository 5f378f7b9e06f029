/** Counts events over a recent span in a fixed number of buckets. */
import type * as Clock from './clock.js'

export class RollingCount {
  private readonly counts: number[]
  private readonly slots: number[]

  /** Covers `span`; its resolution is `span / buckets`. */
  constructor (private readonly span: Clock.Milliseconds, private readonly buckets: number) {
    this.counts = Array.from({ length: buckets }, () => 0)
    this.slots = Array.from({ length: buckets }, () => -1)
  }

  add (now: Clock.Milliseconds, amount = 1): void {
    const slot = this.slot(now)
    const index = slot % this.buckets
    if (this.slots[index] !== slot) {
      this.slots[index] = slot
      this.counts[index] = 0
    }
    this.counts[index] = (this.counts[index] ?? 0) + amount
  }

  total (now: Clock.Milliseconds): number {
    const oldest = this.slot(now) - this.buckets
    return this.counts.reduce((sum, count, index) => (this.slots[index] ?? -1) > oldest ? sum + count : sum, 0)
  }

  private slot (now: Clock.Milliseconds): number {
    return Math.floor(now * this.buckets / this.span)
  }
}
