/** Determines the service of a request. */
import type * as Http from 'node:http'
import * as Net from 'node:net'
import * as Decisions from '@jasminedale/decisions'

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/

/** First label of a host name; undefined for localhost and for IP addresses. */
function firstLabel (host: string | undefined): string | undefined {
  const name = host?.replace(/:\d+$/, '')
  if (name === undefined || name === '' || name === 'localhost' || Net.isIP(name.replace(/^\[|\]$/g, '')) !== 0) return undefined
  return name.split('.')[0]
}

function firstSegment (path: string): string | undefined {
  return path.split(/[/?#]/)[1]
}

/** Service named by header `jasminedale-service`, else by the first label of Host, else by the first path segment. */
export function findService (request: Http.IncomingMessage, path: string): Decisions.Ids.Service | undefined {
  const header = request.headers['jasminedale-service']
  const name = typeof header === 'string' ? header : firstLabel(request.headers.host) ?? firstSegment(path)
  return name !== undefined && NAME.test(name) ? Decisions.Ids.service(name) : undefined
}
