/** Messages between a relay and the nodes that read through it: announcements in datagrams, and requests for records. */
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import * as zod from 'zod'
import type * as NodeRpcs from '../transport/node-rpc.js'
import type * as RelaySelectors from './relay-selector.js'
import * as SharedLogs from './shared-log.js'

const epochSchema = zod.number().transform(SharedLogs.epoch)
/** Epoch and offset. */
const positionSchema = zod.tuple([epochSchema, zod.number()]).transform(([epoch, offset]) => ({ epoch, offset }))
/** Address of the relay, its positions by topic, and the age in ms of its last contact with the log. */
const announcementSchema = zod.tuple([zod.string(), positionSchema, positionSchema, zod.number().nonnegative()])
const requestSchema = zod.object({ topic: zod.enum(['configuration', 'targets']), from: positionSchema })
/** Records with their values in base64; no batch if the relay does not hold all records. */
const responseSchema = zod.object({
  batch: zod.object({ records: zod.array(zod.object({ key: zod.string(), value: zod.string().optional() })), next: positionSchema }).optional()
})

export interface Announcement {
  readonly host: Decisions.Ids.Endpoint
  readonly positions: RelaySelectors.Positions
  /** Time in ms since the relay was last in contact with the log. */
  readonly contactAge: number
}

export interface Request {
  readonly topic: SharedLogs.Topic
  readonly from: SharedLogs.Position
}

export function encodeAnnouncement ({ host, positions: { configuration, targets }, contactAge }: Announcement): zod.input<typeof announcementSchema> {
  return [host, encodePosition(configuration), encodePosition(targets), Math.ceil(contactAge)]
}

/** Undefined when the announcement is invalid, as one of an earlier version of this program. */
export function decodeAnnouncement (params: readonly unknown[]): Announcement | undefined {
  const read = announcementSchema.safeParse(params)
  if (!read.success) return undefined
  const [host, configuration, targets, contactAge] = read.data
  return { host: Decisions.Ids.endpoint(host), positions: { configuration, targets }, contactAge }
}

export function encodeRequest ({ topic, from }: Request): zod.input<typeof requestSchema> {
  return { topic, from: encodePosition(from) }
}

/** Throws on an invalid request, which is answered as a JSON-RPC error. */
export function decodeRequest (params: unknown): Request {
  return requestSchema.parse(params)
}

export function encodeResponse (batch: SharedLogs.Batch | undefined): zod.input<typeof responseSchema> {
  if (batch === undefined) return {}
  return { batch: { next: encodePosition(batch.next), records: batch.records.map(({ key, value }) => value === undefined ? { key } : { key, value: value.toString('base64') }) } }
}

/** The records of a response; undefined if the relay does not hold all that were requested. */
export function decodeResponse (value: unknown): neverthrow.Result<SharedLogs.Batch | undefined, NodeRpcs.CallFailure> {
  const response = responseSchema.safeParse(value)
  if (!response.success) return neverthrow.err({ kind: 'call-failed', detail: response.error.message })
  const { batch } = response.data
  if (batch === undefined) return neverthrow.ok(undefined)
  return neverthrow.ok({ next: batch.next, records: batch.records.map(({ key, value: text }) => text === undefined ? { key } : { key, value: Buffer.from(text, 'base64') }) })
}

function encodePosition ({ epoch, offset }: SharedLogs.Position): zod.input<typeof positionSchema> {
  return [epoch, offset]
}
