/** Control messages of the ownership controller, checked on receipt. */
import * as zod from 'zod'

const placeholder = zod.object({ kind: zod.literal('ownership-placeholder') })

export const ownershipMessage = placeholder

export type OwnershipMessage = zod.infer<typeof ownershipMessage>
