/** The rules that keep a key from running twice, one method each, so that tests can take one away. */
import * as Clock from '../core/clock.js'
import type * as Identities from '../core/identity.js'
import * as Refusals from '../core/refusal.js'
import type * as Events from '../core/event.js'
import type * as Roster from './roster.js'

/** Distance of a promise from the witness's clock: covers the spread of promises and of a new roster. */
export const PROMISE_AHEAD = Clock.seconds(5)
const PROMISE_GRID = Clock.seconds(1)
/** Bound on how far a restarted witness's clock may have been set back since its last promise. */
const SUCCESSION_MARGIN = Clock.minutes(1)

/** Refusals that the owner's node may give before it looks at the ledger; they say nothing about earlier sends. */
const OUTSIDE_LEDGER: ReadonlySet<Refusals.RefusalKind> = new Set([
  'request-malformed', 'body-too-large', 'deadline-exceeded', 'node-leaving', 'node-starting'
])

export class OwnershipRules {
  /** Whether a majority of the version's witnesses has promised the key time. */
  covers (version: Roster.RosterVersion, time: Clock.Milliseconds): boolean {
    return time <= version.promises.promisedUntil()
  }

  /** A restarted node does not own its predecessor's keys: their ledger is lost. */
  isSelf (owner: Roster.Tenure, identity: Identities.Identity): boolean {
    return owner.node === identity.node && owner.incarnation === identity.incarnation
  }

  /** The next promise of a witness, on a grid so that witnesses with close clocks promise the same instant. */
  promise (now: Clock.Milliseconds): number {
    return Math.floor(now / PROMISE_GRID) * PROMISE_GRID + PROMISE_AHEAD
  }

  /** Whether a witness may extend its promises for a version; not once it knows of a later one. */
  mayExtend (version: Roster.RosterVersion, roster: Roster.Roster): boolean {
    return version === roster.latest
  }

  /** Upper bound of what this node's earlier incarnation promised; nobody else may remember it. */
  predecessorPromise (now: Clock.Milliseconds): number {
    return now + PROMISE_AHEAD + SUCCESSION_MARGIN
  }

  /** What an entry may say after a forward to the owner ended without an answer: an earlier send may have run. */
  forwardRefusal (end: Events.AttemptEnd | undefined, refusal: Refusals.Refusal): Refusals.Refusal {
    if (end?.kind === 'refused') return OUTSIDE_LEDGER.has(end.refusal.kind) ? { ...end.refusal, outcome: 'unknown' } : end.refusal
    return Refusals.unknown('key-owner-unreachable', `The owner of the key gave no answer: ${refusal.detail}`)
  }
}
