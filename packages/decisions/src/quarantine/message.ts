/** Control messages of the quarantine controller, checked on receipt. */
import * as zod from 'zod'

const placeholder = zod.object({ kind: zod.literal('quarantine-placeholder') })

export const quarantineMessage = placeholder

export type QuarantineMessage = zod.infer<typeof quarantineMessage>
