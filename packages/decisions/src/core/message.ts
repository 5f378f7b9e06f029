/** Control messages between nodes: the union of what the controllers define. */
import * as zod from 'zod'
import * as EjectionMessages from '../ejection/message.js'
import * as MembershipMessages from '../membership/message.js'
import * as OwnershipMessages from '../ownership/message.js'
import * as PublicationMessages from '../publication/message.js'
import * as QuarantineMessages from '../quarantine/message.js'

export const messageSchema = zod.union([
  MembershipMessages.membershipMessage,
  PublicationMessages.publicationMessage,
  EjectionMessages.ejectionMessage,
  OwnershipMessages.ownershipMessage,
  QuarantineMessages.quarantineMessage
])

export type Message = zod.infer<typeof messageSchema>
