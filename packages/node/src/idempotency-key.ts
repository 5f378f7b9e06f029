/** Creates idempotency keys, which consist of the region of this node and a UUID version 7 (RFC 9562). */
import * as Crypto from 'node:crypto'
import * as Decisions from '@jasminedale/decisions'

const UUID_BYTES = 16
const TIMESTAMP_BYTES = 6
const VERSION_BYTE = 6
const VARIANT_BYTE = 8

export function createIdempotencyKey (region: Decisions.Ids.Region, now: Decisions.Clock.Milliseconds): Decisions.Ids.IdempotencyKey {
  const bytes = Crypto.randomBytes(UUID_BYTES)
  bytes.writeUIntBE(Math.floor(now), 0, TIMESTAMP_BYTES)
  bytes[VERSION_BYTE] = 0x70 | ((bytes[VERSION_BYTE] ?? 0) & 0x0f)
  bytes[VARIANT_BYTE] = 0x80 | ((bytes[VARIANT_BYTE] ?? 0) & 0x3f)
  const hex = bytes.toString('hex')
  const uuid = [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join('-')
  return Decisions.Ids.idempotencyKey(`${region}.${uuid}`)
}
