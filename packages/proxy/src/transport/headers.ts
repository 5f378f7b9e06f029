/** Header lists as flat arrays of names and values, in the order and case received. */

/** Fields that concern one connection only (RFC 9110, section 7.6.1), and Expect, which a node answers itself. */
const NOT_PASSED_ON: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
  'proxy-authenticate', 'proxy-authorization'
])

/** The fields that a proxy passes on, without those in `removed` (lower case). */
export function endToEndFields (headers: readonly string[], removed: ReadonlySet<string>): string[] {
  const named = connectionOptions(headers)
  const kept: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? ''
    const lower = name.toLowerCase()
    if (NOT_PASSED_ON.has(lower) || removed.has(lower) || (named.has(lower) && lower !== 'content-length')) continue
    kept.push(name, headers[index + 1] ?? '')
  }
  return kept
}

/** Value of the first field of that lower-case name. */
export function firstValue (headers: readonly string[], name: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) return headers[index + 1]
  }
  return undefined
}

function connectionOptions (headers: readonly string[]): ReadonlySet<string> {
  const value = firstValue(headers, 'connection')
  return value === undefined ? NONE : new Set(value.split(',').map(option => option.trim().toLowerCase()))
}

const NONE: ReadonlySet<string> = new Set()
