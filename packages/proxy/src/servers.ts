/** HTTP servers of a node: one for the callers on its VM, one for other nodes. */
import * as Http from 'node:http'
import * as Net from 'node:net'
import type * as Decisions from '@jasminedale/decisions'
import * as Gateways from './entry/gateway.js'
import type * as HostServers from './host/host-server.js'
import type * as Logs from './observation/log.js'
import type * as ConnectionOwners from './resources/connections.js'
import type * as Settings from './settings.js'
import type * as ConfigurationStates from './state/configuration-state.js'
import * as NodeRpcs from './transport/node-rpc.js'

/** Longer than the idle timeout of the connecting node, so that the connecting node closes first. */
const NODE_IDLE_TIMEOUT_MS = 60_000
/** Timeouts for callers until a configuration is known. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000
const DEFAULT_HEADER_TIMEOUT_MS = 5_000
/** Callers start their idle timeout when they have read the response, a network delay later than this node. */
const IDLE_MARGIN_MS = 1_000
const MAXIMUM_HEADER_BYTES = 65_536
/** Interval at which the limits of the configuration in force are applied to the server. */
const LIMITS_UPDATE_INTERVAL_MS = 500

export interface ServersDependencies {
  readonly settings: Settings.ProxySettings
  readonly log: Logs.Log
  readonly gateway: Gateways.Gateway
  readonly hostServer: HostServers.HostServer
  readonly nodeRpc: NodeRpcs.NodeRpc
  readonly configuration: ConfigurationStates.ConfigurationState
  readonly inboundConnections: ConnectionOwners.Connections
}

export class Servers {
  private readonly dependencies: ServersDependencies
  private readonly callerServer: Http.Server
  private readonly nodeServer: Http.Server
  private limitsTimer: NodeJS.Timeout | undefined

  constructor (dependencies: ServersDependencies) {
    this.dependencies = dependencies
    this.callerServer = this.createCallerServer()
    this.nodeServer = this.createNodeServer()
    dependencies.inboundConnections.follow(this.callerServer, 'caller')
    dependencies.inboundConnections.follow(this.nodeServer, 'node')
  }

  /** Listens on both addresses. Rejects with the system's error when one is not available. */
  async open (): Promise<void> {
    const { settings } = this.dependencies
    await Promise.all([listen(this.callerServer, settings.callerAddress), listen(this.nodeServer, settings.location.host)])
    this.dependencies.inboundConnections.start()
    this.limitsTimer = setInterval(() => { this.applyLimits() }, LIMITS_UPDATE_INTERVAL_MS)
  }

  /** Stops accepting connections of callers. Requests on open connections are still answered. */
  stopAccepting (): void {
    // The method of the HTTP server also closes connections whose last response is still being sent.
    Net.Server.prototype.close.call(this.callerServer)
  }

  close (): void {
    clearInterval(this.limitsTimer)
    this.dependencies.inboundConnections.stop()
    this.callerServer.close()
    this.nodeServer.close()
    this.callerServer.closeIdleConnections()
    this.nodeServer.closeAllConnections()
  }

  private createCallerServer (): Http.Server {
    const { gateway, log } = this.dependencies
    const server = Http.createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS, headersTimeout: DEFAULT_HEADER_TIMEOUT_MS, requestTimeout: 0,
      // The library's own rejection closes the connection, whatever runs behind it.
      requireHostHeader: false
    })
    server.on('request', (request, response) => {
      gateway.handle(request, response).catch((error: unknown) => { abortResponse(log, response, error) })
    })
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => { if (socket instanceof Net.Socket) gateway.rejectMalformed(error.code, socket) })
    server.on('connect', (_request, socket) => { if (socket instanceof Net.Socket) gateway.rejectMalformed(Gateways.TUNNEL_REQUESTED, socket) })
    return server
  }

  private createNodeServer (): Http.Server {
    const { hostServer, nodeRpc, log } = this.dependencies
    const server = Http.createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES, keepAliveTimeout: NODE_IDLE_TIMEOUT_MS, headersTimeout: 0, requestTimeout: 0 })
    server.on('request', (request, response) => {
      const handled = request.url === NodeRpcs.PATH ? nodeRpc.serve(request, response) : hostServer.handle(request, response)
      handled.catch((error: unknown) => { abortResponse(log, response, error) })
    })
    return server
  }

  private applyLimits (): void {
    const limits = this.dependencies.configuration.current?.limits
    if (limits === undefined) return
    this.callerServer.keepAliveTimeout = limits.idleTimeout + IDLE_MARGIN_MS
    this.callerServer.headersTimeout = limits.headerTimeout
  }
}

/**
 * Keeps an error in one request from ending the process. Whether the request ran is unknown, so the connection is closed
 * without a response.
 */
function abortResponse (log: Logs.Log, response: Http.ServerResponse, error: unknown): void {
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
