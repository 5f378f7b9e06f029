/** Schemas of single INI values: text in, typed value out. */
import * as Decisions from '@jasminedale/decisions'
import * as zod from 'zod'

const MILLISECONDS_BY_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 }
const BYTES_BY_UNIT: Readonly<Record<string, number>> = { B: 1, KiB: 1_024, MiB: 1_048_576, GiB: 1_073_741_824 }
const PERCENT = 100

/** A schema with the sentence that tells an operator what it accepts. */
export interface Value<Output> {
  readonly schema: zod.ZodType<Output, string>
  readonly allowed: string
}

function quantity (text: string, units: Readonly<Record<string, number>>): number | undefined {
  const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/.exec(text)
  const factor = units[match?.[2] ?? '']
  return factor === undefined ? undefined : Number(match?.[1]) * factor
}

function between (number: number | undefined, low: number, high: number): number | undefined {
  return number !== undefined && Number.isFinite(number) && number >= low && number <= high ? number : undefined
}

function value<Output> (allowed: string, convert: (text: string) => Output | undefined): Value<Output> {
  const schema = zod.string().transform((text, context): Output => {
    const output = convert(text.trim())
    if (output !== undefined) return output
    context.addIssue({ code: 'custom', message: allowed })
    return zod.NEVER
  })
  return { schema, allowed }
}

/** A duration with a unit: `250ms`, `5s`, `10m`, `1h`. Bounds in milliseconds. */
export function duration (low: number, high: number): Value<Decisions.Clock.Milliseconds> {
  return value(`a duration from ${low}ms to ${high}ms with unit ms, s, m, h or d, such as 5s`, text => {
    const number = between(quantity(text, MILLISECONDS_BY_UNIT), low, high)
    return number === undefined ? undefined : Decisions.Clock.milliseconds(number)
  })
}

/** A size with a unit: `64KiB`. Bounds in bytes. */
export function size (low: number, high: number): Value<number> {
  return value(`a size from ${low}B to ${high}B with unit B, KiB, MiB or GiB, such as 64KiB`, text =>
    between(quantity(text, BYTES_BY_UNIT), low, high))
}

/** A fraction written as a percentage: `70%`. Bounds in percent. */
export function percentage (low: number, high: number): Value<number> {
  return value(`a percentage from ${low}% to ${high}%, such as ${high}%`, text => {
    const match = /^(\d+(?:\.\d+)?)\s*%$/.exec(text)
    const number = match === null ? undefined : between(Number(match[1]), low, high)
    return number === undefined ? undefined : number / PERCENT
  })
}

/** A plain number. */
export function number (low: number, high: number, whole = false): Value<number> {
  return value(`a ${whole ? 'whole ' : ''}number from ${low} to ${high}`, text => {
    const parsed = /^\d+(\.\d+)?$/.test(text) ? between(Number(text), low, high) : undefined
    return whole && !Number.isInteger(parsed) ? undefined : parsed
  })
}

/** One of a few words. */
export function choice<Word extends string> (...words: readonly Word[]): Value<Word> {
  return value(words.join(', '), text => words.find(word => word === text))
}

/** Text that matches a pattern. */
export function text<Output extends string> (pattern: RegExp, allowed: string): Value<Output> {
  return value(allowed, candidate => (pattern.test(candidate) ? candidate as Output : undefined))
}

/** A calendar day, `2027-03-01`, as the instant at which it ends (UTC). */
export function day (): Value<Decisions.Clock.Milliseconds> {
  return value('a day such as 2027-03-01 (UTC; the exception ends with that day)', candidate => {
    if (!/^\d{4}-\d{2}-\d{2}$/.test(candidate)) return undefined
    const start = Date.parse(`${candidate}T00:00:00Z`)
    const unchanged = Number.isFinite(start) && new Date(start).toISOString().startsWith(candidate)
    return unchanged ? Decisions.Clock.milliseconds(start + Decisions.Clock.hours(24)) : undefined
  })
}
