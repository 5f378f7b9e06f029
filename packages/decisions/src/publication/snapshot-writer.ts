/** Appends the current version to the log as a snapshot before retention removes it. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as LogReplays from './log-replay.js'
import * as Records from './records.js'

/** Age at which a version is appended again, as a fraction of the log's retention time. */
const SNAPSHOT_AGE_FRACTION = 0.5
/** Delay between one reader and the next, so that usually only the first one appends. */
const READER_STAGGER = Clock.seconds(2)
/** The append may fail or its reply be lost, so its success is determined by the next reads of the log. */
const RETRY_DELAY = Clock.seconds(10)

export class SnapshotWriter {
  private dueAt: Clock.Milliseconds | undefined

  /** Called after each read; appends a snapshot if one is due. `position` is this node's rank among the readers. */
  appendIfDue (replay: LogReplays.LogReplay, event: Events.LogRead, position: number, context: Controllers.StepContext): void {
    const snapshotAge = Clock.milliseconds(event.retention * SNAPSHOT_AGE_FRACTION)
    const { accepted } = replay
    if (accepted === undefined || !replay.needsSnapshot(snapshotAge, event.logTime)) {
      this.dueAt = undefined
      return
    }
    this.dueAt ??= Clock.milliseconds(context.now + position * READER_STAGGER)
    if (context.now < this.dueAt) return
    this.dueAt = Clock.add(context.now, RETRY_DELAY)
    const { version, publication } = accepted.configuration
    const body = Records.encode({ snapshot: version, publication, text: accepted.text })
    context.emit({ kind: 'append-log', stream: 'configuration', token: context.freshId(), body })
    context.record({ controller: 'publication', decision: 'snapshot-appended', evidence: `version ${version}, log time ${event.logTime}` })
  }
}
