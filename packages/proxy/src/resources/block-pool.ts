/** Memory blocks for unfinished bodies. A block of a body that was dropped is used again at once, without a garbage collection. */

/** As large as one read of the HTTP library, and half of a small body. */
export const BLOCK_BYTES = 65_536

export class BlockPool {
  private readonly free: Buffer[] = []
  /** Fewest free blocks since `trimUnused`. */
  private leastFree = 0

  take (): Buffer {
    const block = this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES)
    this.leastFree = Math.min(this.leastFree, this.free.length)
    return block
  }

  /** Takes back blocks to which nobody else refers. */
  putBack (blocks: readonly Buffer[]): void {
    for (const block of blocks) this.free.push(block)
  }

  /** Leaves free blocks beyond `bytes` to the garbage collection. */
  trim (bytes: number): void {
    this.free.length = Math.min(this.free.length, Math.ceil(Math.max(0, bytes) / BLOCK_BYTES))
    this.leastFree = Math.min(this.leastFree, this.free.length)
  }

  /** Leaves blocks that were free all the time since the last call to the garbage collection. */
  trimUnused (): void {
    this.free.length -= this.leastFree
    this.leastFree = this.free.length
  }
}
