/** Counts events in a sliding time window that is divided into a fixed number of buckets. */
import type * as Clock from './clock.js'

export class RollingCount {
  private readonly counts: number[]
  /** Number of the time interval that each bucket counts; a bucket of an older interval is reused. */
  private readonly bucketIntervals: number[]

  /** `span` is the length of the window; the resolution is `span / buckets`. */
  constructor (private readonly span: Clock.Milliseconds, private readonly buckets: number) {
    this.counts = Array.from({ length: buckets }, () => 0)
    this.bucketIntervals = Array.from({ length: buckets }, () => -1)
  }

  add (now: Clock.Milliseconds, amount = 1): void {
    const interval = this.intervalAt(now)
    const index = interval % this.buckets
    if (this.bucketIntervals[index] !== interval) {
      this.bucketIntervals[index] = interval
      this.counts[index] = 0
    }
    this.counts[index] = (this.counts[index] ?? 0) + amount
  }

  total (now: Clock.Milliseconds): number {
    const oldest = this.intervalAt(now) - this.buckets
    return this.counts.reduce((sum, count, index) => (this.bucketIntervals[index] ?? -1) > oldest ? sum + count : sum, 0)
  }

  private intervalAt (now: Clock.Milliseconds): number {
    return Math.floor(now * this.buckets / this.span)
  }
}
