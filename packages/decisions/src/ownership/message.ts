/** Control messages of the ownership controller, checked on receipt. */
import * as zod from 'zod'
import * as Records from './roster-record.js'

/** Promises for one version; `start` is the first key time that the version governs, if known. */
const versionPromises = zod.object({
  version: zod.number(),
  start: zod.number().optional(),
  until: zod.array(zod.number()),
  ended: zod.array(zod.number())
})

const promises = zod.object({ kind: zod.literal('roster-promises'), region: zod.string(), versions: zod.array(versionPromises) })

/** Asks for what follows `version`; -1 when the sender has no roster of the region. */
const request = zod.object({ kind: zod.literal('roster-request'), region: zod.string(), version: zod.number() })

const changes = zod.object({
  kind: zod.literal('roster-changes'),
  region: zod.string(),
  /** Records that won, in order, with their offsets in the log. */
  changes: zod.array(zod.object({ offset: zod.number(), change: Records.rosterChange }))
})

const state = zod.object({ kind: zod.literal('roster-state'), state: Records.rosterState })
const proposal = zod.object({ kind: zod.literal('roster-proposal'), id: zod.string(), change: Records.rosterChange })
const signature = zod.object({ kind: zod.literal('roster-signature'), id: zod.string(), region: zod.string(), base: zod.number() })

/** The sender is stopping and asks to be left out of the next roster. */
const leave = zod.object({ kind: zod.literal('roster-leave'), region: zod.string(), incarnation: zod.number() })

export const ownershipMessage = zod.discriminatedUnion('kind', [promises, request, changes, state, proposal, signature, leave])

export type OwnershipMessage = zod.infer<typeof ownershipMessage>
export type RosterPromises = zod.infer<typeof promises>
export type VersionPromises = zod.infer<typeof versionPromises>
export type RosterProposal = zod.infer<typeof proposal>
