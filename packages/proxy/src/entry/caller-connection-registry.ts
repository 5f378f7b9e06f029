/** The open connections of callers, by socket. */
import type * as Net from 'node:net'
import * as CallerConnections from './caller-connection.js'

export class CallerConnectionRegistry {
  private readonly bySocket = new WeakMap<Net.Socket, CallerConnections.CallerConnection>()

  constructor (private readonly isDraining: () => boolean) {}

  of (socket: Net.Socket): CallerConnections.CallerConnection {
    const existing = this.bySocket.get(socket)
    if (existing !== undefined) return existing
    const created = new CallerConnections.CallerConnection({ isDraining: this.isDraining, end: () => { socket.destroySoon() } })
    this.bySocket.set(socket, created)
    socket.once('close', () => { created.close() })
    return created
  }
}
