/**
 * Parses and generates idempotency keys: `[REGION.]UUIDv7` (RFC 9562) or `[REGION.]MILLISECONDS-anything`.
 * Every key contains the time of its creation, which selects the roster version and so the owner.
 */
import * as Neverthrow from 'neverthrow'
import * as Clock from '../core/clock.js'
import * as Ids from '../core/ids.js'
import type * as Randoms from '../core/random.js'

export interface ParsedKey {
  /** The key as received, with its region; hashes and comparisons use this text. */
  readonly text: Ids.IdempotencyKey
  /** Absent when the key has no region prefix. */
  readonly region?: Ids.Region
  /** Creation time contained in the key, by the clock of the process that generated it. */
  readonly time: Clock.Milliseconds
}

/** Why a text is not a valid key. */
export interface ParseError {
  readonly kind: 'too-long' | 'no-time' | 'bad-region'
  readonly detail: string
}

const LENGTH_MAXIMUM = 200
const HEXADECIMAL_RADIX = 16
const TIME_DIGITS = 12
const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
/** Exactly 13 digits, so that a time in seconds is rejected instead of read as a date in 1970. */
const MILLISECONDS_KEY = /^(\d{13})-[\x21-\x7e]+$/
const REGION_NAME = /^[A-Za-z][A-Za-z0-9_-]*$/

const FORMAT_HINT = 'A key is [REGION.]UUIDv7 or [REGION.]MILLISECONDS-anything; GET /.jasminedale/key makes one.'

function extractTime (text: string): Clock.Milliseconds | undefined {
  if (UUID_V7.test(text)) return Clock.milliseconds(parseInt(text.replaceAll('-', '').slice(0, TIME_DIGITS), HEXADECIMAL_RADIX))
  const digits = MILLISECONDS_KEY.exec(text)?.[1]
  return digits === undefined ? undefined : Clock.milliseconds(Number(digits))
}

/**
 * Parses a key. A text that is valid without a region prefix is a key without a region, even if it contains a dot.
 * A key without a time is rejected, since its owner could not be determined.
 */
export function parse (text: Ids.IdempotencyKey): Neverthrow.Result<ParsedKey, ParseError> {
  if (text.length > LENGTH_MAXIMUM) return Neverthrow.err({ kind: 'too-long', detail: `A key has at most ${LENGTH_MAXIMUM} characters.` })
  const timeWithoutRegion = extractTime(text)
  if (timeWithoutRegion !== undefined) return Neverthrow.ok({ text, time: timeWithoutRegion })
  const dot = text.indexOf('.')
  const time = dot < 0 ? undefined : extractTime(text.slice(dot + 1))
  if (time === undefined) return Neverthrow.err({ kind: 'no-time', detail: `The key contains no time. ${FORMAT_HINT}` })
  const prefix = text.slice(0, dot)
  if (!REGION_NAME.test(prefix)) return Neverthrow.err({ kind: 'bad-region', detail: `The text before the first dot is no region name. ${FORMAT_HINT}` })
  return Neverthrow.ok({ text, region: Ids.region(prefix), time })
}

/** Generates a key of a region: a UUIDv7 from the time and 74 random bits. */
export function generate (region: Ids.Region, now: Clock.Milliseconds, random: Randoms.Random): Ids.IdempotencyKey {
  const digits = (count: number): string =>
    Array.from({ length: count }, () => random.below(HEXADECIMAL_RADIX).toString(HEXADECIMAL_RADIX)).join('')
  const time = now.toString(HEXADECIMAL_RADIX).padStart(TIME_DIGITS, '0')
  const variant = (8 + random.below(4)).toString(HEXADECIMAL_RADIX)
  const uuid = `${time.slice(0, 8)}-${time.slice(8)}-7${digits(3)}-${variant}${digits(3)}-${digits(12)}`
  return Ids.idempotencyKey(`${region}.${uuid}`)
}
