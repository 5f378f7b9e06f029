/** Parses endpoints of the form `ADDRESS:PORT`. */
import type * as Decisions from '@jasminedale/decisions'

export interface HostAndPort {
  readonly host: string
  readonly port: number
}

export function parse (endpoint: Decisions.Ids.Endpoint): HostAndPort {
  const colon = endpoint.lastIndexOf(':')
  return { host: endpoint.slice(0, colon), port: Number(endpoint.slice(colon + 1)) }
}
