/** Counts requests by classification over a sliding window, in a ring of buckets. */
import type * as Clock from '../core/clock.js'
import type * as Classifications from './classification.js'

/** Numbers of requests. */
export interface Tally {
  readonly good: number
  readonly slow: number
  readonly failed: number
  readonly refused: number
}

const COLUMNS: Record<Classifications.Classification, number> = { good: 0, slow: 1, failed: 2, refused: 3 }
const COLUMN_COUNT = 4
const UNUSED_BUCKET = -1

export class RollingTally {
  private readonly counts: Uint32Array
  /** Bucket period, numbered from the epoch, that each bucket holds. */
  private readonly bucketPeriods: Float64Array

  constructor (private readonly buckets: number, private readonly bucketSpan: Clock.Milliseconds) {
    this.counts = new Uint32Array(buckets * COLUMN_COUNT)
    this.bucketPeriods = new Float64Array(buckets).fill(UNUSED_BUCKET)
  }

  add (classification: Classifications.Classification, now: Clock.Milliseconds): void {
    const period = Math.floor(now / this.bucketSpan)
    const index = period % this.buckets
    if (this.bucketPeriods[index] !== period) {
      this.bucketPeriods[index] = period
      this.counts.fill(0, index * COLUMN_COUNT, (index + 1) * COLUMN_COUNT)
    }
    const position = index * COLUMN_COUNT + COLUMNS[classification]
    this.counts[position] = (this.counts[position] ?? 0) + 1
  }

  total (now: Clock.Milliseconds): Tally {
    const current = Math.floor(now / this.bucketSpan)
    const sums = [0, 0, 0, 0]
    this.bucketPeriods.forEach((period, index) => {
      if (period <= current - this.buckets || period > current) return
      for (let column = 0; column < COLUMN_COUNT; column++) sums[column] = (sums[column] ?? 0) + (this.counts[index * COLUMN_COUNT + column] ?? 0)
    })
    const [good = 0, slow = 0, failed = 0, refused = 0] = sums
    return { good, slow, failed, refused }
  }
}
