/** Pool of HTTP/1.1 connections. An idle connection that receives unexpected bytes is closed. */
import * as Http from 'node:http'
import * as Net from 'node:net'
import type * as Stream from 'node:stream'
import * as ConnectionHistories from './connection-history.js'

/** Idle connections kept for each address; a burst that needs more opens new ones. */
const MAXIMUM_IDLE_CONNECTIONS = 32
/** Closes an idle connection before the peer does, so that no request is sent on a connection that the peer is closing. */
const IDLE_MARGIN_MS = 1_500
/** Idle timeout when the peer states none. */
const DEFAULT_IDLE_TIMEOUT_MS = 8_000
/** Idle time after which the kernel sends TCP keep-alive probes. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000
const MILLISECONDS_PER_SECOND = 1_000

export class ConnectionPool extends Http.Agent {
  readonly history = new ConnectionHistories.ConnectionHistory()
  private readonly idleLimits = new WeakMap<Stream.Duplex, number>()

  private openConnections = 0

  /** @param limit Most connections at a time. */
  constructor (private readonly limit = Infinity) {
    super({ keepAlive: true, keepAliveMsecs: KEEP_ALIVE_PROBE_DELAY_MS, maxFreeSockets: MAXIMUM_IDLE_CONNECTIONS, scheduling: 'lifo', noDelay: true })
  }

  /** Opens a connection, unless as many are open as may be. An idle one is closed for it, since it may lead to another address. */
  override createConnection (options: Http.ClientRequestArgs, callback?: (error: Error | null, stream: Stream.Duplex) => void): Stream.Duplex | null | undefined {
    if (this.openConnections >= this.limit) Object.values(this.freeSockets).flat()[0]?.destroy()
    const socket = super.createConnection(options, callback)
    if (socket === null || socket === undefined) return socket
    if (this.openConnections >= this.limit) socket.destroy(new Error('as many connections are open as the descriptors allow'))
    this.openConnections += 1
    socket.once('close', () => { this.openConnections -= 1 })
    return socket
  }

  /** Sets the idle timeout from the peer's Keep-Alive field, if the field states one. */
  setIdleLimit (socket: Net.Socket, keepAlive: string | readonly string[] | undefined): void {
    const seconds = /(?:^|[,\s])timeout=(?<seconds>\d+)/i.exec(String(keepAlive ?? ''))?.groups?.seconds
    if (seconds !== undefined) this.idleLimits.set(socket, Number(seconds) * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MS)
  }

  /**
   * Keeps a connection for reuse unless it has unread bytes, and closes it if bytes arrive while it is idle. Such bytes
   * belong to no request, and the next request would take them for its response.
   */
  override keepSocketAlive (socket: Stream.Duplex): boolean {
    super.keepSocketAlive(socket)
    const limit = this.idleLimits.get(socket) ?? DEFAULT_IDLE_TIMEOUT_MS
    if (socket.readableLength > 0 || limit <= 0 || !this.history.hasRoom(socket)) return false
    setIdleTimeout(socket, limit)
    socket.on('data', destroySocket)
    socket.resume()
    return true
  }

  /** Closes all idle connections. */
  closeIdle (): void {
    for (const socket of Object.values(this.freeSockets).flat()) socket?.destroy()
  }

  override reuseSocket (socket: Stream.Duplex, request: Http.ClientRequest): void {
    socket.off('data', destroySocket)
    setIdleTimeout(socket, 0)
    super.reuseSocket(socket, request)
  }
}

function destroySocket (this: Net.Socket): void {
  this.destroy()
}

/** Sets the timeout of a socket in ms; 0 disables it. The agent declares its TCP sockets as streams. */
function setIdleTimeout (socket: Stream.Duplex, duration: number): void {
  if (socket instanceof Net.Socket) socket.setTimeout(duration)
}
