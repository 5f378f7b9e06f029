/** Control messages of the membership controller, checked on receipt. */
import * as zod from 'zod'

const placeholder = zod.object({ kind: zod.literal('membership-placeholder') })

export const membershipMessage = placeholder

export type MembershipMessage = zod.infer<typeof membershipMessage>
