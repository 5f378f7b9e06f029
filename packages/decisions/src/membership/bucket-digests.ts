/**
 * Incremental digests of a replicated table for anti-entropy. Keys are hashed into buckets; the digest of a bucket
 * is the XOR of the digests of its keys and versions, so that replicas exchange only the buckets that differ.
 */
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'

/** With 5,200 nodes a bucket holds about 20 keys, which keeps the digests and the versions of a bucket below 2 KB each. */
const BUCKET_COUNT = 256
const DIGEST_DIGITS = 6
const DIGEST_MASK = 0xffffff
const HEXADECIMAL = 16

/** Version of an entry, compared element by element. */
export type Version = readonly [number, number, number]

interface KeyDigest { readonly bucket: number, readonly digest: number }

export class BucketDigests {
  private readonly keyDigests = new Map<Ids.NodeId, KeyDigest>()
  private readonly digests = new Array<number>(BUCKET_COUNT).fill(0)
  private readonly keys = Array.from({ length: BUCKET_COUNT }, () => new Set<Ids.NodeId>())

  /** Sets the version of a key; `undefined` removes the key. */
  set (key: Ids.NodeId, version: Version | undefined): void {
    const previous = this.keyDigests.get(key)
    if (previous !== undefined) this.toggleDigest(previous)
    if (version === undefined) {
      if (previous === undefined) return
      this.keys[previous.bucket]?.delete(key)
      this.keyDigests.delete(key)
      return
    }
    const bucket = previous?.bucket ?? Rendezvous.hash(key) % BUCKET_COUNT
    const next = { bucket, digest: Rendezvous.hash(`${key} ${version.join(' ')}`) & DIGEST_MASK }
    this.keyDigests.set(key, next)
    this.keys[bucket]?.add(key)
    this.toggleDigest(next)
  }

  /** Digest of the whole table. */
  tableDigest (): number {
    return Rendezvous.hash(this.encodedDigests())
  }

  /** Digests of all buckets as fixed-width hexadecimal numbers. */
  encodedDigests (): string {
    return this.digests.map(digest => digest.toString(HEXADECIMAL).padStart(DIGEST_DIGITS, '0')).join('')
  }

  /** Buckets whose digests differ from those that a peer has encoded. */
  differingBuckets (encoded: string): number[] {
    const ownDigests = this.encodedDigests()
    const digestAt = (source: string, bucket: number): string => source.slice(bucket * DIGEST_DIGITS, (bucket + 1) * DIGEST_DIGITS)
    return this.digests.flatMap((_, bucket) => digestAt(ownDigests, bucket) === digestAt(encoded, bucket) ? [] : [bucket])
  }

  keysIn (bucket: number): readonly Ids.NodeId[] {
    return [...this.keys[bucket] ?? []]
  }

  private toggleDigest (keyDigest: KeyDigest): void {
    this.digests[keyDigest.bucket] = (this.digests[keyDigest.bucket] ?? 0) ^ keyDigest.digest
  }
}
