/** Reads one message body into memory that the node's owner of memory grants. */
import type * as Http from 'node:http'
import * as neverthrow from 'neverthrow'
import * as BlockPools from './block-pool.js'
import * as Contents from './content.js'
import type * as MemoryBudgets from './memory-budget.js'
import type * as Memories from './memory.js'

export type BodyFailure =
  | { readonly kind: 'too-large', readonly limit: number }
  /** The sender closed the connection before the end of the body. */
  | { readonly kind: 'incomplete' }
  /** The body was given up for the memory of others, or there is no memory for it. */
  | { readonly kind: 'no-memory' }
  /** No byte arrived for the idle timeout. */
  | { readonly kind: 'stalled' }

export type BodyResult = neverthrow.Result<Contents.Content, BodyFailure>

/** A body of up to so many bytes, in chunks of some size, is kept as it arrived, which saves copies. Larger than most responses. */
const LOOSE_BYTES = 262_144
/** Chunks that may be shorter than `LOOSE_CHUNK_BYTES`: more of them would take much more memory than their bytes. */
const LOOSE_CHUNKS = 16
const LOOSE_CHUNK_BYTES = 8_192
/** What the runtime takes for a chunk beside its bytes. */
const CHUNK_OVERHEAD_BYTES = 512

export class BodyReader {
  readonly result: Promise<BodyResult>
  private resolve: (result: BodyResult) => void = () => { /* Set by the promise. */ }
  private chunks: Buffer[] = []
  private blocks: Buffer[] = []
  /** Bytes used of the last block. */
  private filled = BlockPools.BLOCK_BYTES
  private length = 0
  private isFinished = false

  /** @param holding Counts the memory of the body. Released if the body is not read to its end. */
  constructor (private readonly message: Http.IncomingMessage, private readonly limit: number, private readonly memory: Memories.Memory, private readonly holding: MemoryBudgets.Holding) {
    this.result = new Promise(resolve => { this.resolve = resolve })
    holding.drop = reason => { this.fail({ kind: reason === 'memory' ? 'no-memory' : 'stalled' }) }
    if (Number(message.headers['content-length'] ?? 0) > limit) {
      this.fail({ kind: 'too-large', limit })
      return
    }
    if (message.destroyed) {
      this.fail({ kind: 'incomplete' })
      return
    }
    message.on('data', this.add)
    message.on('end', this.end)
    message.on('error', this.abort)
    message.on('close', this.abort)
  }

  private readonly add = (chunk: Buffer): void => {
    if (this.isFinished) return
    if (this.length + chunk.length > this.limit) {
      this.fail({ kind: 'too-large', limit: this.limit })
      return
    }
    const isLoose = this.blocks.length === 0 && this.chunks.length < LOOSE_CHUNKS + this.length / LOOSE_CHUNK_BYTES && this.length + chunk.length <= LOOSE_BYTES
    if (!(isLoose ? this.keep(chunk) : this.store(chunk))) this.fail({ kind: 'no-memory' })
  }

  private keep (chunk: Buffer): boolean {
    if (!this.memory.grow(this.holding, chunk.length + CHUNK_OVERHEAD_BYTES)) return false
    this.chunks.push(chunk)
    this.length += chunk.length
    return true
  }

  /** Copies a chunk into blocks, and the chunks kept before it. */
  private store (chunk: Buffer): boolean {
    const { chunks } = this
    if (chunks.length > 0) {
      this.chunks = []
      this.length = 0
      for (const kept of chunks) {
        if (!this.copy(kept)) return false
        this.memory.shrink(this.holding, kept.length + CHUNK_OVERHEAD_BYTES)
      }
    }
    return this.copy(chunk)
  }

  private copy (chunk: Buffer): boolean {
    this.memory.recordProgress(this.holding)
    this.memory.recordCopied(chunk.length)
    for (let start = 0; start < chunk.length;) {
      if (this.filled === BlockPools.BLOCK_BYTES && !this.addBlock()) return false
      const copied = chunk.copy(this.blocks.at(-1) ?? Contents.EMPTY, this.filled, start)
      start += copied
      this.filled += copied
      this.length += copied
    }
    return true
  }

  private addBlock (): boolean {
    if (!this.memory.grow(this.holding, BlockPools.BLOCK_BYTES)) return false
    this.blocks.push(this.memory.pool.take())
    this.filled = 0
    return true
  }

  private readonly end = (): void => {
    if (!this.message.complete) {
      this.abort()
      return
    }
    if (this.isFinished) return
    this.detach()
    this.holding.drop = undefined
    this.resolve(neverthrow.ok(this.blocks.length === 0 && this.length <= BlockPools.BLOCK_BYTES ? this.joinChunks() : this.passOnBlocks()))
  }

  private joinChunks (): Buffer {
    return this.chunks.length === 1 ? this.chunks[0] ?? Contents.EMPTY : Buffer.concat(this.chunks)
  }

  private passOnBlocks (): Contents.BlockList {
    const last = this.blocks.pop()
    if (last !== undefined) this.blocks.push(last.subarray(0, this.filled))
    const content = new Contents.BlockList(last === undefined ? this.chunks : this.blocks, this.length, this.holding)
    this.memory.releaseWhenUnused(content)
    return content
  }

  private readonly abort = (): void => { this.fail({ kind: 'incomplete' }) }

  private fail (failure: BodyFailure): void {
    if (this.isFinished) return
    this.detach()
    this.message.pause()
    // Nobody else has seen the blocks.
    this.memory.pool.putBack(this.blocks)
    this.chunks = []
    this.blocks = []
    this.memory.release(this.holding)
    this.resolve(neverthrow.err(failure))
  }

  private detach (): void {
    this.isFinished = true
    this.message.off('data', this.add)
    this.message.off('end', this.end)
    this.message.off('close', this.abort)
    // A listener for errors stays: the connection may still fail, which concerns nobody now.
  }
}
