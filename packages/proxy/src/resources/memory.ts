/** Owner of the memory of bodies: counts it, grants it, and gets back what dropped and finished bodies took. */
import type * as Http from 'node:http'
import * as V8 from 'node:v8'
import * as Vm from 'node:vm'
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import type * as Logs from '../observation/log.js'
import type * as Metrics from '../observation/metrics.js'
import type * as Settings from '../settings.js'
import type * as ConfigurationStates from '../state/configuration-state.js'
import * as BlockPools from './block-pool.js'
import * as BodyReaders from './body-reader.js'
import * as Contents from './content.js'
import * as MemoryBudgets from './memory-budget.js'

const BYTES_PER_MB = 1_048_576
/** What the process takes beside its heap and bodies: 50 MB after its start (77 MB with a heap of 27 MB). */
const CODE_BYTES = 52 * BYTES_PER_MB
/** Chunks that were copied and wait for a collection, which the runtime starts at 32 MB of them, and gaps between freed blocks. */
const GARBAGE_BYTES = 46 * BYTES_PER_MB
/** On a machine that has less than the runtime takes. */
const MINIMUM_BYTES = 8 * BYTES_PER_MB
/** Part of the budget that large bodies leave to small ones. */
const SMALL_RESERVE_RATIO = 0.1
/** What a request takes beside its body: the objects of the runtime, and twice the bytes of its fields. */
const REQUEST_OVERHEAD_BYTES = 4_096
const FIELD_RATIO = 2
/** A collection takes 20 to 60 ms on a full core, more on the smallest VMs; they take no more than this part of the time. */
const COLLECTION_RATIO = 0.05
/** Copied chunks after which the young generation is collected when memory is scarce; that takes a few ms. */
const COPIED_LIMIT_BYTES = 8 * BYTES_PER_MB
const SCARCE_RATIO = 0.5
const SWEEP_INTERVAL_MS = 500
/** Blocks that were free for so long are given back; a crowd may come again before. */
const TRIM_INTERVAL = Decisions.Clock.seconds(10)
const DEFAULT_IDLE_TIMEOUT = Decisions.Clock.seconds(15)

export interface MemoryDependencies {
  readonly settings: Pick<Settings.ProxySettings, 'resources'>
  readonly clock: Decisions.Clock.Clock
  readonly log: Logs.Log
  readonly metrics: Metrics.Metrics
  readonly configuration: Pick<ConfigurationStates.ConfigurationState, 'current'>
}

export class Memory {
  readonly pool = new BlockPools.BlockPool()
  private readonly dependencies: MemoryDependencies
  private readonly budget: MemoryBudgets.MemoryBudget
  private totalBytes = MINIMUM_BYTES
  private readonly finished = new Map<MemoryBudgets.Holding, WeakRef<Contents.BlockList>>()
  private readonly registry = new FinalizationRegistry<MemoryBudgets.Holding>(holding => { this.release(holding) })
  private collectGarbage: Collector | undefined
  private copiedBytes = 0
  private nextCollectionAt = Decisions.Clock.milliseconds(0)
  private nextTrimAt = Decisions.Clock.milliseconds(0)
  private timer: NodeJS.Timeout | undefined

  constructor (dependencies: MemoryDependencies) {
    this.dependencies = dependencies
    this.budget = new MemoryBudgets.MemoryBudget(this.measureLimits())
  }

