/** The requests that each open connection has carried. A late copy of a response may answer any of them. */
import type * as Stream from 'node:stream'
import type * as Decisions from '@jasminedale/decisions'

/** Place of a request among those of its connection. */
export interface ConnectionUse {
  /** 1 for the first request of the connection. */
  readonly position: number
  /** Whether the connection has carried a request with the same id before. */
  readonly isRepeated: boolean
}

export class ConnectionHistory {
  private readonly byConnection = new WeakMap<Stream.Duplex, Decisions.Ids.RequestId[]>()

  /** Records that `connection` carries `request` from now on. */
  record (connection: Stream.Duplex, request: Decisions.Ids.RequestId): ConnectionUse {
    const requests = this.byConnection.get(connection) ?? []
    const isRepeated = requests.includes(request)
    this.byConnection.set(connection, [...requests, request])
    return { position: requests.length + 1, isRepeated }
  }
}
