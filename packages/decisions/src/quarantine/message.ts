/** Control messages of the quarantine controller, checked on receipt. */
import * as zod from 'zod'

/** A request that was in flight when a backend server crashed. */
const crash = zod.object({ kind: zod.literal('crash'), signature: zod.string(), crash: zod.string(), at: zod.number() })

/** A request that completed after it was suspected. */
const completion = zod.object({ kind: zod.literal('completion'), signature: zod.string(), at: zod.number() })

const block = zod.object({ kind: zod.literal('block'), signature: zod.string(), since: zod.number(), until: zod.number(), round: zod.number() })

export const rumor = zod.discriminatedUnion('kind', [crash, completion, block])

/** `whole`: everything that the sender knows, the answer to a request. */
const rumors = zod.object({ kind: zod.literal('crash-rumors'), whole: zod.boolean(), rumors: zod.array(rumor) })

/** A node that started asks for what others know. */
const request = zod.object({ kind: zod.literal('crash-request') })

export const quarantineMessage = zod.discriminatedUnion('kind', [rumors, request])

export type QuarantineMessage = zod.infer<typeof quarantineMessage>
export type Rumor = zod.infer<typeof rumor>
