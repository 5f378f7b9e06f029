/** Interface of the shared log of keyed records, which holds the configuration and all registrations. An adapter implements it. */
import type * as Decisions from '@jasminedale/decisions'
import type * as neverthrow from 'neverthrow'

export type Topic = 'configuration' | 'targets'

export interface KeyedRecord {
  readonly key: string
  /** Absent when the record deletes its key. */
  readonly value?: Buffer
}

/** Numbers the histories of the log: it rises when the log is restored from an older copy, which assigns offsets again. */
export type Epoch = number & { readonly brand: 'Epoch' }
export const epoch = (value: number): Epoch => value as Epoch

/** Place in the log before a record. Offsets of different epochs cannot be compared. */
export interface Position {
  readonly epoch: Epoch
  readonly offset: number
}

export interface Batch {
  readonly records: readonly KeyedRecord[]
  /** Where the next read continues. */
  readonly next: Position
}

export type LogFailure =
  /** Records at the requested offset were deleted; read the newest record of each key instead. */
  | { readonly kind: 'truncated' }
  /** The log has been restored from an older copy since the position was read; read the newest record of each key instead. */
  | { readonly kind: 'restored', readonly epoch: Epoch }
  /** The log rejected the request with an HTTP status and did not execute it. */
  | { readonly kind: 'refused', readonly status: number }
  /** No valid response. A write may have been executed, or may still be. */
  | { readonly kind: 'no-answer', readonly detail: string }

export type LogResult<Value> = Promise<neverthrow.Result<Value, LogFailure>>

export abstract class SharedLog {
  /** The newest record of each key. */
  abstract readNewest (topic: Topic): LogResult<Batch>
  /** Records from `position` on. Waits up to `wait` for the first one (long polling). */
  abstract readFrom (topic: Topic, position: Position, wait: Decisions.Clock.Milliseconds): LogResult<Batch>
  abstract put (topic: Topic, record: KeyedRecord): LogResult<undefined>
  abstract close (): void
}
