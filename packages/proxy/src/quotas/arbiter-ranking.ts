/**
 * Chooses the arbiters of an account by rendezvous hashing over the registered nodes. Addresses are hashed once for each
 * change of the directory: with thousands of nodes, hashing each pair of account and address would take milliseconds.
 *
 * Load pattern: many accounts with few requests each on a large fleet.
 */
import * as Decisions from '@jasminedale/decisions'

export interface Arbiters {
  readonly first: Decisions.Ids.Endpoint
  readonly second: Decisions.Ids.Endpoint | undefined
}

interface Candidate {
  readonly host: Decisions.Ids.Endpoint
  readonly hash: number
}

interface Weighted {
  readonly host: Decisions.Ids.Endpoint
  readonly weight: number
}

export class ArbiterRanking {
  private readonly candidates: readonly Candidate[]
  private readonly hashes: ReadonlyMap<Decisions.Ids.Endpoint, number>

  /**
   * @param own Arbitrates for itself when no node is registered.
   * @param previous The ranking before the change, whose hashes are taken over.
   */
  constructor (hosts: readonly Decisions.Ids.Endpoint[], own: Decisions.Ids.Endpoint, previous?: ArbiterRanking) {
    const known = hosts.length === 0 ? [own] : hosts
    this.hashes = new Map(known.map(host => [host, previous?.hashes.get(host) ?? Decisions.Rendezvous.hash(host)]))
    this.candidates = [...this.hashes].map(([host, hash]) => ({ host, hash }))
  }

  get size (): number {
    return this.candidates.length
  }

  get hosts (): Iterable<Decisions.Ids.Endpoint> {
    return this.hashes.keys()
  }

  of (account: Decisions.Ids.Account): Arbiters {
    const key = Decisions.Rendezvous.hash(account)
    let first: Weighted | undefined
    let second: Weighted | undefined
    for (const { host, hash } of this.candidates) {
      const weight = mix(hash ^ key)
      if (isBefore(host, weight, first)) {
        second = first
        first = { host, weight }
      } else if (isBefore(host, weight, second)) second = { host, weight }
    }
    if (first === undefined) throw new RangeError('no candidates')
    return { first: first.host, second: second?.host }
  }
}

/** Ties go to the smaller address, so that the order of registrations does not matter. */
function isBefore (host: Decisions.Ids.Endpoint, weight: number, other: Weighted | undefined): boolean {
  return other === undefined || weight > other.weight || (weight === other.weight && host < other.host)
}

/** Finalizer of MurmurHash3: spreads each bit of the combined hashes over the whole weight. */
function mix (value: number): number {
  let bits = value
  bits = Math.imul(bits ^ bits >>> 16, 0x85ebca6b)
  bits = Math.imul(bits ^ bits >>> 13, 0xc2b2ae35)
  return (bits ^ bits >>> 16) >>> 0
}
