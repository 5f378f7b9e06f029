/** Digests of a table by bucket, kept up to date with every change. */
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'

/** With 5,200 nodes a bucket holds about 20, which keeps both the digests and a bucket's versions below 2 KB. */
const BUCKETS = 256
const DIGEST_DIGITS = 6
const DIGEST_MASK = 0xffffff
const HEXADECIMAL = 16

export type Version = readonly [number, number, number]

interface Slot { readonly bucket: number, readonly digest: number }

export class Buckets {
  private readonly slots = new Map<Ids.NodeId, Slot>()
  private readonly digests = new Array<number>(BUCKETS).fill(0)
  private readonly keys = Array.from({ length: BUCKETS }, () => new Set<Ids.NodeId>())

  /** Records the version of a key, or with `undefined` takes the key out. */
  set (key: Ids.NodeId, version: Version | undefined): void {
    const old = this.slots.get(key)
    if (old !== undefined) this.toggle(old)
    if (version === undefined) {
      if (old === undefined) return
      this.keys[old.bucket]?.delete(key)
      this.slots.delete(key)
      return
    }
    const bucket = old?.bucket ?? Rendezvous.hash(key) % BUCKETS
    const slot = { bucket, digest: Rendezvous.hash(`${key} ${version.join(' ')}`) & DIGEST_MASK }
    this.slots.set(key, slot)
    this.keys[bucket]?.add(key)
    this.toggle(slot)
  }

  /** Digest of the whole table. */
  digest (): number {
    return Rendezvous.hash(this.text())
  }

  /** Digests of all buckets as one text. */
  text (): string {
    return this.digests.map(digest => digest.toString(HEXADECIMAL).padStart(DIGEST_DIGITS, '0')).join('')
  }

  /** Buckets whose digest in `text` is another one. */
  differing (text: string): number[] {
    const own = this.text()
    const at = (source: string, bucket: number): string => source.slice(bucket * DIGEST_DIGITS, (bucket + 1) * DIGEST_DIGITS)
    return this.digests.flatMap((_, bucket) => at(own, bucket) === at(text, bucket) ? [] : [bucket])
  }

  keysOf (bucket: number): readonly Ids.NodeId[] {
    return [...this.keys[bucket] ?? []]
  }

  private toggle (slot: Slot): void {
    this.digests[slot.bucket] = (this.digests[slot.bucket] ?? 0) ^ slot.digest
  }
}
