/**
 * Turns the log's records, in their order, into the newest accepted version.
 *
 * A fold that has followed the log without a gap (`linked`) takes the first valid proposal on its version. After
 * a gap it cannot know whether an earlier proposal with the same base was removed by retention, so it waits for a
 * snapshot, reads the log again from its start on top of that snapshot, and reports the result only at the log's
 * end. Until then a later snapshot of the same version corrects a proposal that was taken wrongly.
 */
import type * as Neverthrow from 'neverthrow'
import type * as Clock from '../core/clock.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'
import * as Parsers from './parser.js'
import * as Records from './records.js'

/** A version with its text, and where a reader goes on. */
export interface Accepted {
  readonly configuration: Policies.Configuration
  readonly text: string
  /** Offset after which later versions are found. */
  readonly offset: number
}

/** A record that was passed over, for the journal. */
export interface Skipped { readonly offset: number, readonly detail: string }

const REWIND = -1

type State = 'linked' | 'unlinked' | 'provisional'

export class LogFold {
  /** Offset to read from next. */
  next = 0
  /** Log time of the newest record that holds the current version or a snapshot. */
  preservedAt: Clock.Milliseconds | undefined
  caughtUp = false
  private state: State = 'linked'

  constructor (private head: Accepted, private readonly parse: Parsers.ParseConfiguration) {}

  get version (): Ids.Version {
    return this.head.configuration.version
  }

  /** The newest version that is certain. */
  get accepted (): Accepted | undefined {
    return this.state === 'provisional' ? undefined : this.head
  }

  /** Goes on from a version that came from a peer. */
  reset (head: Accepted, preservedAt: Clock.Milliseconds): void {
    this.head = head
    this.next = head.offset
    this.preservedAt = preservedAt
    this.state = 'linked'
    this.caughtUp = false
  }

  /** Takes one read in, which started at `next`, and returns the records passed over. */
  read (event: Events.LogRead): readonly Skipped[] {
    if (this.next > event.end) this.restart(event.start)
    if (event.start > this.next && this.state === 'linked') this.state = 'unlinked'
    const skipped: Skipped[] = []
    for (const record of event.records) {
      if (record.offset < this.next) continue
      const failure = this.take(record)
      if (failure !== undefined) skipped.push({ offset: record.offset, detail: failure })
      if (this.state === 'provisional' && this.next === REWIND) {
        this.next = event.start
        return skipped
      }
      this.next = record.offset + 1
    }
    this.caughtUp = this.next >= event.end || event.records.length === 0
    if (this.caughtUp && this.state === 'provisional') this.state = 'linked'
    return skipped
  }

  /** Whether the current version has to be repeated, because retention would remove it or readers cannot link. */
  needsSnapshot (age: Clock.Milliseconds, logTime: Clock.Milliseconds): boolean {
    if (!this.caughtUp || this.version === 0) return false
    return this.state === 'unlinked' || this.preservedAt === undefined || logTime - this.preservedAt >= age
  }

  /** The log has lost its records: what this fold knows has to be written again. */
  private restart (start: number): void {
    this.next = start
    this.preservedAt = undefined
  }

  private take (record: Events.LogRecord): string | undefined {
    const decoded = Records.decode(record.body)
    if (decoded.isErr()) return decoded.error.detail
    const value = decoded.value
    return 'snapshot' in value ? this.takeSnapshot(value, record) : this.takeProposal(value, record)
  }

  private takeProposal (value: Records.Proposal, record: Events.LogRecord): string | undefined {
    if (this.state === 'unlinked' || value.base !== this.version) return undefined
    const parsed = this.configuration(value, Ids.version(value.base + 1))
    if (parsed.isErr()) return Parsers.describe(parsed.error)
    this.head = { configuration: parsed.value, text: value.text, offset: record.offset + 1 }
    this.preservedAt ??= record.appendedAt
    return undefined
  }

  private takeSnapshot (value: Records.Snapshot, record: Events.LogRecord): string | undefined {
    const same = value.snapshot === this.version
    if (value.snapshot < this.version) return undefined
    const corrects = same && this.state === 'provisional' && value.publication !== this.head.configuration.publication
    if (same && !corrects && this.state !== 'unlinked') {
      this.preserve(value, record)
      return undefined
    }
    const parsed = this.configuration(value, value.snapshot)
    if (parsed.isErr()) return Parsers.describe(parsed.error)
    // The first version wins for the same number, so a linked head stays.
    if (!same || corrects) this.head = { configuration: parsed.value, text: value.text, offset: record.offset + 1 }
    this.preservedAt = record.appendedAt
    if (this.state === 'unlinked') {
      this.state = 'provisional'
      this.next = REWIND
    }
    return undefined
  }

  private preserve (value: Records.Snapshot, record: Events.LogRecord): void {
    if (value.publication === this.head.configuration.publication) this.preservedAt = record.appendedAt
  }

  private configuration (value: Records.Record, version: Ids.Version): Neverthrow.Result<Policies.Configuration, readonly Parsers.ParseFailure[]> {
    return this.parse(value.text, version, value.publication)
      .map(configuration => ({ ...configuration, version, publication: value.publication }))
  }
}
