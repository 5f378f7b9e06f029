/** Transfers the configuration and registrations between nodes while the shared log does not answer one of them. JSON-RPC 2.0 over HTTP. */
import type * as Http from 'node:http'
import * as Decisions from '@jasminedale/decisions'
import * as JsonRpc from 'json-rpc-2.0'
import * as zod from 'zod'
import type * as Directories from '../directory/directory.js'
import type * as Logs from '../observation/log.js'
import type * as Routes from '../routes/route.js'
import * as Bodies from '../transport/body.js'
import type * as ConnectionPools from '../transport/connection-pool.js'
import * as Exchanges from '../transport/exchange.js'
import type * as ConfigurationStates from './configuration-state.js'
import * as RegistrationRecords from './registration-record.js'

export const PATH = '/.jasminedale/state'
const METHOD = 'state'
const MAXIMUM_REQUEST_BYTES = 65_536
const MAXIMUM_RESPONSE_BYTES = 8_388_608
const STATUS_OK = 200
const REQUEST_TIMEOUT = Decisions.Clock.milliseconds(700)

export interface StateTransferDependencies {
  readonly clock: Decisions.Clock.Clock
  readonly log: Logs.Log
  readonly configuration: ConfigurationStates.ConfigurationState
  readonly directory: Directories.Directory
  readonly connections: ConnectionPools.ConnectionPool
}

/** Version of the configuration in force at the requesting node, and the sequence number of each registration it has. */
const paramsSchema = zod.object({ version: zod.number(), known: zod.record(zod.string(), zod.number()) })

/** The peer validated its configuration when it read it from the shared log; it is not validated again. */
const resultSchema = zod.object({
  /** Whether the peer has recent contact with the shared log. */
  current: zod.boolean(),
  configuration: zod.custom<Routes.RouteConfiguration>(value => typeof value === 'object').optional(),
  registrations: zod.array(zod.unknown())
})

type Params = zod.infer<typeof paramsSchema>
type Result = zod.infer<typeof resultSchema>

export class StateTransfer {
  private readonly server = new JsonRpc.JSONRPCServer()

  constructor (private readonly dependencies: StateTransferDependencies) {
    this.server.addMethod(METHOD, (params: unknown) => this.newerState(paramsSchema.parse(params)))
  }

  /** Answers a request of another node. */
  async serve (request: Http.IncomingMessage, response: Http.ServerResponse): Promise<void> {
    const body = await Bodies.read(request, MAXIMUM_REQUEST_BYTES)
    if (body.isErr()) this.dependencies.log.info('state request of a peer could not be read', { failure: body.error.kind })
    const answer = body.isOk() ? await this.server.receiveJSON(body.value.toString()) : null
    response.writeHead(STATUS_OK, { 'content-type': 'application/json' }).end(JSON.stringify(answer))
  }

  /** Requests newer state from the node at `address` and merges it. Returns whether anything changed. */
  async fetchFrom (address: Decisions.Ids.Endpoint): Promise<boolean> {
    const { clock, log, configuration } = this.dependencies
    const client = new JsonRpc.JSONRPCClient(async payload => { client.receive(await this.post(address, JSON.stringify(payload))) })
    try {
      const result = resultSchema.parse(await client.request(METHOD, this.knownVersions()))
      const changed = this.mergeState(result)
      if (result.current) configuration.recordContact(clock.now())
      if (changed) log.info('state taken over from a peer', { peer: address, version: configuration.version })
      return changed
    } catch (error) {
      log.info('state request to a peer failed', { peer: address, error: String(error) })
      return false
    }
  }

  private async post (address: Decisions.Ids.Endpoint, payload: string): Promise<JsonRpc.JSONRPCResponse> {
    const exchange = new Exchanges.Exchange({
      address, method: 'POST', path: PATH, headers: ['Content-Type', 'application/json'], body: Buffer.from(payload),
      timeout: REQUEST_TIMEOUT, connectTimeout: REQUEST_TIMEOUT, maximumResponseBytes: MAXIMUM_RESPONSE_BYTES, connections: this.dependencies.connections,
      awaitsConfirmation: false, confirmationTimeout: REQUEST_TIMEOUT
    })
    const result = await exchange.result
    if (result.kind !== 'answered') throw new Error(result.reason)
    return JSON.parse(result.response.body.toString()) as JsonRpc.JSONRPCResponse
  }

  private knownVersions (): Params {
    const { configuration, directory } = this.dependencies
    return { version: configuration.version, known: Object.fromEntries(directory.allTargets().map(({ target, sequence }) => [target, sequence])) }
  }

  private newerState (params: Params): Result {
    const { configuration, directory, clock } = this.dependencies
    const { current } = configuration
    const newerRegistrations = directory.allTargets().filter(({ target, sequence }) => sequence > (params.known[target] ?? -1))
    return {
      current: configuration.isCurrent(clock.now()),
      ...(current !== undefined && current.version > params.version ? { configuration: current } : {}),
      registrations: newerRegistrations
    }
  }

  private mergeState (result: Result): boolean {
    const { configuration, directory, log } = this.dependencies
    let changed = result.configuration !== undefined && configuration.replaceIfNewer(result.configuration)
    for (const item of result.registrations) {
      const registration = RegistrationRecords.parse('peer', item)
      if (registration.isOk()) changed = directory.merge(registration.value) || changed
      else log.warn('registration from a peer is invalid', { detail: registration.error.detail })
    }
    return changed
  }
}
