/**
 * Control messages of the ownership controller, validated on receipt.
 *
 * A roster is the list of the nodes of a region that own idempotency keys. Each version of it is a membership epoch with
 * its own witnesses, the lease grantors. By a promise, a witness grants the version the keys with a time up to a limit;
 * the version governs the keys that a majority of its witnesses has promised.
 */
import * as zod from 'zod'
import * as RosterRecords from './roster-record.js'

/**
 * Promises of the witnesses of one version, as in `PromiseBounds`.
 * `start` is the first key time that the version governs; absent if the sender does not know it.
 */
const versionPromises = zod.object({
  version: zod.number(),
  start: zod.number().optional(),
  until: zod.array(zod.number()),
  ended: zod.array(zod.number())
})

const rosterPromises = zod.object({ kind: zod.literal('roster-promises'), region: zod.string(), versions: zod.array(versionPromises) })

/** Requests the changes after `version`; -1 if the sender has no roster of the region. */
const rosterRequest = zod.object({ kind: zod.literal('roster-request'), region: zod.string(), version: zod.number() })

const rosterChanges = zod.object({
  kind: zod.literal('roster-changes'),
  region: zod.string(),
  /** Change records that took effect, in order, with their offsets in the log. */
  changes: zod.array(zod.object({ offset: zod.number(), change: RosterRecords.rosterChange }))
})

const rosterStateMessage = zod.object({ kind: zod.literal('roster-state'), state: RosterRecords.rosterState })

/** Asks the witnesses of the current version to sign a change. */
const rosterProposal = zod.object({ kind: zod.literal('roster-proposal'), id: zod.string(), change: RosterRecords.rosterChange })
const rosterSignature = zod.object({ kind: zod.literal('roster-signature'), id: zod.string(), region: zod.string(), base: zod.number() })

/** The sender is stopping and asks to be removed by the next roster version. */
const rosterLeave = zod.object({ kind: zod.literal('roster-leave'), region: zod.string(), incarnation: zod.number() })

export const ownershipMessage = zod.discriminatedUnion('kind', [rosterPromises, rosterRequest, rosterChanges, rosterStateMessage, rosterProposal, rosterSignature, rosterLeave])

export type OwnershipMessage = zod.infer<typeof ownershipMessage>
export type RosterPromises = zod.infer<typeof rosterPromises>
export type VersionPromises = zod.infer<typeof versionPromises>
export type RosterProposal = zod.infer<typeof rosterProposal>
