/** Builds the `roster-promises` messages. */
import * as Clock from '../core/clock.js'
import type * as Messages from './message.js'
import type * as Rosters from './roster.js'

/** After the start of a version, time for which the version before it is sent as well. */
const TRANSITION_PERIOD = Clock.seconds(10)

/** Limit on the versions in one message; it is reached only when many nodes fail one after another. */
const VERSIONS_SENT_MAXIMUM = 8

/** The latest version, and the earlier ones whose final promises other nodes may still need to derive its start. */
export function recentVersions (roster: Rosters.Roster, now: Clock.Milliseconds): Rosters.RosterVersion[] {
  const { latest, versions } = roster
  if (latest.start !== undefined) return versions.slice(latest.start < now - TRANSITION_PERIOD ? -1 : -2)
  const governing = versions.findLastIndex(version => version.start !== undefined)
  return versions.slice(Math.max(governing, versions.length - VERSIONS_SENT_MAXIMUM, 0))
}

/** The promises for the recent versions of a roster. */
export function summarize (roster: Rosters.Roster, now: Clock.Milliseconds): Messages.RosterPromises {
  const versions = recentVersions(roster, now).map(({ version, promises, start }) =>
    ({ version, ...(start === undefined ? {} : { start }), until: promises.until.slice(), ended: promises.ended.slice() }))
  return { kind: 'roster-promises', region: roster.region, versions }
}
