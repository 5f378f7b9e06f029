/** Header lists as flat arrays of names and values, in the order and case in which they were received. */
import * as Proxy from '@jasminedale/proxy'

/** Fields of the protocol between nodes. Those set by callers and backend servers are removed. */
const INTERNAL_FIELDS: ReadonlySet<string> = new Set([
  'jasminedale-hop', 'jasminedale-service', 'jasminedale-target', 'jasminedale-from', 'jasminedale-attempts', 'jasminedale-deadline',
  'jasminedale-signature', 'jasminedale-baseline', 'jasminedale-outcome', 'jasminedale-service-time'
])

/** Returns the fields to pass on: without hop-by-hop fields and fields of the protocol between nodes. */
export function endToEndFields (headers: readonly string[]): string[] {
  return Proxy.Headers.endToEndFields(headers, INTERNAL_FIELDS)
}

export const firstValue = Proxy.Headers.firstValue

/** Decodes header bytes as Latin-1. */
export function decode (headers: readonly (Buffer | string)[]): string[] {
  return headers.map(part => typeof part === 'string' ? part : part.toString('latin1'))
}
