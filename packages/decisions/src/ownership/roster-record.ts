/**
 * Records of log stream `roster`, and the state that results from applying them in order.
 * `genesis` creates a region's roster, `change` adds a version to it, `snapshot` contains its state.
 */
import * as zod from 'zod'

const witness = zod.object({ node: zod.string(), incarnation: zod.number(), dataCenter: zod.string(), region: zod.string() })
const member = zod.object({ node: zod.string(), incarnation: zod.number(), dataCenter: zod.string() })
/** A member and the versions in which it is one: from `since` up to, not including, `until`. */
const tenure = member.extend({ since: zod.number(), until: zod.number().optional() })

const witnessList = zod.array(witness).refine(list => list.length % 2 === 1, 'the number of witnesses is odd')

const genesis = zod.object({
  kind: zod.literal('genesis'),
  region: zod.string(),
  /** First key time that the roster governs. */
  effective: zod.number(),
  /** Regions among which keys without a region prefix are distributed; fixed by the first genesis in the log. */
  shared: zod.array(zod.string()).min(1),
  members: zod.array(member).min(1),
  witnesses: witnessList
})

const change = zod.object({
  kind: zod.literal('change'),
  region: zod.string(),
  /** Version that the change follows; a change of any other version is skipped. */
  base: zod.number(),
  joins: zod.array(member),
  removals: zod.array(zod.object({ node: zod.string(), incarnation: zod.number() })),
  witnesses: witnessList,
  /** Witnesses of the base version that agree with the change, by node. */
  signatures: zod.array(zod.string())
})

/** Roster of a region after all records before `offset`. `until` and `ended` are as in `PromiseBounds`. */
export const rosterState = zod.object({
  region: zod.string(),
  offset: zod.number(),
  version: zod.number(),
  shared: zod.array(zod.string()),
  tenures: zod.array(tenure),
  /** Pairs of a version and the first key time that it governs. */
  starts: zod.array(zod.tuple([zod.number(), zod.number()])),
  witnesses: zod.array(witness),
  until: zod.array(zod.number()),
  ended: zod.array(zod.number())
})

const snapshot = zod.object({ kind: zod.literal('snapshot'), state: rosterState })

const rosterRecord = zod.discriminatedUnion('kind', [genesis, change, snapshot])

export const rosterChange = change

export type Witness = zod.infer<typeof witness>
export type Member = zod.infer<typeof member>
export type Genesis = zod.infer<typeof genesis>
export type RosterChange = zod.infer<typeof change>
export type RosterState = zod.infer<typeof rosterState>
export type RosterRecord = zod.infer<typeof rosterRecord>

/** Parses a record. Returns undefined if it is malformed; every reader skips such a record. */
export function parse (body: string): RosterRecord | undefined {
  try {
    const result = rosterRecord.safeParse(JSON.parse(body))
    return result.success ? result.data : undefined
  } catch {
    return undefined
  }
}
