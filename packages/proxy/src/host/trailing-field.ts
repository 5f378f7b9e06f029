/** Fields of the form `key=value` after the fixed fields of a message between nodes. Unknown ones are ignored, missing ones have defaults. */

export function isTrailing (field: string): boolean {
  return /^[a-z-]+=/.test(field)
}

/** The value of a field; undefined if it is missing. */
export function read (fields: readonly string[], key: string): string | undefined {
  const prefix = `${key}=`
  return fields.find(field => field.startsWith(prefix))?.slice(prefix.length)
}

/** A positive number; undefined if the field is missing or malformed. */
export function readPositive (fields: readonly string[], key: string): number | undefined {
  const value = Number(read(fields, key))
  return Number.isFinite(value) && value > 0 ? value : undefined
}
