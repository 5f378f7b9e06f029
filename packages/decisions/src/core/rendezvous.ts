/** Rendezvous (highest random weight) hashing. */
import Murmur from 'murmurhash3js-revisited'

const encoder = new TextEncoder()

/** Unsigned 32-bit hash of a text. */
export function hash (text: string): number {
  return Murmur.x86.hash32(encoder.encode(text))
}

/** Hex digest of 128 bits of a text or of bytes. */
export function digest (content: string | Uint8Array): string {
  return Murmur.x64.hash128(typeof content === 'string' ? encoder.encode(content) : content)
}

/** Candidates from the highest to the lowest weight for `key`. Ties go to the smaller name. */
export function rank<Candidate extends string> (key: string, candidates: readonly Candidate[]): Candidate[] {
  return candidates
    .map(candidate => ({ candidate, weight: hash(`${key}\u0000${candidate}`) }))
    .sort((left, right) => right.weight - left.weight || (left.candidate < right.candidate ? -1 : 1))
    .map(entry => entry.candidate)
}
