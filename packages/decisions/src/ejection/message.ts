/** Control messages of the ejection controller, checked on receipt. */
import * as zod from 'zod'

const placeholder = zod.object({ kind: zod.literal('ejection-placeholder') })

export const ejectionMessage = placeholder

export type EjectionMessage = zod.infer<typeof ejectionMessage>
