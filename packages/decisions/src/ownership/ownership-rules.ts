/** The rules that prevent a key from running twice, one method each, so that tests can weaken a single rule. */
import * as Clock from '../core/clock.js'
import type * as Identities from '../core/identity.js'
import * as Refusals from '../core/refusal.js'
import type * as Events from '../core/event.js'
import type * as Rosters from './roster.js'

/** How far a promise extends beyond the witness's clock. Covers the time to distribute promises and a new roster version. */
export const PROMISE_DURATION = Clock.seconds(5)
const PROMISE_STEP = Clock.seconds(1)
/** Limit on how far the clock of a witness may have been set back between its last promise and its restart. */
const CLOCK_SETBACK_MARGIN = Clock.minutes(1)

/**
 * Refusals that the owner's node may give before it looks up the key in the idempotency table.
 * They do not tell whether an earlier request with the key has run.
 */
const REFUSALS_BEFORE_LOOKUP: ReadonlySet<Refusals.RefusalKind> = new Set([
  'request-malformed', 'body-too-large', 'deadline-exceeded', 'node-leaving', 'node-starting'
])

export class OwnershipRules {
  /** Whether a majority of the version's witnesses has promised the key time. Only then may the owner run the key. */
  isPromised (version: Rosters.RosterVersion, time: Clock.Milliseconds): boolean {
    return time <= version.promises.promisedUntil()
  }

  /** Whether this node is the owner. A restarted node is not, since the idempotency table of its earlier incarnation is lost. */
  isSelf (owner: Rosters.Tenure, identity: Identities.Identity): boolean {
    return owner.node === identity.node && owner.incarnation === identity.incarnation
  }

  /** The next promise of a witness, rounded so that witnesses with similar clocks promise the same time. */
  nextPromise (now: Clock.Milliseconds): number {
    return Math.floor(now / PROMISE_STEP) * PROMISE_STEP + PROMISE_DURATION
  }

  /** Whether a witness may extend its promise for a version: not after it has learned of a later version. */
  mayExtend (version: Rosters.RosterVersion, roster: Rosters.Roster): boolean {
    return version === roster.latest
  }

  /** Upper bound of the promises of this node's earlier incarnation, which may be lost with it. */
  predecessorPromiseBound (now: Clock.Milliseconds): number {
    return now + PROMISE_DURATION + CLOCK_SETBACK_MARGIN
  }

  /** Refusal at the entry after a forward to the owner failed. Unless the owner looked up the key, an earlier request may have run. */
  refusalAfterForward (end: Events.AttemptEnd | undefined, refusal: Refusals.Refusal): Refusals.Refusal {
    if (end?.kind === 'refused') return REFUSALS_BEFORE_LOOKUP.has(end.refusal.kind) ? { ...end.refusal, outcome: 'unknown' } : end.refusal
    return Refusals.unknown('key-owner-unreachable', `The owner of the key gave no answer: ${refusal.detail}`)
  }
}
