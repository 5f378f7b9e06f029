/** The log of keyed records in which nodes find the configuration and each other. Filled by an adapter. */
import type * as Decisions from '@jasminedale/decisions'
import type * as neverthrow from 'neverthrow'

export type Topic = 'configuration' | 'targets'

export interface KeyedRecord {
  readonly key: string
  /** Absent when the key was removed. */
  readonly value?: Buffer
}

export interface Batch {
  readonly records: readonly KeyedRecord[]
  /** Offset from which the next read continues. */
  readonly nextOffset: number
}

export type LogFailure =
  /** The records after the requested offset are no longer kept; read the newest ones. */
  | { readonly kind: 'truncated' }
  /** The log refused: nothing was done. */
  | { readonly kind: 'refused', readonly status: number }
  /** No answer; a write may have been executed or may be executed later. */
  | { readonly kind: 'no-answer', readonly detail: string }

export type LogResult<Value> = Promise<neverthrow.Result<Value, LogFailure>>

export abstract class SharedLog {
  /** The newest record of each key. */
  abstract readNewest (topic: Topic): LogResult<Batch>
  /** Records from `offset` on; waits up to `wait` for the first one. */
  abstract readFrom (topic: Topic, offset: number, wait: Decisions.Clock.Milliseconds): LogResult<Batch>
  abstract put (topic: Topic, record: KeyedRecord): LogResult<undefined>
  abstract close (): void
}
