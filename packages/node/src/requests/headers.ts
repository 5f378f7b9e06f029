/** Header lists as flat arrays of names and values, in the order and case received. */
import * as Proxy from '@jasminedale/proxy'

/** Fields of the protocol between nodes. Callers and backend servers cannot set them. */
const BETWEEN_NODES: ReadonlySet<string> = new Set([
  'jasminedale-hop', 'jasminedale-service', 'jasminedale-target', 'jasminedale-from', 'jasminedale-attempts', 'jasminedale-deadline',
  'jasminedale-signature', 'jasminedale-baseline', 'jasminedale-outcome', 'jasminedale-service-time'
])

/** The fields that a proxy passes on. */
export function passedOn (headers: readonly string[]): string[] {
  return Proxy.Headers.endToEndFields(headers, BETWEEN_NODES)
}

export const first = Proxy.Headers.firstValue

/** Decodes header bytes as they came from the connection. */
export function decode (headers: readonly (Buffer | string)[]): string[] {
  return headers.map(part => typeof part === 'string' ? part : part.toString('latin1'))
}
