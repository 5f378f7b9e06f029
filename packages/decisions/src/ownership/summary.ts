/** What a node tells others about a roster's promises. */
import * as Clock from '../core/clock.js'
import type * as Messages from './message.js'
import type * as Roster from './roster.js'

/** How long after its start a version is sent together with the one before it. */
const TRANSITION = Clock.seconds(10)

/** Versions sent at most; more follow each other only when many nodes fail one after another. */
const VERSIONS_SENT = 8

/** The latest version and the earlier ones whose ends others may still need. */
export function recent (roster: Roster.Roster, now: Clock.Milliseconds): Roster.RosterVersion[] {
  const { latest, versions } = roster
  if (latest.start !== undefined) return versions.slice(latest.start < now - TRANSITION ? -1 : -2)
  const governing = versions.findLastIndex(version => version.start !== undefined)
  return versions.slice(Math.max(governing, versions.length - VERSIONS_SENT, 0))
}

export function of (roster: Roster.Roster, now: Clock.Milliseconds): Messages.RosterPromises {
  const versions = recent(roster, now).map(({ version, promises, start }) =>
    ({ version, ...(start === undefined ? {} : { start }), until: promises.until.slice(), ended: promises.ended.slice() }))
  return { kind: 'roster-promises', region: roster.region, versions }
}
