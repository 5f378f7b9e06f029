/**
 * Decides which inbound connection is closed when there are too many. Load pattern: callers that open connections and send
 * nothing, a part of a head or a body, or do not read, beside callers with requests. No I/O.
 */
import type * as Decisions from '@jasminedale/decisions'

/**
 * `idle`: no request, or a part of its head. `transferring`: the rest of a request, or of a response, is under way.
 * `running`: a request that was read waits for its response; its connection is not closed.
 */
export type Activity = 'idle' | 'transferring' | 'running'

/** A connection as its owner sees it at the time of the decision. */
export abstract class Connection {
  /** When a byte last arrived or left, as far as known. */
  abstract readonly lastProgressAt: Decisions.Clock.Milliseconds
  abstract readonly activity: Activity
  /** Bytes of a head that has not ended. */
  abstract readonly headBytes: number
}

/** A transfer without progress for less than this is not closed for a new connection. */
const STALL_MS = 1_000

export class ConnectionBudget<Member extends Connection> {
  private readonly members = new Set<Member>()

  /** @param limit Most connections at a time. */
  constructor (readonly limit: number) {}

  get size (): number {
    return this.members.size
  }

  get all (): Iterable<Member> {
    return this.members
  }

  add (member: Member): void {
    this.members.add(member)
  }

  remove (member: Member): void {
    this.members.delete(member)
  }

  /** The connection to close if there are too many: the longest idle one, else the longest stalled one, else the newest. */
  choose (newest: Member, now: Decisions.Clock.Milliseconds): Member | undefined {
    if (this.members.size <= this.limit) return undefined
    return this.longest('idle', newest, now) ?? this.longest('transferring', newest, now - STALL_MS) ?? newest
  }

  /** The connections to close so that unfinished heads take no more than `limit`, those without progress for longest first. */
  chooseHeads (limit: number): Member[] {
    const heads = [...this.members].filter(({ activity, headBytes }) => activity === 'idle' && headBytes > 0).sort((a, b) => a.lastProgressAt - b.lastProgressAt)
    let excess = heads.reduce((sum, { headBytes }) => sum + headBytes, 0) - limit
    return heads.filter(({ headBytes }) => {
      const isChosen = excess > 0
      if (isChosen) excess -= headBytes
      return isChosen
    })
  }

  private longest (activity: Activity, newest: Member, before: number): Member | undefined {
    let found: Member | undefined
    for (const member of this.members) {
      if (member === newest || member.activity !== activity || member.lastProgressAt > before) continue
      if (found === undefined || member.lastProgressAt < found.lastProgressAt) found = member
    }
    return found
  }
}
