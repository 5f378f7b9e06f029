/** The idempotency table of a key owner: one record per key, bounded in age, count and bytes. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Refusals from '../core/refusal.js'
import * as MinHeaps from './min-heap.js'

/**
 * Execution state of a key. Every state except `running` is final. That holds for `refused` too: after the answer
 * "not run", a copy of the request that was delayed in the network must not run either.
 */
export type RecordState =
  | { readonly kind: 'running', readonly request: Ids.RequestId, readonly waitingRequests: Ids.RequestId[] }
  | { readonly kind: 'complete', readonly status: number, readonly body?: string }
  | { readonly kind: 'refused', readonly refusal: Refusals.Refusal }
  | { readonly kind: 'unknown' }

export interface IdempotencyRecord {
  readonly id: string
  /** Creation time contained in the key. */
  readonly time: Clock.Milliseconds
  /** Digest of the request content; a resend must match it. */
  readonly signature: Ids.Signature
  state: RecordState
}

export interface TableLimits {
  /** Number of records, running ones included. */
  readonly records: number
  /** Bytes of all stored response bodies. */
  readonly totalBytes: number
  /** Bytes of one stored response body. */
  readonly bytesPerResponse: number
}

export const DEFAULT_LIMITS: TableLimits = { records: 50_000, totalBytes: 8_388_608, bytesPerResponse: 2_048 }

export class IdempotencyTable {
  /**
   * Records with a key time at or below this one may have been evicted. Such a key without a record may have run before,
   * so it is refused with outcome `unknown`.
   */
  lowWatermark = -Infinity
  private readonly records = new Map<string, IdempotencyRecord>()
  private readonly byTime = new MinHeaps.MinHeap<IdempotencyRecord>(record => record.time)
  private readonly running = new Set<IdempotencyRecord>()
  private bytes = 0

  constructor (private readonly limits: TableLimits = DEFAULT_LIMITS) {}

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

  runningRecords (): readonly IdempotencyRecord[] {
    return [...this.running]
  }

  /**
   * Evicts the oldest record if the table is full. Returns whether a key of this time may be added: it lies above the
   * low watermark, and the table holds fewer records than its limit. Running records count, but are not removed.
   */
  makeRoomFor (time: Clock.Milliseconds): boolean {
    if (this.records.size >= this.limits.records) this.evictOldest()
    return time > this.lowWatermark && this.records.size < this.limits.records
  }

  start (id: string, time: Clock.Milliseconds, signature: Ids.Signature, request: Ids.RequestId): void {
    const record: IdempotencyRecord = { id, time, signature, state: { kind: 'running', request, waitingRequests: [] } }
    this.records.set(id, record)
    this.running.add(record)
    this.byTime.push(record)
  }

  /** Stores the final state of a running record. A response body beyond the byte limits is dropped, its status is kept. */
  finish (record: IdempotencyRecord, state: Exclude<RecordState, { kind: 'running' }>): void {
    this.running.delete(record)
    const size = state.kind === 'complete' ? byteLength(state.body) : 0
    const isBodyKept = size <= this.limits.bytesPerResponse && this.bytes + size <= this.limits.totalBytes
    record.state = state.kind === 'complete' && !isBodyKept ? { kind: 'complete', status: state.status } : state
    if (isBodyKept) this.bytes += size
    // The record was evicted from the heap while it was running, so nothing else would remove it.
    if (record.time <= this.lowWatermark) this.remove(record)
  }

  /** Evicts records with a key time at or before `time`. */
  expire (time: number): void {
    for (let oldest = this.byTime.peek(); oldest !== undefined && oldest.time <= time; oldest = this.byTime.peek()) this.evictOldest()
  }

  /** Raises the low watermark to the oldest key time. A running record stays until it ends. */
  private evictOldest (): void {
    const oldest = this.byTime.pop()
    if (oldest === undefined) return
    this.lowWatermark = Math.max(this.lowWatermark, oldest.time)
    if (oldest.state.kind !== 'running') this.remove(oldest)
  }

  private remove (record: IdempotencyRecord): void {
    if (!this.records.delete(record.id)) return
    if (record.state.kind === 'complete') this.bytes -= byteLength(record.state.body)
  }
}

const encoder = new TextEncoder()

function byteLength (body: string | undefined): number {
  return body === undefined ? 0 : encoder.encode(body).length
}
