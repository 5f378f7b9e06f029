/** Complete message bodies. Most are one buffer; a large one stays in the blocks in which it was read, since joining them would double it. */
import type * as Stream from 'node:stream'
import type * as MemoryBudgets from './memory-budget.js'

export type Content = Buffer | BlockList

export class BlockList {
  /** @param holding The memory that the blocks take. */
  constructor (readonly blocks: readonly Buffer[], readonly length: number, readonly holding: MemoryBudgets.Holding) {}

  toString (): string {
    return toBuffer(this).toString()
  }
}

/** The whole content, copied if it is in blocks. */
export function toBuffer (content: Content): Buffer {
  return content instanceof BlockList ? Buffer.concat(content.blocks, content.length) : content
}

/** The first bytes of the content, and all of it if it is not in blocks. */
export function prefix (content: Content): Buffer {
  return content instanceof BlockList ? content.blocks[0] ?? EMPTY : content
}

/**
 * Writes the content and ends the stream. Many blocks are written one after the other, each when the system has taken the one before.
 * @param onProgress Called when the system has taken a block.
 */
export function end (stream: Stream.Writable, content: Content, onProgress?: () => void): void {
  if (!(content instanceof BlockList)) stream.end(content)
  else if (content.length > TOGETHER_BYTES) writeBlocks(stream, content, 0, onProgress)
  else {
    stream.cork()
    for (const block of content.blocks) stream.write(block)
    stream.end()
  }
}

function writeBlocks (stream: Stream.Writable, content: BlockList, index: number, onProgress: (() => void) | undefined): void {
  const block = content.blocks[index]
  if (stream.destroyed) return
  if (block === undefined) {
    stream.end()
    return
  }
  stream.write(block, error => {
    if (error !== undefined && error !== null) return
    onProgress?.()
    writeBlocks(stream, content, index + 1, onProgress)
  })
}

/** Content of up to this size is written at once. */
const TOGETHER_BYTES = 262_144
export const EMPTY: Buffer = Buffer.alloc(0)
