/** The open connections of callers, by socket. */
import type * as Net from 'node:net'
import * as LingeringCloses from '../transport/lingering-close.js'
import * as CallerConnections from './caller-connection.js'

export class CallerConnectionRegistry {
  private readonly bySocket = new WeakMap<Net.Socket, CallerConnections.CallerConnection>()
  private readonly closing = new Set<Net.Socket>()

  constructor (private readonly isDraining: () => boolean) {}

  of (socket: Net.Socket): CallerConnections.CallerConnection {
    const existing = this.bySocket.get(socket)
    if (existing !== undefined) return existing
    const created = new CallerConnections.CallerConnection({ isDraining: this.isDraining, end: () => { socket.destroySoon() } })
    this.bySocket.set(socket, created)
    socket.once('close', () => {
      this.closing.delete(socket)
      created.close()
    })
    // The HTTP library calls this after a response that closes the connection.
    socket.destroySoon = () => {
      if (socket.destroyed) return
      this.closing.add(socket)
      LingeringCloses.close(socket)
    }
    return created
  }

  /** Connections whose last response was sent, and whose callers have not closed them. */
  get closingCount (): number {
    return this.closing.size
  }
}
