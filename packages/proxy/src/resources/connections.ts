/** Owner of inbound connections: keeps their number below the descriptors of the process, and counts the memory that they take. */
import type * as Http from 'node:http'
import type * as Net from 'node:net'
import type * as Decisions from '@jasminedale/decisions'
import type * as Logs from '../observation/log.js'
import type * as Metrics from '../observation/metrics.js'
import type * as Settings from '../settings.js'
import * as ConnectionBudgets from './connection-budget.js'
import type * as Memories from './memory.js'

/** For files, the listening addresses, the readiness check, metrics, and connections to the store and to the local target. */
const RESERVED_DESCRIPTORS = 200
/** Parts of the other descriptors, on both sides of a request, and for requests of other nodes. */
const SHARES = { caller: 0.5, node: 0.2, outbound: 0.3 } as const
/** With a reserve that leaves nothing. */
const MINIMUM_CONNECTIONS = 16
/** What a connection takes in the runtime: 800 took 5 MB. */
const CONNECTION_BYTES = 8_192
/** A field takes several times its bytes. */
const HEAD_RATIO = 4
/** Unfinished heads may take this. */
const HEADS_BYTES = 8_388_608
const SWEEP_INTERVAL_MS = 500

export type Side = 'caller' | 'node'

export interface ConnectionsDependencies {
  readonly settings: Pick<Settings.ProxySettings, 'resources'>
  readonly clock: Decisions.Clock.Clock
  readonly log: Logs.Log
  readonly metrics: Metrics.Metrics
  readonly memory: Pick<Memories.Memory, 'setOverhead'>
}

class Tracked extends ConnectionBudgets.Connection {
  private readonly responses = new Set<Http.ServerResponse>()
  private seenBytes = 0
  /** Bytes read when the last request ended. */
  private requestEnd = 0

  constructor (readonly socket: Net.Socket, readonly side: Side, override lastProgressAt: Decisions.Clock.Milliseconds) {
    super()
  }

  override get activity (): ConnectionBudgets.Activity {
    if (this.responses.size === 0) return 'idle'
    return [...this.responses].some(({ req, writableEnded }) => req.complete && !writableEnded) ? 'running' : 'transferring'
  }

  override get headBytes (): number {
    return this.responses.size === 0 ? Math.max(0, this.socket.bytesRead - this.requestEnd) : 0
  }

  /** What the connection takes beside the bodies that are counted elsewhere. */
  get bytes (): number {
    return CONNECTION_BYTES + HEAD_RATIO * this.headBytes + this.socket.writableLength
  }

  begin (response: Http.ServerResponse, now: Decisions.Clock.Milliseconds): void {
    this.responses.add(response)
    this.lastProgressAt = now
  }

  end (response: Http.ServerResponse, now: Decisions.Clock.Milliseconds): void {
    this.responses.delete(response)
    this.requestEnd = this.socket.bytesRead
    this.lastProgressAt = now
  }

  /** Notes whether bytes have arrived or left since the last call. */
  update (now: Decisions.Clock.Milliseconds): void {
    const bytes = this.socket.bytesRead + this.socket.bytesWritten - this.socket.writableLength
    if (bytes !== this.seenBytes) this.lastProgressAt = now
    this.seenBytes = bytes
  }
}

export class Connections {
  /** Most connections to other nodes at a time. */
  readonly outboundLimit: number
  private readonly dependencies: ConnectionsDependencies
  private readonly budgets: Readonly<Record<Side, ConnectionBudgets.ConnectionBudget<Tracked>>>
  private readonly bySocket = new WeakMap<Net.Socket, Tracked>()
  private timer: NodeJS.Timeout | undefined

  constructor (dependencies: ConnectionsDependencies) {
    this.dependencies = dependencies
    const available = dependencies.settings.resources.descriptors - RESERVED_DESCRIPTORS
    const part = (ratio: number): number => Math.max(MINIMUM_CONNECTIONS, Math.floor(ratio * available))
    this.budgets = { caller: new ConnectionBudgets.ConnectionBudget(part(SHARES.caller)), node: new ConnectionBudgets.ConnectionBudget(part(SHARES.node)) }
    this.outboundLimit = part(SHARES.outbound)
  }

  start (): void {
    this.timer = setInterval(() => { this.sweep() }, SWEEP_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Follows the connections and requests of a server. */
  follow (server: Http.Server, side: Side): void {
    server.on('connection', socket => { this.add(socket, side) })
    server.prependListener('request', (request, response) => {
      const tracked = this.bySocket.get(request.socket)
      if (tracked === undefined) return
      tracked.begin(response, this.dependencies.clock.now())
      response.once('close', () => { tracked.end(response, this.dependencies.clock.now()) })
    })
  }

  private add (socket: Net.Socket, side: Side): void {
    const { clock } = this.dependencies
    const budget = this.budgets[side]
    const tracked = new Tracked(socket, side, clock.now())
    this.bySocket.set(socket, tracked)
    budget.add(tracked)
    socket.once('close', () => { budget.remove(tracked) })
    const victim = budget.choose(tracked, clock.now())
    if (victim !== undefined) this.drop(victim, 'descriptors')
  }

  private drop (victim: Tracked, reason: string): void {
    const { log, metrics, clock } = this.dependencies
    const budget = this.budgets[victim.side]
    log.info('connection was dropped', { reason, side: victim.side, activity: victim.activity, idleFor: Math.round(clock.now() - victim.lastProgressAt), connections: budget.size, limit: budget.limit })
    metrics.recordDrop(victim.side, reason)
    budget.remove(victim)
    victim.socket.destroy()
  }

  private sweep (): void {
    const now = this.dependencies.clock.now()
    let bytes = 0
    for (const budget of Object.values(this.budgets)) {
      for (const connection of budget.all) connection.update(now)
      for (const connection of budget.chooseHeads(HEADS_BYTES)) this.drop(connection, 'memory')
      for (const connection of budget.all) bytes += connection.bytes
    }
    this.dependencies.memory.setOverhead(bytes)
  }
}
