/** Notifications between entries and the arbiters of client accounts: fields in fixed order, unknown trailing fields ignored. */
import * as Decisions from '@jasminedale/decisions'
import * as zod from 'zod'

/** What an entry has seen of one account. Counts are totals of the entry's process, so that a lost or doubled report changes nothing. */
export interface ReportItem {
  readonly account: Decisions.Ids.Account
  /** Requests a second by the entry's configuration. */
  readonly rate: number
  readonly burst: number
  /** Without those that were admitted and have not run. */
  readonly offered: number
  readonly admitted: number
  /** Share of the limit that the entry was last told; 0 if it holds none. */
  readonly share: number
  /** Version of the configuration that states the limit. */
  readonly version: number
  /** Offered and admitted since the report before, for an arbiter that has not heard of this entry. */
  readonly recentlyOffered: number
  readonly recentlyAdmitted: number
}

/** `first` arbitrates the whole limit; `second` only the shares that its reporters bring. */
export type Role = 'first' | 'second'

export interface Header {
  /** Address for the answer, or of the arbiter. */
  readonly from: Decisions.Ids.Endpoint
  /** Start time of the sender's process. */
  readonly incarnation: number
  /** Rises with every message of the process. */
  readonly sequence: number
}

export interface Report extends Header {
  readonly role: Role
  readonly items: readonly ReportItem[]
}

export interface AnswerItem {
  readonly account: Decisions.Ids.Account
  /** Share of its requests that the entry may admit. */
  readonly fraction: number
  /** Share of the limit that the entry may use while it gets no answer. Without it, the entry keeps the share that it has. */
  readonly share?: number
}

export interface Answer extends Header {
  readonly items: readonly AnswerItem[]
}

/** With the envelope of the notification, a datagram stays below about 1,200 bytes, which fits the smallest usual packet. */
const ITEMS_MAXIMUM_BYTES = 1_000
const PRECISION = 1e6

const count = zod.number().nonnegative()
const share = zod.number().min(0).max(1)
const header = [zod.string().regex(/^.+:\d+$/), zod.number(), count] as const
const reportSchema = zod.tuple([...header, zod.enum(['first', 'second']), zod.array(zod.tuple([zod.string().min(1), zod.number().positive(), count, zod.number(), zod.number(), share, count, zod.number(), zod.number()], zod.unknown()))], zod.unknown())
const answerSchema = zod.tuple([...header, zod.array(zod.tuple([zod.string().min(1), share, share.optional()], zod.unknown()))], zod.unknown())

export function encodeReport ({ from, incarnation, sequence, role, items }: Report): readonly unknown[] {
  return [from, incarnation, sequence, role, items.map(item => [item.account, item.rate, item.burst, item.offered, item.admitted, item.share, item.version, item.recentlyOffered, item.recentlyAdmitted])]
}

export function encodeAnswer ({ from, incarnation, sequence, items }: Answer): readonly unknown[] {
  return [from, incarnation, sequence, items.map(({ account, fraction, share: told }) => [account, round(fraction), ...told === undefined ? [] : [round(told)]])]
}

export function decodeReport (params: readonly unknown[]): Report | undefined {
  const read = reportSchema.safeParse(params).data
  if (read === undefined) return undefined
  const [from, incarnation, sequence, role, items] = read
  return {
    from: Decisions.Ids.endpoint(from), incarnation, sequence, role,
    items: items.map(([account, rate, burst, offered, admitted, held, version, recentlyOffered, recentlyAdmitted]) => (
      { account: Decisions.Ids.account(account), rate, burst, offered, admitted, share: held, version, recentlyOffered, recentlyAdmitted }))
  }
}

export function decodeAnswer (params: readonly unknown[]): Answer | undefined {
  const read = answerSchema.safeParse(params).data
  if (read === undefined) return undefined
  const [from, incarnation, sequence, items] = read
  return { from: Decisions.Ids.endpoint(from), incarnation, sequence, items: items.map(([account, fraction, told]) => ({ account: Decisions.Ids.account(account), fraction, ...told === undefined ? {} : { share: told } })) }
}

/** Divides items so that each part fits one datagram. */
export function split<Item extends object> (items: readonly Item[]): readonly (readonly Item[])[] {
  const parts: Item[][] = []
  let bytes = Infinity
  for (const item of items) {
    const size = Buffer.byteLength(JSON.stringify(Object.values(item))) + 1
    if (bytes + size > ITEMS_MAXIMUM_BYTES) {
      parts.push([])
      bytes = 0
    }
    parts.at(-1)?.push(item)
    bytes += size
  }
  return parts
}

/** Rounds down, so that the shares told do not add up to more than the limit. */
export function round (value: number): number {
  return Math.floor(value * PRECISION) / PRECISION
}
