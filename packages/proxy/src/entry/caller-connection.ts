/** State of a caller's connection, on which requests may wait behind each other. */
import type * as Http from 'node:http'
import type * as Net from 'node:net'

export class CallerConnection {
  private unanswered = 0
  private latest: Http.IncomingMessage | undefined
  private isBroken = false
  private readonly closeListeners = new Set<() => void>()

  constructor (socket: Net.Socket) {
    socket.once('close', () => { for (const listener of [...this.closeListeners]) listener() })
  }

  /**
   * Calls `listener` when the connection closes, unless the returned function has been called. The HTTP library tells
   * that only the first of several responses that wait on the connection.
   */
  whenClosed (listener: () => void): () => void {
    this.closeListeners.add(listener)
    return () => { this.closeListeners.delete(listener) }
  }

  addRequest (request: Http.IncomingMessage): void {
    this.unanswered += 1
    this.latest = request
  }

  removeRequest (): void {
    this.unanswered -= 1
  }

  /** Records that bytes arrived that are no request, so that no further request can be read. Returns whether that is new. */
  markBroken (): boolean {
    const isNew = !this.isBroken
    this.isBroken = true
    return isNew
  }

  /** Whether no other request that can still be answered waits on the connection. */
  get hasOneAnswerLeft (): boolean {
    return this.answerable <= 1
  }

  /** Whether the next answer must close the connection. */
  get mustClose (): boolean {
    return this.isBroken && this.hasOneAnswerLeft
  }

  /** Requests that were read whole and have no answer yet. A request that cannot be read to its end gets none. */
  get answerable (): number {
    const isLatestCutOff = this.isBroken && this.latest?.complete === false
    return this.unanswered - (isLatestCutOff ? 1 : 0)
  }
}

export class CallerConnections {
  private readonly bySocket = new WeakMap<Net.Socket, CallerConnection>()

  of (socket: Net.Socket): CallerConnection {
    const existing = this.bySocket.get(socket)
    if (existing !== undefined) return existing
    const created = new CallerConnection(socket)
    this.bySocket.set(socket, created)
    return created
  }
}
