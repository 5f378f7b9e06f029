/** Bounds the memory that unfinished message bodies take together, so that endless ones do not end the process. */

/** A body up to this length is always read: bodies that grow without end must not displace ordinary ones. */
const SMALL_BODY_BYTES = 1_048_576

export class BufferBudget {
  private usedBytes = 0

  constructor (private readonly limitBytes: number) {}

  /** Whether a body that has `length` bytes so far may grow by `bytes`. Each granted byte must be released. */
  tryAcquire (bytes: number, length: number): boolean {
    if (length + bytes > SMALL_BODY_BYTES && this.usedBytes + bytes > this.limitBytes) return false
    this.usedBytes += bytes
    return true
  }

  release (bytes: number): void {
    this.usedBytes -= bytes
  }

  get used (): number {
    return this.usedBytes
  }
}
