/** Control messages of the publication controller, checked on receipt. */
import * as zod from 'zod'
import * as Ids from '../core/ids.js'
import * as MembershipMessages from '../membership/message.js'

const PUBLICATION_LENGTH = 200

const { header } = MembershipMessages
const count = zod.int().nonnegative()

/** The text itself, or what to change in the text of version `base`. */
const content = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('whole'), text: zod.string() }),
  zod.object({
    kind: zod.literal('patch'),
    base: count.transform(Ids.version),
    /** Characters kept at the start and at the end of the base. */
    prefix: count,
    suffix: count,
    middle: zod.string()
  })
])

export const publicationMessage = zod.discriminatedUnion('kind', [
  /** Pushes a version number; the header has it. */
  zod.object({ kind: zod.literal('configuration-version'), ...header }),
  /** Asks for the configuration in force at the receiver; `configuration` in the header can serve as a patch's base. */
  zod.object({ kind: zod.literal('configuration-request'), ...header, digest: zod.string().max(PUBLICATION_LENGTH) }),
  zod.object({
    kind: zod.literal('configuration-text'),
    ...header,
    publication: zod.string().min(1).max(PUBLICATION_LENGTH),
    /** Log offset from which a reader goes on. */
    offset: count,
    /** Log time of the newest record or snapshot known to hold the configuration. */
    preservedAt: zod.number().nonnegative(),
    digest: zod.string().max(PUBLICATION_LENGTH),
    content
  })
])

export type Content = zod.infer<typeof content>
export type PublicationMessage = zod.infer<typeof publicationMessage>
export type ConfigurationText = Extract<PublicationMessage, { readonly kind: 'configuration-text' }>
