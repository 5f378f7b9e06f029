/** The latest records of a topic of the shared log, which a relay passes on. */
import type * as SharedLogs from './shared-log.js'

/** Larger series are read from the shared log, since a relay with a slow link would delay them. */
const MAXIMUM_BYTES = 8_192

export class RecordBuffer {
  private records: SharedLogs.KeyedRecord[] = []
  private bytes = 0
  private end: SharedLogs.Position | undefined

  /** Position after the last record; undefined before the topic was read. */
  get next (): SharedLogs.Position | undefined {
    return this.end
  }

  /** Continues at a position without the records before it. */
  reset (next: SharedLogs.Position): void {
    this.records = []
    this.bytes = 0
    this.end = next
  }

  /** Appends consecutive records that end at `next`. */
  append ({ records, next }: SharedLogs.Batch): void {
    const start = { epoch: next.epoch, offset: next.offset - records.length }
    if (this.end?.epoch !== start.epoch || this.end.offset !== start.offset) this.reset(start)
    this.end = next
    for (const record of records) {
      this.records.push(record)
      this.bytes += sizeOf(record)
    }
    while (this.bytes > MAXIMUM_BYTES) this.bytes -= sizeOf(this.records.shift())
  }

  /** All records from a position on; undefined if the buffer does not hold all of them. */
  readFrom ({ epoch, offset }: SharedLogs.Position): SharedLogs.Batch | undefined {
    if (this.end?.epoch !== epoch) return undefined
    const first = this.end.offset - this.records.length
    if (offset > this.end.offset || offset < first) return undefined
    return { records: this.records.slice(offset - first), next: this.end }
  }
}

function sizeOf (record: SharedLogs.KeyedRecord | undefined): number {
  return record === undefined ? 0 : record.key.length + (record.value?.length ?? 0)
}
