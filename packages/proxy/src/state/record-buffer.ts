/** The latest records of a topic of the shared log, which a relay passes on. */
import type * as SharedLogs from './shared-log.js'

/** Larger series are read from the shared log, since a relay with a slow link would delay them. */
const MAXIMUM_BYTES = 8_192

export class RecordBuffer {
  private records: SharedLogs.KeyedRecord[] = []
  private bytes = 0
  private end: number | undefined

  /** Offset after the last record; undefined before the topic was read. */
  get nextOffset (): number | undefined {
    return this.end
  }

  /** Continues at an offset without the records before it. */
  reset (nextOffset: number): void {
    this.records = []
    this.bytes = 0
    this.end = nextOffset
  }

  /** Appends consecutive records that end at `nextOffset`. */
  append ({ records, nextOffset }: SharedLogs.Batch): void {
    if (this.end !== nextOffset - records.length) this.reset(nextOffset - records.length)
    this.end = nextOffset
    for (const record of records) {
      this.records.push(record)
      this.bytes += sizeOf(record)
    }
    while (this.bytes > MAXIMUM_BYTES) this.bytes -= sizeOf(this.records.shift())
  }

  /** All records from `offset` on; undefined if the buffer does not hold all of them. */
  readFrom (offset: number): SharedLogs.Batch | undefined {
    if (this.end === undefined || offset > this.end || offset < this.end - this.records.length) return undefined
    return { records: this.records.slice(offset - (this.end - this.records.length)), nextOffset: this.end }
  }
}

function sizeOf (record: SharedLogs.KeyedRecord | undefined): number {
  return record === undefined ? 0 : record.key.length + (record.value?.length ?? 0)
}
