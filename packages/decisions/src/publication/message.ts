/** Control messages of the publication controller, checked on receipt. */
import * as zod from 'zod'

const placeholder = zod.object({ kind: zod.literal('publication-placeholder') })

export const publicationMessage = placeholder

export type PublicationMessage = zod.infer<typeof publicationMessage>
