/**
 * Keeps requests that crash targets away from the rest of the fleet. Hosts report crashes to two nodes that follow from
 * the request's signature; these count them and tell all nodes which requests are suspected or blocked. A node that has
 * missed that learns it from the refusal of a host.
 */
import * as Decisions from '@jasminedale/decisions'
import * as LruCache from 'lru-cache'
import * as zod from 'zod'
import type * as Directories from '../directory/directory.js'
import type * as Logs from '../observation/log.js'
import * as Contents from '../resources/content.js'
import type * as Settings from '../settings.js'
import type * as NodeChannels from '../transport/node-channel.js'
import * as CrashTables from './crash-table.js'

/** Nodes that count the crashes of one request, so that the loss of one of them loses nothing. */
const COUNTING_NODES = 2
const CRASH_METHOD = 'crash'
const COMPLETION_METHOD = 'completion'
const SUSPICION_METHOD = 'suspicion'
const MAXIMUM_REQUESTS = 1_000

/** Signature, and the age in ms of the execution that crashed. */
const crashSchema = zod.tuple([zod.string(), zod.number().nonnegative()])
const completionSchema = zod.tuple([zod.string()])
/** Signature, classification, and the time in ms for which it holds. */
const suspicionSchema = zod.tuple([zod.string(), zod.enum(['suspected', 'blocked', 'cleared']), zod.number().positive()])

interface Classification {
  readonly suspicion: CrashTables.Suspicion
  readonly until: Decisions.Clock.Milliseconds
}

/** What identifies a request that is sent again. */
export interface RequestContent {
  readonly method: string
  readonly path: string
  readonly body: Contents.Content
}

export interface QuarantineDependencies {
  readonly settings: Pick<Settings.ProxySettings, 'location'>
  readonly directory: Directories.Directory
  readonly nodeChannel: Pick<NodeChannels.NodeChannel, 'handle' | 'notify'>
  readonly clock: Decisions.Clock.Clock
  readonly log: Logs.Log
}

export class Quarantine {
  private readonly dependencies: QuarantineDependencies
  private readonly crashTable = new CrashTables.CrashTable()
  private readonly classifications = new LruCache.LRUCache<Decisions.Ids.Signature, Classification>({ max: MAXIMUM_REQUESTS })

  constructor (dependencies: QuarantineDependencies) {
    this.dependencies = dependencies
    const { nodeChannel } = dependencies
    nodeChannel.handle(CRASH_METHOD, params => this.receiveCrash(params))
    nodeChannel.handle(COMPLETION_METHOD, params => this.receiveCompletion(params))
    nodeChannel.handle(SUSPICION_METHOD, params => this.receiveSuspicion(params))
  }

  /** Milliseconds for which the request must not run; undefined if it may. */
  blockedFor (request: RequestContent): number | undefined {
    const known = this.classificationOf(request)
    return known?.suspicion === 'blocked' ? known.until - this.dependencies.clock.now() : undefined
  }

  /** Records that the connection to the target broke while it ran the request, which began at `startedAt`. */
  recordCrash (request: RequestContent, startedAt: Decisions.Clock.Milliseconds): void {
    const { clock, log } = this.dependencies
    const signature = signatureOf(request)
    const age = clock.now() - startedAt
    log.info('target was lost while it ran a request', { signature, path: request.path, age: Math.round(age) })
    for (const host of this.countingNodes(signature)) {
      if (host === this.dependencies.settings.location.host) this.countCrash(signature, age)
      else this.dependencies.nodeChannel.notify(CRASH_METHOD, [signature, age], [host])
    }
  }

  /** Records that a target answered the request, so that it does not crash targets. */
  recordCompletion (request: RequestContent): void {
    if (this.classificationOf(request) === undefined) return
    const signature = signatureOf(request)
    for (const host of this.countingNodes(signature)) {
      if (host === this.dependencies.settings.location.host) this.clear(signature)
      else this.dependencies.nodeChannel.notify(COMPLETION_METHOD, [signature], [host])
    }
  }

  /** Records that another node refused the request as blocked, for a time in ms. */
  recordBlock (request: RequestContent, duration: number): void {
    this.classify(signatureOf(request), 'blocked', duration)
  }

  private classificationOf (request: RequestContent): Classification | undefined {
    // The signature of a large body takes long to compute, and almost always no request is classified.
    if (this.classifications.size === 0) return undefined
    const signature = signatureOf(request)
    const known = this.classifications.get(signature)
    if (known === undefined || known.until > this.dependencies.clock.now()) return known
    this.classifications.delete(signature)
    return undefined
  }

  private classify (signature: Decisions.Ids.Signature, suspicion: CrashTables.Suspicion, duration: number): void {
    const { clock, log } = this.dependencies
    const before = this.classifications.get(signature)?.suspicion
    if (suspicion === 'cleared') this.classifications.delete(signature)
    else this.classifications.set(signature, { suspicion, until: Decisions.Clock.add(clock.now(), Decisions.Clock.milliseconds(duration)) })
    if (before !== suspicion) log.warn(`request that may crash targets: ${suspicion}`, { signature, before, duration })
  }

  private countCrash (signature: Decisions.Ids.Signature, age: number): void {
    const now = this.dependencies.clock.now()
    const suspicion = this.crashTable.recordCrash(signature, Decisions.Clock.milliseconds(now - age), now)
    if (suspicion !== undefined) this.publish(signature, suspicion)
  }

  private clear (signature: Decisions.Ids.Signature): void {
    if (this.crashTable.recordCompletion(signature)) this.publish(signature, 'cleared')
  }

  private publish (signature: Decisions.Ids.Signature, suspicion: CrashTables.Suspicion): void {
    const { nodeChannel, settings } = this.dependencies
    this.classify(signature, suspicion, CrashTables.BLOCK_DURATION)
    nodeChannel.notify(SUSPICION_METHOD, [signature, suspicion, CrashTables.BLOCK_DURATION], this.readyHosts().filter(host => host !== settings.location.host))
  }

  private readyHosts (): Decisions.Ids.Endpoint[] {
    return this.dependencies.directory.allTargets().filter(({ state }) => state === 'ready').map(({ host }) => host)
  }

  private countingNodes (signature: Decisions.Ids.Signature): Decisions.Ids.Endpoint[] {
    return Decisions.Rendezvous.rank(signature, this.readyHosts()).slice(0, COUNTING_NODES)
  }

  private receiveCrash (params: readonly unknown[]): boolean {
    const read = crashSchema.safeParse(params)
    if (read.success) this.countCrash(Decisions.Ids.signature(read.data[0]), read.data[1])
    return read.success
  }

  private receiveCompletion (params: readonly unknown[]): boolean {
    const read = completionSchema.safeParse(params)
    if (read.success) this.clear(Decisions.Ids.signature(read.data[0]))
    return read.success
  }

  private receiveSuspicion (params: readonly unknown[]): boolean {
    const read = suspicionSchema.safeParse(params)
    if (read.success) this.classify(Decisions.Ids.signature(read.data[0]), read.data[1], Math.min(read.data[2], CrashTables.BLOCK_DURATION))
    return read.success
  }
}

function signatureOf ({ method, path, body }: RequestContent): Decisions.Ids.Signature {
  // Of a body in blocks only the first one is taken: to join them would double its memory.
  return Decisions.Ids.signature(Decisions.Rendezvous.digest(Buffer.concat([Buffer.from(`${method} ${path}\n`), Contents.prefix(body)])))
}
