/** Encodes and decodes registrations in records of the shared log and in messages between nodes. */
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import * as zod from 'zod'
import type * as Registrations from '../directory/registration.js'
import type * as SharedLogs from './shared-log.js'

const schema = zod.object({
  target: zod.string().min(1).transform(Decisions.Ids.targetId),
  service: zod.string().min(1).transform(Decisions.Ids.service),
  host: zod.string().regex(/^[\d.]+:\d+$/).transform(Decisions.Ids.endpoint),
  dataCenter: zod.string().transform(Decisions.Ids.dataCenter),
  region: zod.string().transform(Decisions.Ids.region),
  slots: zod.number().int().positive(),
  state: zod.enum(['ready', 'leaving', 'gone']),
  incarnation: zod.number().transform(Decisions.Ids.incarnation),
  sequence: zod.number()
})

export interface RecordFailure { readonly kind: 'registration-invalid', readonly key: string, readonly detail: string }

export function encode (registration: Registrations.Registration): SharedLogs.KeyedRecord {
  return { key: registration.target, value: Buffer.from(JSON.stringify(registration)) }
}

export function decode (record: SharedLogs.KeyedRecord): neverthrow.Result<Registrations.Registration, RecordFailure> {
  const json = neverthrow.fromThrowable((text: string) => JSON.parse(text) as unknown, String)(record.value?.toString() ?? '')
  if (json.isErr()) return neverthrow.err({ kind: 'registration-invalid', key: record.key, detail: json.error })
  return parse(record.key, json.value)
}

export function parse (key: string, value: unknown): neverthrow.Result<Registrations.Registration, RecordFailure> {
  const parsed = schema.safeParse(value)
  if (!parsed.success) return neverthrow.err({ kind: 'registration-invalid', key, detail: parsed.error.message })
  return neverthrow.ok(parsed.data)
}

/** Whether both registrations agree in everything but the sequence number, data center and region. */
export function isSameState (left: Registrations.Registration, right: Registrations.Registration): boolean {
  return left.target === right.target && left.incarnation === right.incarnation && left.state === right.state && left.service === right.service &&
    left.host === right.host && left.slots === right.slots
}
