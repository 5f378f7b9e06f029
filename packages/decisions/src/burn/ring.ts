/** Counts of requests by judgement over a fixed span, in a fixed number of buckets. */
import type * as Clock from '../core/clock.js'
import type * as Judgements from './judgement.js'

/** Numbers of requests. */
export interface Tally {
  readonly good: number
  readonly slow: number
  readonly failed: number
  readonly refused: number
}

const COLUMNS: Record<Judgements.Judgement, number> = { good: 0, slow: 1, failed: 2, refused: 3 }
const WIDTH = 4
const UNUSED = -1

export class Ring {
  private readonly counts: Uint32Array
  /** Number of the span since the epoch that each bucket holds. */
  private readonly slots: Float64Array

  constructor (private readonly buckets: number, private readonly bucketSpan: Clock.Milliseconds) {
    this.counts = new Uint32Array(buckets * WIDTH)
    this.slots = new Float64Array(buckets).fill(UNUSED)
  }

  add (judgement: Judgements.Judgement, now: Clock.Milliseconds): void {
    const slot = Math.floor(now / this.bucketSpan)
    const index = slot % this.buckets
    if (this.slots[index] !== slot) {
      this.slots[index] = slot
      this.counts.fill(0, index * WIDTH, (index + 1) * WIDTH)
    }
    const position = index * WIDTH + COLUMNS[judgement]
    this.counts[position] = (this.counts[position] ?? 0) + 1
  }

  total (now: Clock.Milliseconds): Tally {
    const current = Math.floor(now / this.bucketSpan)
    const sums = [0, 0, 0, 0]
    this.slots.forEach((slot, index) => {
      if (slot <= current - this.buckets || slot > current) return
      for (let column = 0; column < WIDTH; column++) sums[column] = (sums[column] ?? 0) + (this.counts[index * WIDTH + column] ?? 0)
    })
    const [good = 0, slow = 0, failed = 0, refused = 0] = sums
    return { good, slow, failed, refused }
  }
}
