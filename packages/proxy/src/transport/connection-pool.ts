/** Pooled HTTP/1.1 connections that are dropped when they receive bytes nobody asked for. */
import * as Http from 'node:http'
import * as Net from 'node:net'
import type * as Stream from 'node:stream'

/** Idle connections kept per address; bursts above it open new ones. */
const IDLE_CONNECTIONS = 32
/** Margin before the peer's idle timeout, so that a request does not meet a connection that is being closed, in ms. */
const IDLE_MARGIN_MS = 1_500
/** Idle time after which a connection is closed when the peer states no timeout, in ms. */
const IDLE_DEFAULT_MS = 8_000
/** Interval after which the kernel probes an idle connection, in ms. */
const KEEP_ALIVE_PROBE_MS = 1_000
const MILLISECONDS_PER_SECOND = 1_000

export class ConnectionPool extends Http.Agent {
  private readonly idleLimits = new WeakMap<Stream.Duplex, number>()

  constructor () {
    super({ keepAlive: true, keepAliveMsecs: KEEP_ALIVE_PROBE_MS, maxFreeSockets: IDLE_CONNECTIONS, scheduling: 'lifo', noDelay: true })
  }

  /** Notes the idle timeout that the peer states in Keep-Alive. */
  setIdleLimit (socket: Net.Socket, keepAlive: string | readonly string[] | undefined): void {
    const seconds = /(?:^|[,\s])timeout=(?<seconds>\d+)/i.exec(String(keepAlive ?? ''))?.groups?.seconds
    if (seconds !== undefined) this.idleLimits.set(socket, Number(seconds) * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MS)
  }

  /** An idle connection that receives bytes carries a response to no request; reusing it would mix responses up. */
  override keepSocketAlive (socket: Stream.Duplex): boolean {
    super.keepSocketAlive(socket)
    const limit = this.idleLimits.get(socket) ?? IDLE_DEFAULT_MS
    if (socket.readableLength > 0 || limit <= 0) return false
    timeOut(socket, limit)
    socket.on('data', discard)
    socket.resume()
    return true
  }

  override reuseSocket (socket: Stream.Duplex, request: Http.ClientRequest): void {
    socket.off('data', discard)
    timeOut(socket, 0)
    super.reuseSocket(socket, request)
  }
}

function discard (this: Net.Socket): void {
  this.destroy()
}

/** Agents pass sockets as streams; these are TCP sockets. A timeout of 0 ends the watch. */
function timeOut (socket: Stream.Duplex, duration: number): void {
  if (socket instanceof Net.Socket) socket.setTimeout(duration)
}
