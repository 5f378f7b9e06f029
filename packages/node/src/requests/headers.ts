/** Header lists as flat arrays of names and values, in the order and case received. */

/** Fields that concern one connection only (RFC 9110, section 7.6.1), and Expect, which this node answers itself. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
  'proxy-authenticate', 'proxy-authorization'
])

/** Fields of the protocol between nodes. Callers and backend servers cannot set them. */
const BETWEEN_NODES: ReadonlySet<string> = new Set([
  'jasminedale-hop', 'jasminedale-service', 'jasminedale-target', 'jasminedale-from', 'jasminedale-attempts', 'jasminedale-deadline',
  'jasminedale-signature', 'jasminedale-baseline', 'jasminedale-outcome', 'jasminedale-service-time'
])

function connectionOptions (headers: readonly string[]): ReadonlySet<string> {
  const options = new Set<string>()
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== 'connection') continue
    for (const option of (headers[index + 1] ?? '').split(',')) options.add(option.trim().toLowerCase())
  }
  return options
}

/** The fields that a proxy passes on. */
export function passedOn (headers: readonly string[]): string[] {
  const named = connectionOptions(headers)
  const kept: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? ''
    const lower = name.toLowerCase()
    if (HOP_BY_HOP.has(lower) || BETWEEN_NODES.has(lower) || (named.has(lower) && lower !== 'content-length')) continue
    kept.push(name, headers[index + 1] ?? '')
  }
  return kept
}

/** Value of the first field of that lower-case name. */
export function first (headers: readonly string[], name: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) return headers[index + 1]
  }
  return undefined
}

/** Decodes header bytes as they came from the connection. */
export function decode (headers: readonly (Buffer | string)[]): string[] {
  return headers.map(part => typeof part === 'string' ? part : part.toString('latin1'))
}
