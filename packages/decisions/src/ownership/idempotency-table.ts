/** The owner's record of its keys: bounded in time, count and bytes. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Refusals from '../core/refusal.js'
import * as Heaps from './heap.js'

/**
 * `refused` is final: after an answer "not run", an earlier send of the same key that was
 * delayed in the network must not run either.
 */
export type RecordState =
  | { readonly kind: 'running', readonly request: Ids.RequestId, readonly waiting: Ids.RequestId[] }
  | { readonly kind: 'complete', readonly status: number, readonly body?: string }
  | { readonly kind: 'refused', readonly refusal: Refusals.Refusal }
  | { readonly kind: 'unknown' }

export interface IdempotencyRecord {
  readonly id: string
  readonly time: Clock.Milliseconds
  readonly signature: Ids.Signature
  state: RecordState
}

export interface TableLimits {
  readonly keys: number
  /** Bytes of stored responses. */
  readonly bytes: number
  /** Bytes of one stored response. */
  readonly responseBytes: number
}

export const DEFAULT_LIMITS: TableLimits = { keys: 50_000, bytes: 8_388_608, responseBytes: 2_048 }

export class IdempotencyTable {
  /** Keys at or below this time that have no record are answered `unknown`. */
  lowWatermark = -Infinity
  private readonly records = new Map<string, IdempotencyRecord>()
  private readonly byTime = new Heaps.Heap<IdempotencyRecord>(record => record.time)
  private readonly running = new Set<IdempotencyRecord>()
  private bytes = 0

  constructor (private readonly bounds: TableLimits = DEFAULT_LIMITS) {}

  get size (): number {
    return this.records.size
  }

  get storedBytes (): number {
    return this.bytes
  }

  get runningCount (): number {
    return this.running.size
  }

  get (id: string): IdempotencyRecord | undefined {
    return this.records.get(id)
  }

  runs (): readonly IdempotencyRecord[] {
    return [...this.running]
  }

  /** Whether the key can be entered without breaking the bounds: at most `keys` records, running ones included. */
  admits (time: Clock.Milliseconds): boolean {
    if (this.records.size >= this.bounds.keys) this.discardOldest()
    return time > this.lowWatermark && this.records.size < this.bounds.keys
  }

  start (id: string, time: Clock.Milliseconds, signature: Ids.Signature, request: Ids.RequestId): void {
    const record: IdempotencyRecord = { id, time, signature, state: { kind: 'running', request, waiting: [] } }
    this.records.set(id, record)
    this.running.add(record)
    this.byTime.push(record)
  }

  /** Ends a run. A response beyond the byte bounds is kept as its status only. */
  finish (record: IdempotencyRecord, state: Exclude<RecordState, { kind: 'running' }>): void {
    this.running.delete(record)
    const size = state.kind === 'complete' ? bytesOf(state.body) : 0
    const fits = size <= this.bounds.responseBytes && this.bytes + size <= this.bounds.bytes
    record.state = state.kind === 'complete' && !fits ? { kind: 'complete', status: state.status } : state
    if (fits) this.bytes += size
    // Its place in the order of key times was given up while it ran.
    if (record.time <= this.lowWatermark) this.drop(record)
  }

  /** Discards records with a key time at or before `time`. */
  expire (time: number): void {
    for (let oldest = this.byTime.peek(); oldest !== undefined && oldest.time <= time; oldest = this.byTime.peek()) this.discardOldest()
  }

  private discardOldest (): void {
    const oldest = this.byTime.pop()
    if (oldest === undefined) return
    this.lowWatermark = Math.max(this.lowWatermark, oldest.time)
    if (oldest.state.kind !== 'running') this.drop(oldest)
  }

  private drop (record: IdempotencyRecord): void {
    if (!this.records.delete(record.id)) return
    if (record.state.kind === 'complete') this.bytes -= bytesOf(record.state.body)
  }
}

const encoder = new TextEncoder()

function bytesOf (body: string | undefined): number {
  return body === undefined ? 0 : encoder.encode(body).length
}
