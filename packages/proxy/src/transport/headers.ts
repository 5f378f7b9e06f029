/** Header fields as flat arrays of alternating names and values, in the order and case received. */

/** Fields that apply to one connection only (RFC 9110, section 7.6.1), and Expect, which a node answers itself. */
const HOP_BY_HOP_FIELDS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
  'proxy-authenticate', 'proxy-authorization'
])

/** The fields that a proxy forwards: all but the hop-by-hop fields and those in `removed` (lower-case names). */
export function endToEndFields (headers: readonly string[], removed: ReadonlySet<string>): string[] {
  const connectionFields = connectionOptions(headers)
  const kept: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? ''
    const lowerCaseName = name.toLowerCase()
    if (HOP_BY_HOP_FIELDS.has(lowerCaseName) || removed.has(lowerCaseName) || (connectionFields.has(lowerCaseName) && lowerCaseName !== 'content-length')) continue
    kept.push(name, headers[index + 1] ?? '')
  }
  return kept
}

/** Value of the first field with the given lower-case name. */
export function firstValue (headers: readonly string[], name: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) return headers[index + 1]
  }
  return undefined
}

function connectionOptions (headers: readonly string[]): ReadonlySet<string> {
  const value = firstValue(headers, 'connection')
  return value === undefined ? EMPTY_SET : new Set(value.split(',').map(option => option.trim().toLowerCase()))
}

const EMPTY_SET: ReadonlySet<string> = new Set()
