/**
 * Replays the records of the log in order and determines the newest accepted version.
 *
 * While the log has been read without a gap (`contiguous`), the first valid proposal based on the current version is
 * accepted. After a gap (`interrupted`), retention may have removed an earlier proposal with the same base. The replay
 * then waits for a snapshot and rereads the log from its start on top of it (`provisional`); the result counts as
 * accepted only at the end of the log. Until then a later snapshot of the same version replaces a proposal that was
 * accepted wrongly.
 */
import type * as Neverthrow from 'neverthrow'
import type * as Clock from '../core/clock.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'
import * as Parsers from './parser.js'
import * as Records from './records.js'

/** An accepted version with its text. */
export interface AcceptedVersion {
  readonly configuration: Policies.Configuration
  readonly text: string
  /** Log offset from which later versions are found. */
  readonly offset: number
}

/** An invalid record that was skipped. */
export interface SkippedRecord { readonly offset: number, readonly detail: string }

/** Value of `nextOffset` that requests a reread from the start of the log. */
const REREAD_FROM_START = -1

type State = 'contiguous' | 'interrupted' | 'provisional'

export class LogReplay {
  /** Offset to read from next. */
  nextOffset = 0
  /** Log time of a record that holds the current version, or an earlier time; undefined when no such record is known. */
  preservedAt: Clock.Milliseconds | undefined
  isCaughtUp = false
  private state: State = 'contiguous'

  constructor (private head: AcceptedVersion, private readonly parse: Parsers.ParseConfiguration) {}

  get version (): Ids.Version {
    return this.head.configuration.version
  }

  /** The newest accepted version; undefined while the result is provisional. */
  get accepted (): AcceptedVersion | undefined {
    return this.state === 'provisional' ? undefined : this.head
  }

  /** Continues from a version that was fetched from a peer. */
  resetTo (head: AcceptedVersion, preservedAt: Clock.Milliseconds): void {
    this.head = head
    this.nextOffset = head.offset
    this.preservedAt = preservedAt
    this.state = 'contiguous'
    this.isCaughtUp = false
  }

  /** Applies the result of a read that started at `nextOffset`; returns the invalid records that were skipped. */
  applyRead (event: Events.LogRead): readonly SkippedRecord[] {
    if (this.nextOffset > event.end) this.restartFrom(event.start)
    if (event.start > this.nextOffset && this.state === 'contiguous') this.state = 'interrupted'
    const skipped: SkippedRecord[] = []
    for (const record of event.records) {
      if (record.offset < this.nextOffset) continue
      const failure = this.applyRecord(record)
      if (failure !== undefined) skipped.push({ offset: record.offset, detail: failure })
      if (this.state === 'provisional' && this.nextOffset === REREAD_FROM_START) {
        this.nextOffset = event.start
        return skipped
      }
      this.nextOffset = record.offset + 1
    }
    this.isCaughtUp = this.nextOffset >= event.end || event.records.length === 0
    if (this.isCaughtUp && this.state === 'provisional') this.state = 'contiguous'
    return skipped
  }

  /** Whether the current version must be appended as a snapshot: retention would soon remove it, or there was a gap. */
  needsSnapshot (snapshotAge: Clock.Milliseconds, logTime: Clock.Milliseconds): boolean {
    if (!this.isCaughtUp || this.version === 0) return false
    return this.state === 'interrupted' || this.preservedAt === undefined || logTime - this.preservedAt >= snapshotAge
  }

  /** Called when the log ends before `nextOffset`, so has lost records: the current version must be appended again. */
  private restartFrom (start: number): void {
    this.nextOffset = start
    this.preservedAt = undefined
  }

  private applyRecord (record: Events.LogRecord): string | undefined {
    const decoded = Records.decode(record.body)
    if (decoded.isErr()) return decoded.error.detail
    const value = decoded.value
    return 'snapshot' in value ? this.applySnapshot(value, record) : this.applyProposal(value, record)
  }

  private applyProposal (value: Records.Proposal, record: Events.LogRecord): string | undefined {
    if (this.state === 'interrupted' || value.base !== this.version) return undefined
    const parsed = this.parseConfiguration(value, Ids.version(value.base + 1))
    if (parsed.isErr()) return Parsers.describeFailures(parsed.error)
    this.head = { configuration: parsed.value, text: value.text, offset: record.offset + 1 }
    this.preservedAt ??= record.appendedAt
    return undefined
  }

  private applySnapshot (value: Records.Snapshot, record: Events.LogRecord): string | undefined {
    const isSameVersion = value.snapshot === this.version
    if (value.snapshot < this.version) return undefined
    const isCorrection = isSameVersion && this.state === 'provisional' && value.publication !== this.head.configuration.publication
    if (isSameVersion && !isCorrection && this.state !== 'interrupted') {
      this.updatePreservedAt(value, record)
      return undefined
    }
    const parsed = this.parseConfiguration(value, value.snapshot)
    if (parsed.isErr()) return Parsers.describeFailures(parsed.error)
    // The first publication to be accepted as a version stays, so the same version does not replace the head.
    if (!isSameVersion || isCorrection) this.head = { configuration: parsed.value, text: value.text, offset: record.offset + 1 }
    this.preservedAt = record.appendedAt
    if (this.state === 'interrupted') {
      this.state = 'provisional'
      this.nextOffset = REREAD_FROM_START
    }
    return undefined
  }

  private updatePreservedAt (value: Records.Snapshot, record: Events.LogRecord): void {
    if (value.publication === this.head.configuration.publication) this.preservedAt = record.appendedAt
  }

  private parseConfiguration (value: Records.Record, version: Ids.Version): Neverthrow.Result<Policies.Configuration, readonly Parsers.ParseFailure[]> {
    return this.parse(value.text, version, value.publication)
      .map(configuration => ({ ...configuration, version, publication: value.publication }))
  }
}