  /** Ends bodies without progress from now on. */
  start (): void {
    this.timer = setInterval(() => { this.sweep() }, SWEEP_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Bytes that bodies, heads and connections take. */
  get used (): number {
    return this.budget.used
  }

  /** Sets what connections take. */
  setOverhead (bytes: number): void {
    this.budget.setOverhead(bytes)
  }

  /** Reads the body of a request. The memory of a small one, and of the head, counts until the response has been sent. */
  async readRequest (request: Http.IncomingMessage, response: Http.ServerResponse, limit: number): Promise<BodyReaders.BodyResult> {
    const holding = this.budget.open(this.dependencies.clock.now())
    if (!response.closed) response.once('close', () => { if (!this.finished.has(holding)) this.release(holding) })
    if (this.grow(holding, headBytes(request))) return await new BodyReaders.BodyReader(request, limit, this, holding).result
    this.release(holding)
    return neverthrow.err({ kind: 'no-memory' })
  }

  /** Reads the body of a response. */
  async readResponse (response: Http.IncomingMessage, limit: number): Promise<BodyReaders.BodyResult> {
    const holding = this.budget.open(this.dependencies.clock.now())
    const result = await new BodyReaders.BodyReader(response, limit, this, holding).result
    // The connection on which it is sent counts a small one.
    if (!this.finished.has(holding)) this.release(holding)
    return result
  }

  /** Sends a response. The connection is closed if others need its memory, or if the peer reads nothing for the idle timeout. */
  send (response: Http.ServerResponse, content: Contents.Content): void {
    if (!(content instanceof Contents.BlockList)) {
      response.end(content)
      return
    }
    const { holding } = content
    this.recordProgress(holding)
    // A response that waits for those in front of it has no socket of its own yet.
    holding.drop = () => { response.req.socket.destroy() }
    response.once('close', () => { holding.drop = undefined })
    Contents.end(response, content, () => { this.recordProgress(holding) })
  }

  /** Grants memory to a holding. Others are dropped for it if need be. */
  grow (holding: MemoryBudgets.Holding, bytes: number): boolean {
    const now = this.dependencies.clock.now()
    const first = this.budget.grow(holding, bytes, now)
    if (first.isGranted) {
      this.pool.trim(this.totalBytes - this.budget.used)
      return true
    }
    this.collect(now)
    const second = this.budget.grow(holding, bytes, now)
    if (second.isGranted) return true
    for (const victim of second.victims) this.drop(victim, 'memory', now)
    return second.victims.length > 0 && this.budget.grow(holding, bytes, now).isGranted
  }

  /** Gives a part of the memory of a holding back. */
  shrink (holding: MemoryBudgets.Holding, bytes: number): void {
    this.budget.shrink(holding, bytes)
  }

  /** Counts chunks that were copied and are garbage now. When memory is scarce, they are collected before the runtime would. */
  recordCopied (bytes: number): void {
    this.copiedBytes += bytes
    if (this.copiedBytes < COPIED_LIMIT_BYTES || this.budget.used < this.totalBytes * SCARCE_RATIO) return
    this.copiedBytes = 0
    this.collector()({ type: 'minor' })
  }

  recordProgress (holding: MemoryBudgets.Holding): void {
    holding.lastProgressAt = this.dependencies.clock.now()
  }

  release (holding: MemoryBudgets.Holding): void {
    this.finished.delete(holding)
    this.budget.release(holding)
  }

  /** Gives the memory of a complete body back when nothing refers to it. */
  releaseWhenUnused (content: Contents.BlockList): void {
    this.finished.set(content.holding, new WeakRef(content))
    this.registry.register(content, content.holding)
  }

  private drop (holding: MemoryBudgets.Holding, reason: MemoryBudgets.DropReason, now: Decisions.Clock.Milliseconds): void {
    const { log, metrics } = this.dependencies
    const isComplete = this.finished.has(holding)
    log.info('body was dropped', { reason, direction: isComplete ? 'sent' : 'received', bytes: holding.bytes, stalledFor: Math.round(now - holding.lastProgressAt), used: this.budget.used })
    metrics.recordDrop(isComplete ? 'response' : 'body', reason)
    const { drop } = holding
    if (isComplete) this.budget.markPending(holding)
    drop?.(reason)
  }

  /** What the heap, which holds configuration and directory, leaves to bodies now. */
  private measureLimits (): MemoryBudgets.MemoryLimits {
    const { memoryBytes } = this.dependencies.settings.resources
    this.totalBytes = Math.max(MINIMUM_BYTES, memoryBytes - CODE_BYTES - GARBAGE_BYTES - V8.getHeapStatistics().total_heap_size)
    return { totalBytes: this.totalBytes, smallReserveBytes: this.totalBytes * SMALL_RESERVE_RATIO }
  }

  private sweep (): void {
    this.budget.setLimits(this.measureLimits())
    const now = this.dependencies.clock.now()
    const timeout = this.dependencies.configuration.current?.limits.idleTimeout ?? DEFAULT_IDLE_TIMEOUT
    for (const holding of this.budget.stalled(timeout, now)) this.drop(holding, 'stalled', now)
    if (now >= this.nextTrimAt) {
      this.pool.trimUnused()
      this.nextTrimAt = Decisions.Clock.add(now, TRIM_INTERVAL)
    }
    this.dependencies.metrics.setHeldBytes(this.budget.used)
  }

  private collector (): Collector {
    return this.collectGarbage ??= exposeCollector()
  }

  /** Collects garbage if finished bodies may be part of it, and counts what they give back. */
  private collect (now: Decisions.Clock.Milliseconds): void {
    if (this.finished.size === 0 || now < this.nextCollectionAt) return
    this.collector()()
    this.copiedBytes = 0
    const elapsed = Decisions.Clock.between(now, this.dependencies.clock.now())
    this.nextCollectionAt = Decisions.Clock.add(now, Decisions.Clock.milliseconds(elapsed / COLLECTION_RATIO))
    for (const [holding, content] of [...this.finished]) if (content.deref() === undefined) this.release(holding)
  }
}

type Collector = (options?: { readonly type: 'minor' }) => void

function headBytes ({ rawHeaders }: Http.IncomingMessage): number {
  return REQUEST_OVERHEAD_BYTES + FIELD_RATIO * rawHeaders.reduce((sum, text) => sum + text.length, 0)
}

/** The runtime's function that collects garbage. It is reachable only with a runtime option, which can be set later. */
function exposeCollector (): Collector {
  V8.setFlagsFromString('--expose-gc')
  return Vm.runInNewContext('gc') as Collector
}
