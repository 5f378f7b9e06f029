/** What nodes tell each other while the shared log does not answer one of them. JSON-RPC 2.0 over HTTP. */
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
const REQUEST_LIMIT = 65_536
const RESPONSE_LIMIT = 8_388_608
const STATUS_OK = 200
const TIMEOUT = Decisions.Clock.milliseconds(700)

export interface PeerStateParts {
  readonly clock: Decisions.Clock.Clock
  readonly log: Logs.Log
  readonly configuration: ConfigurationStates.ConfigurationState
  readonly directory: Directories.Directory
  readonly connections: ConnectionPools.ConnectionPool
}

const paramsSchema = zod.object({ version: zod.number(), known: zod.record(zod.string(), zod.number()) })

/** The peer's configuration is checked by the peer; its fields are read as this product's own. */
const resultSchema = zod.object({
  /** Whether the peer itself is in touch with the log. */
  current: zod.boolean(),
  configuration: zod.custom<Routes.RouteConfiguration>(value => typeof value === 'object').optional(),
  registrations: zod.array(zod.unknown())
})

type Params = zod.infer<typeof paramsSchema>
type Result = zod.infer<typeof resultSchema>

export class PeerState {
  private readonly server = new JsonRpc.JSONRPCServer()

  constructor (private readonly parts: PeerStateParts) {
    this.server.addMethod(METHOD, (params: unknown) => this.tell(paramsSchema.parse(params)))
  }

  /** Answers another node. */
  async serve (request: Http.IncomingMessage, response: Http.ServerResponse): Promise<void> {
    const body = await Bodies.read(request, REQUEST_LIMIT)
    if (body.isErr()) this.parts.log.info('question of a peer cannot be read', { failure: body.error.kind })
    const answer = body.isOk() ? await this.server.receiveJSON(body.value.toString()) : null
    response.writeHead(STATUS_OK, { 'content-type': 'application/json' }).end(JSON.stringify(answer))
  }

  /** Asks the node at `address` for what is newer there; tells whether anything was. */
  async ask (address: Decisions.Ids.Endpoint): Promise<boolean> {
    const { clock, log, configuration } = this.parts
    const client = new JsonRpc.JSONRPCClient(async payload => { client.receive(await this.post(address, JSON.stringify(payload))) })
    try {
      const result = resultSchema.parse(await client.request(METHOD, this.known()))
      const changed = this.take(result)
      if (result.current) configuration.recordContact(clock.now())
      if (changed) log.info('state taken over from a peer', { peer: address, version: configuration.version })
      return changed
    } catch (error) {
      log.info('peer gave no state', { peer: address, error: String(error) })
      return false
    }
  }

  private async post (address: Decisions.Ids.Endpoint, payload: string): Promise<JsonRpc.JSONRPCResponse> {
    const exchange = new Exchanges.Exchange({
      address, method: 'POST', path: PATH, headers: ['Content-Type', 'application/json'], body: Buffer.from(payload),
      timeout: TIMEOUT, connectTimeout: TIMEOUT, maximumResponseBytes: RESPONSE_LIMIT, connections: this.parts.connections,
      awaitsConfirmation: false, confirmationTimeout: TIMEOUT
    })
    const end = await exchange.result
    if (end.kind !== 'answered') throw new Error(end.reason)
    return JSON.parse(end.response.body.toString()) as JsonRpc.JSONRPCResponse
  }

  private known (): Params {
    const { configuration, directory } = this.parts
    return { version: configuration.version, known: Object.fromEntries(directory.allTargets().map(({ target, sequence }) => [target, sequence])) }
  }

  private tell (params: Params): Result {
    const { configuration, directory, clock } = this.parts
    const { current } = configuration
    const news = directory.allTargets().filter(({ target, sequence }) => sequence > (params.known[target] ?? -1))
    return {
      current: configuration.isCurrent(clock.now()),
      ...(current !== undefined && current.version > params.version ? { configuration: current } : {}),
      registrations: news
    }
  }

  private take (result: Result): boolean {
    const { configuration, directory, log } = this.parts
    let changed = result.configuration !== undefined && configuration.replaceIfNewer(result.configuration)
    for (const item of result.registrations) {
      const registration = RegistrationRecords.parse('peer', item)
      if (registration.isOk()) changed = directory.merge(registration.value) || changed
      else log.warn('registration from a peer cannot be read', { detail: registration.error.detail })
    }
    return changed
  }
}
