/** Records of log stream `roster`, and the state that they add up to. */
import * as zod from 'zod'

const witness = zod.object({ node: zod.string(), incarnation: zod.number(), dataCenter: zod.string(), region: zod.string() })
const member = zod.object({ node: zod.string(), incarnation: zod.number(), dataCenter: zod.string() })
const tenure = member.extend({ since: zod.number(), until: zod.number().optional() })

const oddWitnesses = zod.array(witness).refine(list => list.length % 2 === 1, 'the number of witnesses is odd')

const genesis = zod.object({
  kind: zod.literal('genesis'),
  region: zod.string(),
  /** First key time that the roster governs. */
  effective: zod.number(),
  /** Regions that share the keys without a prefix; only the first genesis in the log counts. */
  shared: zod.array(zod.string()).min(1),
  members: zod.array(member).min(1),
  witnesses: oddWitnesses
})

const change = zod.object({
  kind: zod.literal('change'),
  region: zod.string(),
  base: zod.number(),
  joins: zod.array(member),
  removals: zod.array(zod.object({ node: zod.string(), incarnation: zod.number() })),
  witnesses: oddWitnesses,
  /** Nodes of witnesses of the base that agree with the change. */
  signatures: zod.array(zod.string())
})

/** A region's roster after every record before `offset`. */
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
export type Change = zod.infer<typeof change>
export type RosterState = zod.infer<typeof rosterState>
export type RosterRecord = zod.infer<typeof rosterRecord>

/** Reads a record; undefined for anything malformed, which every reader skips. */
export function parse (body: string): RosterRecord | undefined {
  try {
    const result = rosterRecord.safeParse(JSON.parse(body))
    return result.success ? result.data : undefined
  } catch {
    return undefined
  }
}
