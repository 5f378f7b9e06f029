/** Spreads whether the readers of each data center can read the log, so that every node can report it. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as MembershipMessages from '../membership/message.js'

/** Shorter outages concern nobody but the readers. */
const OUTAGE_MINIMUM = Clock.seconds(5)
/** Repeated for nodes that have joined since. */
const REPEAT = Clock.minutes(1)
/** A report that is not repeated for this long is forgotten, for example because the speaking reader is gone. */
const VALIDITY = Clock.seconds(150)

interface Heard { readonly report: MembershipMessages.LogUpdate, readonly receivedAt: Clock.Milliseconds }

export class LogStatus {
  /** Since when this node's own reads fail. */
  private failingSince: Clock.Milliseconds | undefined
  private reported: Clock.Milliseconds | undefined
  private repeatAt = Clock.milliseconds(0)
  /** Newest report of each data center; all are kept and passed on, since gossip crosses data centers. */
  private readonly heard = new Map<Ids.DataCenter, Heard>()

  readSucceeded (): void {
    this.failingSince = undefined
  }

  readFailed (now: Clock.Milliseconds): void {
    this.failingSince ??= now
  }

  /** Takes a report of another node; returns whether it is news. */
  receive (report: MembershipMessages.LogUpdate, turn: Controllers.Turn): boolean {
    const known = this.heard.get(report.dataCenter)
    if (known !== undefined && known.report.at >= report.at) return false
    this.heard.set(report.dataCenter, { report, receivedAt: turn.now })
    return true
  }

  /** Brings the section up to date; the data center's first reader speaks for all. */
  tick (reads: boolean, speaks: boolean, turn: Controllers.Turn): void {
    const { configuration, identity } = turn.board
    const heard = this.heard.get(identity.dataCenter)
    if (!reads) this.failingSince = undefined
    const valid = heard !== undefined && turn.now - heard.receivedAt < VALIDITY
    configuration.logUnavailableSince = reads ? this.failingSince : valid ? heard.report.unavailableSince : undefined
    if (speaks) this.speak(turn)
  }

  private speak (turn: Controllers.Turn): void {
    const lasting = this.failingSince !== undefined && turn.now - this.failingSince >= OUTAGE_MINIMUM
    const since = lasting ? this.failingSince : undefined
    const repeat = since !== undefined && turn.now >= this.repeatAt
    if (since === this.reported && !repeat) return
    this.reported = since
    this.repeatAt = Clock.add(turn.now, REPEAT)
    const { dataCenter } = turn.board.identity
    const update = { kind: 'log', dataCenter, at: turn.now, ...(since === undefined ? {} : { unavailableSince: since }) } as const
    turn.raise({ kind: 'gossip-wanted', key: `log ${dataCenter}`, update, urgent: false })
  }
}
