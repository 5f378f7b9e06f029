/** Idempotency keys: `[REGION.]UUIDv7` (RFC 9562) or `[REGION.]MILLISECONDS-anything`. */
import * as Neverthrow from 'neverthrow'
import * as Clock from '../core/clock.js'
import * as Ids from '../core/ids.js'
import type * as Randoms from '../core/random.js'

export interface ParsedKey {
  /** The key as received; it is hashed and compared as a whole. */
  readonly text: Ids.IdempotencyKey
  /** Absent when the key names no region. */
  readonly region?: Ids.Region
  /** The time in the key, by its maker's clock. */
  readonly time: Clock.Milliseconds
}

/** Why a text is no key. */
export interface ParseError {
  readonly kind: 'too-long' | 'no-time' | 'bad-region'
  readonly detail: string
}

const LENGTH_LIMIT = 200
const HEXADECIMAL = 16
const TIME_DIGITS = 12
const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
/** Exactly 13 digits, so that a time in seconds is refused instead of read as a moment in 1970. */
const TIMED = /^(\d{13})-[\x21-\x7e]+$/
const REGION = /^[A-Za-z][A-Za-z0-9_-]*$/

const ADVICE = 'A key is [REGION.]UUIDv7 or [REGION.]MILLISECONDS-anything; GET /.jasminedale/key makes one.'

function timeOf (text: string): Clock.Milliseconds | undefined {
  if (UUID_V7.test(text)) return Clock.milliseconds(parseInt(text.replaceAll('-', '').slice(0, TIME_DIGITS), HEXADECIMAL))
  const digits = TIMED.exec(text)?.[1]
  return digits === undefined ? undefined : Clock.milliseconds(Number(digits))
}

/** Reads a key. A text with a time and no valid region prefix is a key without a region. */
export function parse (text: Ids.IdempotencyKey): Neverthrow.Result<ParsedKey, ParseError> {
  if (text.length > LENGTH_LIMIT) return Neverthrow.err({ kind: 'too-long', detail: `A key has at most ${LENGTH_LIMIT} characters.` })
  const bare = timeOf(text)
  if (bare !== undefined) return Neverthrow.ok({ text, time: bare })
  const dot = text.indexOf('.')
  const time = dot < 0 ? undefined : timeOf(text.slice(dot + 1))
  if (time === undefined) return Neverthrow.err({ kind: 'no-time', detail: `The key contains no time. ${ADVICE}` })
  const prefix = text.slice(0, dot)
  if (!REGION.test(prefix)) return Neverthrow.err({ kind: 'bad-region', detail: `The text before the first dot is no region name. ${ADVICE}` })
  return Neverthrow.ok({ text, region: Ids.region(prefix), time })
}

/** Makes a key of a region: a UUIDv7 from the time and 74 random bits. */
export function generate (region: Ids.Region, now: Clock.Milliseconds, random: Randoms.Random): Ids.IdempotencyKey {
  const digits = (count: number): string =>
    Array.from({ length: count }, () => random.below(HEXADECIMAL).toString(HEXADECIMAL)).join('')
  const time = now.toString(HEXADECIMAL).padStart(TIME_DIGITS, '0')
  const variant = (8 + random.below(4)).toString(HEXADECIMAL)
  const uuid = `${time.slice(0, 8)}-${time.slice(8)}-7${digits(3)}-${variant}${digits(3)}-${digits(12)}`
  return Ids.idempotencyKey(`${region}.${uuid}`)
}
