/** Control messages of the membership and directory controllers, checked on receipt. */
import * as zod from 'zod'
import * as Clock from '../core/clock.js'
import * as Ids from '../core/ids.js'

const NAME_LENGTH = 200
const UPDATES_LIMIT = 1_000
const TARGETS_LIMIT = 1_000
const VERSIONS_LIMIT = 20_000

const text = zod.string().min(1).max(NAME_LENGTH)
const count = zod.int().nonnegative()
const nodeId = text.transform(Ids.nodeId)
const endpoint = text.transform(Ids.endpoint)
const incarnation = count.transform(Ids.incarnation)

/** What every gossip message says about its sender. */
export const header = {
  address: endpoint,
  incarnation,
  /** Configuration version in force at the sender. */
  configuration: count.transform(Ids.version)
}

export const memberUpdate = zod.object({
  kind: zod.literal('member'),
  node: nodeId,
  address: endpoint,
  dataCenter: text.transform(Ids.dataCenter),
  region: text.transform(Ids.region),
  incarnation,
  /** Raised by the member itself to refute a suspicion within one incarnation. */
  revision: count,
  state: zod.enum(['alive', 'suspect', 'dead', 'left']),
  /** Milliseconds since the state was reached; absent means now. */
  age: count.optional(),
  /** Version in force on the member while it is behind the newest one it has heard of. */
  behindAt: count.transform(Ids.version).optional()
})

/** Sequence, target, service, slots, incarnation, state, milliseconds since its first announcement. */
export const targetChange = zod.tuple([
  count, text.transform(Ids.targetId), text.transform(Ids.service), count, incarnation,
  zod.enum(['serving', 'leaving', 'gone']), count
])

export const targetsUpdate = zod.object({
  kind: zod.literal('targets'),
  host: nodeId,
  incarnation,
  /** Present when `targets` is the whole state of the host up to this sequence number. */
  complete: count.optional(),
  targets: zod.array(targetChange).max(TARGETS_LIMIT)
})

/** The sender got no answer from several members of the data center; receivers look for themselves. */
export const silenceUpdate = zod.object({ kind: zod.literal('silence'), dataCenter: text.transform(Ids.dataCenter) })

/** What the readers of a data center say about the log, by the clock of the one that speaks for them. */
export const logUpdate = zod.object({
  kind: zod.literal('log'),
  dataCenter: text.transform(Ids.dataCenter),
  /** When this was said; later ones replace earlier ones. */
  at: count.transform(Clock.milliseconds),
  /** Since when reads fail; absent when they succeed again. */
  unavailableSince: count.transform(Clock.milliseconds).optional()
})

export const update = zod.discriminatedUnion('kind', [memberUpdate, targetsUpdate, silenceUpdate, logUpdate])
const updates = zod.array(update).max(UPDATES_LIMIT)
const table = zod.enum(['members', 'targets'])

export const membershipMessage = zod.discriminatedUnion('kind', [
  /** `joining`: the sender asks for the receiver's own member entry. */
  zod.object({ kind: zod.literal('ping'), ...header, sequence: count, joining: zod.literal(true).optional(), updates }),
  /** States which ping was received; `node` is set when the sender answers for another node. */
  zod.object({ kind: zod.literal('ack'), ...header, sequence: count, node: nodeId.optional(), updates }),
  zod.object({ kind: zod.literal('ping-request'), ...header, sequence: count, node: nodeId, target: endpoint }),
  zod.object({ kind: zod.literal('gossip'), ...header, updates }),
  zod.object({ kind: zod.literal('sync-digest'), ...header, table, digest: count }),
  /** One fixed-width hexadecimal digest for each bucket. */
  zod.object({ kind: zod.literal('sync-buckets'), ...header, table, digests: zod.string().max(UPDATES_LIMIT * 4) }),
  zod.object({
    kind: zod.literal('sync-versions'),
    ...header,
    table,
    buckets: zod.array(count).max(UPDATES_LIMIT),
    versions: zod.array(zod.tuple([nodeId, count, count, count])).max(VERSIONS_LIMIT)
  }),
  zod.object({
    kind: zod.literal('sync-entries'),
    ...header,
    table,
    entries: updates,
    wanted: zod.array(nodeId).max(VERSIONS_LIMIT),
    /** The sender held back entries because of the size of the message. */
    more: zod.boolean()
  })
])

export type MemberUpdate = zod.infer<typeof memberUpdate>
export type TargetChange = zod.infer<typeof targetChange>
export type TargetsUpdate = zod.infer<typeof targetsUpdate>
export type LogUpdate = zod.infer<typeof logUpdate>
export type Update = zod.infer<typeof update>
export type Table = zod.infer<typeof table>
export type MembershipMessage = zod.infer<typeof membershipMessage>
export type Ping = Extract<MembershipMessage, { readonly kind: 'ping' }>
export type Ack = Extract<MembershipMessage, { readonly kind: 'ack' }>
export type PingRequest = Extract<MembershipMessage, { readonly kind: 'ping-request' }>
