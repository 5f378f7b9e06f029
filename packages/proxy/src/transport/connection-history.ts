/**
 * The requests that the open connections of a pool have carried. A peer may send a second copy of a response at any later
 * time on the same connection. The copy can be told from the response to another request by the id that it names, but not
 * from the response to another send of the same request. So no connection carries the same request twice.
 */
import type * as Stream from 'node:stream'
import type * as Decisions from '@jasminedale/decisions'

/** Bounds the memory of one connection; at the limit it is closed. One new connection in so many requests costs little. */
export const MAXIMUM_REQUESTS = 500

export class ConnectionHistory {
  private readonly requestsByConnection = new Map<Stream.Duplex, Set<Decisions.Ids.RequestId>>()

  /** Records that `connection` carries `request` from now on. Returns its position on the connection, 1 for the first. */
  record (connection: Stream.Duplex, request: Decisions.Ids.RequestId): number {
    const requests = this.requestsByConnection.get(connection) ?? this.add(connection)
    requests.add(request)
    return requests.size
  }

  /** Whether an open connection has carried the request. */
  hasCarried (request: Decisions.Ids.RequestId): boolean {
    return [...this.requestsByConnection.values()].some(requests => requests.has(request))
  }

  /** Whether the connection may carry another request. */
  hasRoom (connection: Stream.Duplex): boolean {
    return (this.requestsByConnection.get(connection)?.size ?? 0) < MAXIMUM_REQUESTS
  }

  private add (connection: Stream.Duplex): Set<Decisions.Ids.RequestId> {
    const requests = new Set<Decisions.Ids.RequestId>()
    this.requestsByConnection.set(connection, requests)
    connection.once('close', () => { this.requestsByConnection.delete(connection) })
    return requests
  }
}
