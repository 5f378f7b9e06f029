/** Order and end of a connection from a caller: which response is sent next, and which one closes the connection. No I/O. */

import type * as Contents from '../resources/content.js'

/** Response to a caller, before it is decided how the connection goes on. */
export interface Reply {
  readonly status: number
  readonly fields: readonly string[]
  readonly body: Contents.Content
  /** Whether the end of the body is known. Otherwise the body ends with the connection. */
  readonly isFramed: boolean
}

/**
 * Why a response closes its connection. `unframed`: its body has no length. `incomplete`: the rest of its request was not
 * read. `malformed`: the bytes behind its request are no request. `draining`: the node stops.
 */
export type CloseReason = 'unframed' | 'incomplete' | 'malformed' | 'draining'

/** A request of a caller, in its place on the connection. */
export abstract class PipelinedRequest {
  reply: Reply | undefined
  isWritten = false
  isPassedOn = false

  /**
   * @param holdsBack Whether requests behind this one wait for its response. If that closes the connection, they have not
   * run, while a response that cannot be replaced by that of another target is still delivered.
   */
  constructor (readonly holdsBack: boolean) {}

  /** Whether the request was read to its end. */
  abstract get isComplete (): boolean

  abstract write (reply: Reply, closes: CloseReason | undefined): void
}

export interface CallerConnectionOptions {
  /** Whether connections are to be closed when no request waits on them. */
  readonly isDraining: () => boolean
  /** Closes the connection when everything has been sent. */
  readonly end: () => void
}

/**
 * A response closes the connection only if no request behind it was passed on to a target, and from then on none is.
 */
export class CallerConnection {
  /** Requests whose responses have not been sent whole, in order. */
  private readonly requests: PipelinedRequest[] = []
  private readonly waiting = new Map<PipelinedRequest, (mayPassOn: boolean) => void>()
  private readonly closeListeners = new Set<() => void>()
  /** Bytes arrived that are no request, so that nothing behind them can be read. */
  private isBroken = false
  /** The request whose response closes the connection. */
  private last: PipelinedRequest | undefined
  /** Requests that arrive from now on count as not read. */
  private isSealed = false
  /** No further response is sent. */
  private hasEnded = false

  constructor (private readonly options: CallerConnectionOptions) {}

  /** Adds the next request. Returns false if an earlier response closes the connection, so that it counts as not read. */
  add (request: PipelinedRequest): boolean {
    if (this.isSealed) return false
    this.requests.push(request)
    return true
  }

  /** Whether the request must wait for the response to one in front of it. */
  isHeldBack (request: PipelinedRequest): boolean {
    return this.requests.slice(0, this.requests.indexOf(request)).some(other => other.holdsBack && other.reply === undefined)
  }

  /** Resolves when the request may be passed on to a target; false if it counts as not read, because the connection closes in front of it. */
  async mayPassOn (request: PipelinedRequest): Promise<boolean> {
    return await new Promise(resolve => {
      this.waiting.set(request, resolve)
      this.releaseWaiting()
    })
  }

  /**
   * Decides that the response to this request closes the connection, unless a request behind it was passed on. Returns
   * whether it does.
   */
  tryEndWith (request: PipelinedRequest): boolean {
    if (this.last === request) return true
    if (this.last !== undefined || this.behind(request).some(({ isPassedOn }) => isPassedOn)) return false
    this.seal(request)
    return true
  }

  /** Sends the response when those in front of it have been sent. One without a length requires `tryEndWith`. */
  answer (request: PipelinedRequest, reply: Reply): void {
    if (this.hasEnded) return
    request.reply ??= reply
    this.writeReady()
    this.releaseWaiting()
  }

  /** Called when the response has been sent whole. */
  remove (request: PipelinedRequest): void {
    const index = this.requests.indexOf(request)
    if (index >= 0) this.requests.splice(index, 1)
    // The last response may have been sent before the bytes that are no request arrived.
    if (this.isBroken && !this.isSealed && this.answerable === 0) {
      this.finish()
      this.options.end()
    }
  }

  /** Whether bytes that arrive now matter: requests are still read from the connection. */
  get isReadable (): boolean {
    return !this.isBroken && !this.isSealed
  }

  /** Records that bytes arrived that are no request. Returns whether they can be rejected now, since no response is due before. */
  breakOff (): boolean {
    if (!this.isReadable) return false
    this.isBroken = true
    if (this.answerable > 0) return false
    this.finish()
    return true
  }

  /** Requests that can still be answered. */
  get answerable (): number {
    return this.requests.filter(request => this.isAnswerable(request)).length
  }

  /**
   * Calls `listener` when the connection closes, unless the returned function has been called. The HTTP library tells
   * that only the first of several responses that wait on the connection.
   */
  whenClosed (listener: () => void): () => void {
    this.closeListeners.add(listener)
    return () => { this.closeListeners.delete(listener) }
  }

  /** Called when the connection has closed. */
  close (): void {
    this.finish()
    for (const listener of [...this.closeListeners]) listener()
  }

  private writeReady (): void {
    for (const request of [...this.requests]) {
      if (request.isWritten) continue
      const { reply } = request
      if (reply === undefined) return
      const reason = this.closeReason(request, reply)
      request.isWritten = true
      if (reason !== undefined) {
        this.seal(request)
        this.finish()
      }
      request.write(reply, reason)
      if (reason !== undefined) return
    }
  }

  private closeReason (request: PipelinedRequest, reply: Reply): CloseReason | undefined {
    if (!reply.isFramed || this.last === request) return 'unframed'
    if (!request.isComplete) return 'incomplete'
    if (this.behind(request).some(other => this.isAnswerable(other))) return undefined
    if (this.isBroken) return 'malformed'
    return this.options.isDraining() ? 'draining' : undefined
  }

  private seal (request: PipelinedRequest): void {
    this.last = request
    this.isSealed = true
    this.releaseWaiting()
  }

  private finish (): void {
    this.isSealed = true
    this.hasEnded = true
    this.releaseWaiting()
  }

  /** A request that was cut off by malformed bytes never gets a response. */
  private isAnswerable (request: PipelinedRequest): boolean {
    return !this.isBroken || request.isComplete
  }

  private behind (request: PipelinedRequest): PipelinedRequest[] {
    return this.requests.slice(this.requests.indexOf(request) + 1)
  }

  private releaseWaiting (): void {
    for (const [request, resolve] of [...this.waiting]) {
      const isUnread = this.hasEnded || (this.last !== undefined && this.behind(this.last).includes(request))
      if (!isUnread && this.isHeldBack(request)) continue
      this.waiting.delete(request)
      request.isPassedOn = !isUnread
      resolve(!isUnread)
    }
  }
}
