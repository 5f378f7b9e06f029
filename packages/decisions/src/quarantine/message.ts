/**
 * Control messages of the quarantine controller, validated on receipt. They carry facts about crashes, which the
 * wire calls rumors because nodes gossip them.
 */
import * as zod from 'zod'

/** A request that was in flight when a backend server crashed. `crash` names the target and its incarnation. */
const crash = zod.object({ kind: zod.literal('crash'), signature: zod.string(), crash: zod.string(), at: zod.number() })

/** A request with a suspect signature that completed. */
const completion = zod.object({ kind: zod.literal('completion'), signature: zod.string(), at: zod.number() })

/** A blocked signature. `round` counts its blocks. */
const block = zod.object({ kind: zod.literal('block'), signature: zod.string(), since: zod.number(), until: zod.number(), round: zod.number() })

export const crashFact = zod.discriminatedUnion('kind', [crash, completion, block])

/** `whole`: all facts that the sender knows, in answer to a `crash-request`. */
const crashFacts = zod.object({ kind: zod.literal('crash-rumors'), whole: zod.boolean(), rumors: zod.array(crashFact) })

/** Sent by a node that started, to get the facts that another node knows. */
const request = zod.object({ kind: zod.literal('crash-request') })

export const quarantineMessage = zod.discriminatedUnion('kind', [crashFacts, request])

export type QuarantineMessage = zod.infer<typeof quarantineMessage>
export type CrashFact = zod.infer<typeof crashFact>
