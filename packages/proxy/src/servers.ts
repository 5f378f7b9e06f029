/** The listeners of a node: for callers of its VM and for other nodes. */
import * as Http from 'node:http'
import type * as Decisions from '@jasminedale/decisions'
import type * as Gateways from './entry/gateway.js'
import type * as HostServers from './host/host-server.js'
import type * as Logs from './observation/log.js'
import type * as Settings from './settings.js'
import type * as ConfigurationStates from './state/configuration-state.js'
import * as PeerStates from './state/peer-state.js'

/** Idle time of connections between nodes in ms; the node that opened one closes it first. */
const NODE_IDLE_MS = 60_000
/** Limits for callers before a configuration is known, in ms. */
const IDLE_DEFAULT_MS = 15_000
const HEADER_TIMEOUT_DEFAULT_MS = 5_000
/** Callers time an idle connection from when they have read the response, a network delay after this node. */
const IDLE_MARGIN_MS = 1_000
const HEADER_BYTES = 65_536
/** Interval at which the limits of a newer configuration are taken over, in ms. */
const LIMITS_INTERVAL_MS = 500

export interface ServersParts {
  readonly settings: Settings.ProxySettings
  readonly log: Logs.Log
  readonly gateway: Gateways.Gateway
  readonly hostServer: HostServers.HostServer
  readonly peerState: PeerStates.PeerState
  readonly configuration: ConfigurationStates.ConfigurationState
}

export class Servers {
  private readonly parts: ServersParts
  private readonly callers: Http.Server
  private readonly nodes: Http.Server
  private timer: NodeJS.Timeout | undefined

  constructor (parts: ServersParts) {
    this.parts = parts
    this.callers = this.callerServer()
    this.nodes = this.nodeServer()
  }

  /** Binds both addresses; rejects with the system's error when one is not available. */
  async open (): Promise<void> {
    const { settings } = this.parts
    await Promise.all([listen(this.callers, settings.callerAddress), listen(this.nodes, settings.place.host)])
    this.timer = setInterval(() => { this.applyLimits() }, LIMITS_INTERVAL_MS)
  }

  /** Takes no new connections of callers; requests on open ones are still answered. */
  stopAccepting (): void {
    this.callers.close()
  }

  close (): void {
    clearInterval(this.timer)
    this.callers.close()
    this.nodes.close()
    this.callers.closeIdleConnections()
    this.nodes.closeAllConnections()
  }

  private callerServer (): Http.Server {
    const { gateway, log } = this.parts
    const server = Http.createServer({ maxHeaderSize: HEADER_BYTES, keepAliveTimeout: IDLE_DEFAULT_MS + IDLE_MARGIN_MS, headersTimeout: HEADER_TIMEOUT_DEFAULT_MS, requestTimeout: 0 })
    server.on('request', (request, response) => {
      gateway.handle(request, response).catch((error: unknown) => { fail(log, response, error) })
    })
    return server
  }

  private nodeServer (): Http.Server {
    const { hostServer, peerState, log } = this.parts
    const server = Http.createServer({ maxHeaderSize: HEADER_BYTES, keepAliveTimeout: NODE_IDLE_MS, headersTimeout: 0, requestTimeout: 0 })
    server.on('request', (request, response) => {
      const handled = request.url === PeerStates.PATH ? peerState.serve(request, response) : hostServer.handle(request, response)
      handled.catch((error: unknown) => { fail(log, response, error) })
    })
    return server
  }

  private applyLimits (): void {
    const limits = this.parts.configuration.current?.limits
    if (limits === undefined) return
    this.callers.keepAliveTimeout = limits.idleTimeout + IDLE_MARGIN_MS
    this.callers.headersTimeout = limits.headerTimeout
  }
}

/** A fault in one request must not end the process. Nothing is known of what ran, so the connection is closed. */
function fail (log: Logs.Log, response: Http.ServerResponse, error: unknown): void {
  log.warn('request handler failed', { error: error instanceof Error ? error.stack ?? error.message : String(error) })
  response.destroy()
}

async function listen (server: Http.Server, address: Decisions.Ids.Endpoint): Promise<void> {
  const separator = address.lastIndexOf(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)), backlog: 1024 }, () => {
      server.off('error', reject)
      resolve()
    })
  })
}
