/** Tracks and gossips whether the readers of each data center can read the log, so that every node knows of an outage. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as MembershipMessages from '../membership/message.js'

/** Shorter outages are not gossiped; they affect only the readers. */
const REPORTED_OUTAGE_MINIMUM = Clock.seconds(5)
/** Reports of an outage are repeated for nodes that have joined in the meantime. */
const REPEAT_PERIOD = Clock.minutes(1)
/** A report is ignored when it has not been repeated for this long, for example because the reporting reader has stopped. */
const REPORT_VALIDITY = Clock.seconds(150)

interface ReceivedReport { readonly report: MembershipMessages.LogUpdate, readonly receivedAt: Clock.Milliseconds }

export class LogAvailability {
  /** Time since which this node's own reads fail. */
  private failingSince: Clock.Milliseconds | undefined
  /** Start of the outage in this node's last report; undefined when it reported none. */
  private lastReportedSince: Clock.Milliseconds | undefined
  private nextRepeatAt = Clock.milliseconds(0)
  /** Newest report of each data center. Reports of other data centers are relayed as well, since gossip crosses data centers. */
  private readonly receivedReports = new Map<Ids.DataCenter, ReceivedReport>()

  recordSuccess (): void {
    this.failingSince = undefined
  }

  recordFailure (now: Clock.Milliseconds): void {
    this.failingSince ??= now
  }

  /** Records a report of another node; returns whether it is newer than the known one. */
  receive (report: MembershipMessages.LogUpdate, context: Controllers.StepContext): boolean {
    const known = this.receivedReports.get(report.dataCenter)
    if (known !== undefined && known.report.at >= report.at) return false
    this.receivedReports.set(report.dataCenter, { report, receivedAt: context.now })
    return true
  }

  /** Updates the blackboard. `isReporter` is true on one reader of each data center, which reports for all of them. */
  tick (isReader: boolean, isReporter: boolean, context: Controllers.StepContext): void {
    const { configuration, identity } = context.board
    const received = this.receivedReports.get(identity.dataCenter)
    if (!isReader) this.failingSince = undefined
    const isValid = received !== undefined && context.now - received.receivedAt < REPORT_VALIDITY
    configuration.logUnavailableSince = isReader ? this.failingSince : isValid ? received.report.unavailableSince : undefined
    if (isReporter) this.broadcastReport(context)
  }

  private broadcastReport (context: Controllers.StepContext): void {
    const isReportable = this.failingSince !== undefined && context.now - this.failingSince >= REPORTED_OUTAGE_MINIMUM
    const since = isReportable ? this.failingSince : undefined
    const mayRepeat = since !== undefined && context.now >= this.nextRepeatAt
    if (since === this.lastReportedSince && !mayRepeat) return
    this.lastReportedSince = since
    this.nextRepeatAt = Clock.add(context.now, REPEAT_PERIOD)
    const { dataCenter } = context.board.identity
    const update = { kind: 'log', dataCenter, at: context.now, ...(since === undefined ? {} : { unavailableSince: since }) } as const
    context.raise({ kind: 'gossip-wanted', key: `log ${dataCenter}`, update, urgent: false })
  }
}
