/** Repeats the current version on the log before retention removes it. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as LogFolds from './log-fold.js'
import * as Records from './records.js'

/** Share of the retention time after which the version is repeated. */
const RETENTION_SHARE = 0.5
/** Readers take turns, so that usually one of them writes. */
const STAGGER = Clock.seconds(2)
/** A reply may be lost or the append fail; the next read shows whether the snapshot is there. */
const RETRY = Clock.seconds(10)

export class Snapshots {
  private dueAt: Clock.Milliseconds | undefined

  /** Looks after each read whether a snapshot is due; `position` is this node's place among the readers. */
  consider (fold: LogFolds.LogFold, event: Events.LogRead, position: number, turn: Controllers.Turn): void {
    const age = Clock.milliseconds(event.retention * RETENTION_SHARE)
    const { accepted } = fold
    if (accepted === undefined || !fold.needsSnapshot(age, event.logTime)) {
      this.dueAt = undefined
      return
    }
    this.dueAt ??= Clock.milliseconds(turn.now + position * STAGGER)
    if (turn.now < this.dueAt) return
    this.dueAt = Clock.add(turn.now, RETRY)
    const { version, publication } = accepted.configuration
    const body = Records.encode({ snapshot: version, publication, text: accepted.text })
    turn.emit({ kind: 'append-log', stream: 'configuration', token: turn.freshId(), body })
    turn.record({ controller: 'publication', decision: 'snapshot-appended', evidence: `version ${version}, log time ${event.logTime}` })
  }
}
