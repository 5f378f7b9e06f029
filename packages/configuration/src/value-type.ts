/** Value types of INI keys. Each converts text to a typed value and checks it. */
import * as Decisions from '@jasminedale/decisions'
import * as zod from 'zod'

const MILLISECONDS_BY_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 }
const BYTES_BY_UNIT: Readonly<Record<string, number>> = { B: 1, KiB: 1_024, MiB: 1_048_576, GiB: 1_073_741_824 }
const PERCENT = 100

/** A schema and a description of the accepted values for operators. */
export interface ValueType<Output> {
  readonly schema: zod.ZodType<Output, string>
  readonly allowed: string
}

function parseQuantity (text: string, units: Readonly<Record<string, number>>): number | undefined {
  const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/.exec(text)
  const factor = units[match?.[2] ?? '']
  return factor === undefined ? undefined : Number(match?.[1]) * factor
}

function withinBounds (number: number | undefined, low: number, high: number): number | undefined {
  return number !== undefined && Number.isFinite(number) && number >= low && number <= high ? number : undefined
}

function createValueType<Output> (allowed: string, convert: (text: string) => Output | undefined): ValueType<Output> {
  const schema = zod.string().transform((text, context): Output => {
    const output = convert(text.trim())
    if (output !== undefined) return output
    context.addIssue({ code: 'custom', message: allowed })
    return zod.NEVER
  })
  return { schema, allowed }
}

/** A duration with a unit, such as `250ms`, `5s`, `10m` or `1h`. Bounds in milliseconds. */
export function duration (low: number, high: number): ValueType<Decisions.Clock.Milliseconds> {
  return createValueType(`a duration from ${low}ms to ${high}ms with unit ms, s, m, h or d, such as 5s`, text => {
    const durationMs = withinBounds(parseQuantity(text, MILLISECONDS_BY_UNIT), low, high)
    return durationMs === undefined ? undefined : Decisions.Clock.milliseconds(durationMs)
  })
}

/** A size with a unit, such as `64KiB`. Bounds in bytes. */
export function size (low: number, high: number): ValueType<number> {
  return createValueType(`a size from ${low}B to ${high}B with unit B, KiB, MiB or GiB, such as 64KiB`, text =>
    withinBounds(parseQuantity(text, BYTES_BY_UNIT), low, high))
}

/** A fraction written as a percentage, such as `70%`. Bounds in percent. */
export function percentage (low: number, high: number): ValueType<number> {
  return createValueType(`a percentage from ${low}% to ${high}%, such as ${high}%`, text => {
    const match = /^(\d+(?:\.\d+)?)\s*%$/.exec(text)
    const percent = match === null ? undefined : withinBounds(Number(match[1]), low, high)
    return percent === undefined ? undefined : percent / PERCENT
  })
}

/** A number without a unit. */
export function number (low: number, high: number, isWhole = false): ValueType<number> {
  return createValueType(`a ${isWhole ? 'whole ' : ''}number from ${low} to ${high}`, text => {
    const parsed = /^\d+(\.\d+)?$/.test(text) ? withinBounds(Number(text), low, high) : undefined
    return isWhole && !Number.isInteger(parsed) ? undefined : parsed
  })
}

/** One of a fixed set of words. */
export function choice<Word extends string> (...words: readonly Word[]): ValueType<Word> {
  return createValueType(words.join(', '), text => words.find(word => word === text))
}

/** Text that matches a pattern. */
export function text<Output extends string> (pattern: RegExp, allowed: string): ValueType<Output> {
  return createValueType(allowed, candidate => (pattern.test(candidate) ? candidate as Output : undefined))
}

/** A calendar day such as `2027-03-01`, converted to the time at which it ends (UTC). */
export function day (): ValueType<Decisions.Clock.Milliseconds> {
  return createValueType('a day such as 2027-03-01 (UTC; the exception ends with that day)', candidate => {
    if (!/^\d{4}-\d{2}-\d{2}$/.test(candidate)) return undefined
    const start = Date.parse(`${candidate}T00:00:00Z`)
    const isCalendarDay = Number.isFinite(start) && new Date(start).toISOString().startsWith(candidate)
    return isCalendarDay ? Decisions.Clock.milliseconds(start + Decisions.Clock.hours(24)) : undefined
  })
}
