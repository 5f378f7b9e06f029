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

/** Fields of every message of this module that describe its sender. */
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
  /** Incremented by the member itself, within an incarnation, to refute a suspicion or to change its entry. */
  revision: count,
  state: zod.enum(['alive', 'suspect', 'dead', 'left']),
  /** Milliseconds since the member reached the state; absent means zero. */
  age: count.optional(),
  /** Version in force on the member while it lags behind the newest version that it knows of; otherwise absent. */
  behindAt: count.transform(Ids.version).optional()
})

/**
 * Change of a target: sequence number of the host's changes, target, service, slots, incarnation, state, and
 * milliseconds since the first announcement of this incarnation.
 */
export const targetChange = zod.tuple([
  count, text.transform(Ids.targetId), text.transform(Ids.service), count, incarnation,
  zod.enum(['serving', 'leaving', 'gone']), count
])

export const targetsUpdate = zod.object({
  kind: zod.literal('targets'),
  host: nodeId,
  incarnation,
  /** Sequence number up to which `targets` is the full list of the host's targets; absent when it holds single changes. */
  complete: count.optional(),
  targets: zod.array(targetChange).max(TARGETS_LIMIT)
})

/** Hint that several members of a data center did not answer (are silent), so that receivers probe it themselves. */
export const silenceUpdate = zod.object({ kind: zod.literal('silence'), dataCenter: text.transform(Ids.dataCenter) })

/** Whether the readers of a data center can read the log. Times are by the clock of the reader that reports for all of them. */
export const logUpdate = zod.object({
  kind: zod.literal('log'),
  dataCenter: text.transform(Ids.dataCenter),
  /** Time of the report; a later one replaces an earlier one. */
  at: count.transform(Clock.milliseconds),
  /** Time since which reads fail; absent when they succeed. */
  unavailableSince: count.transform(Clock.milliseconds).optional()
})

export const update = zod.discriminatedUnion('kind', [memberUpdate, targetsUpdate, silenceUpdate, logUpdate])
const updates = zod.array(update).max(UPDATES_LIMIT)
const table = zod.enum(['members', 'targets'])

export const membershipMessage = zod.discriminatedUnion('kind', [
  /** Probe. `joining` asks for the receiver's own member entry. */
  zod.object({ kind: zod.literal('ping'), ...header, sequence: count, joining: zod.literal(true).optional(), updates }),
  /** Answer to the ping with this sequence number. `node` is the probed member when the sender relays its answer. */
  zod.object({ kind: zod.literal('ack'), ...header, sequence: count, node: nodeId.optional(), updates }),
  /** Asks the receiver to probe a member in place of the sender. `target` is the address of the member, not a backend server. */
  zod.object({ kind: zod.literal('ping-request'), ...header, sequence: count, node: nodeId, target: endpoint }),
  zod.object({ kind: zod.literal('gossip'), ...header, updates }),
  zod.object({ kind: zod.literal('sync-digest'), ...header, table, digest: count }),
  /** The digests of all buckets as fixed-width hexadecimal numbers. */
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
    /** The sender has more entries than fit into the message. */
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
