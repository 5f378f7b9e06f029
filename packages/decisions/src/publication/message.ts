/** Control messages of the publication controller, checked on receipt. */
import * as zod from 'zod'
import * as Ids from '../core/ids.js'
import * as MembershipMessages from '../membership/message.js'

const PUBLICATION_LENGTH = 200

const { header } = MembershipMessages
const count = zod.int().nonnegative()

/** The whole text, or a patch to the text of version `base`. */
const content = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('whole'), text: zod.string() }),
  zod.object({
    kind: zod.literal('patch'),
    base: count.transform(Ids.version),
    /** Number of characters kept at the start (`prefix`) and at the end (`suffix`) of the base. */
    prefix: count,
    suffix: count,
    middle: zod.string()
  })
])

export const publicationMessage = zod.discriminatedUnion('kind', [
  /** Announces the version in force at the sender, which is `configuration` in the header. */
  zod.object({ kind: zod.literal('configuration-version'), ...header }),
  /**
   * Requests the configuration in force at the receiver. The answer may be a patch to the sender's own version
   * (`configuration` in the header) if `digest` is that of its text.
   */
  zod.object({ kind: zod.literal('configuration-request'), ...header, digest: zod.string().max(PUBLICATION_LENGTH) }),
  zod.object({
    kind: zod.literal('configuration-text'),
    ...header,
    publication: zod.string().min(1).max(PUBLICATION_LENGTH),
    /** Log offset from which a reader continues. */
    offset: count,
    /** Log time of a record known to hold the configuration, or an earlier time. */
    preservedAt: zod.number().nonnegative(),
    digest: zod.string().max(PUBLICATION_LENGTH),
    content
  })
])

export type Content = zod.infer<typeof content>
export type PublicationMessage = zod.infer<typeof publicationMessage>
export type ConfigurationText = Extract<PublicationMessage, { readonly kind: 'configuration-text' }>
