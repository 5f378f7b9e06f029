/** Remote calls between nodes: JSON-RPC 2.0 over HTTP, on the address at which nodes also forward requests. */
import type * as Http from 'node:http'
import * as Decisions from '@jasminedale/decisions'
import * as JsonRpc from 'json-rpc-2.0'
import * as neverthrow from 'neverthrow'
import type * as Logs from '../observation/log.js'
import * as Bodies from './body.js'
import type * as ConnectionPools from './connection-pool.js'
import * as Exchanges from './exchange.js'

export const PATH = '/.jasminedale/node'
/** Enough for the sequence numbers of all registrations that a node knows. */
const MAXIMUM_REQUEST_BYTES = 8_388_608
const MAXIMUM_RESPONSE_BYTES = 8_388_608
const STATUS_OK = 200
const CALL_TIMEOUT = Decisions.Clock.milliseconds(700)

export interface CallFailure { readonly kind: 'call-failed', readonly detail: string }

export interface NodeRpcDependencies {
  readonly log: Logs.Log
  readonly connections: ConnectionPools.ConnectionPool
}

export class NodeRpc {
  private readonly server = new JsonRpc.JSONRPCServer()
  private readonly dependencies: NodeRpcDependencies

  constructor (dependencies: NodeRpcDependencies) {
    this.dependencies = dependencies
  }

  /** Adds a method. An exception of the handler, such as one of a schema, is answered as a JSON-RPC error. */
  addMethod (method: string, handler: (params: unknown) => unknown): void {
    this.server.addMethod(method, handler)
  }

  /** Answers a call of another node. */
  async serve (request: Http.IncomingMessage, response: Http.ServerResponse): Promise<void> {
    const body = await Bodies.read(request, MAXIMUM_REQUEST_BYTES)
    if (body.isErr()) this.dependencies.log.info('call of another node could not be read', { failure: body.error.kind })
    const answer = body.isOk() ? await this.server.receiveJSON(body.value.toString()) : null
    response.writeHead(STATUS_OK, { 'content-type': 'application/json' }).end(JSON.stringify(answer))
  }

  /** Calls the node at `address`. The result is not validated. */
  async call (address: Decisions.Ids.Endpoint, method: string, params: JsonRpc.JSONRPCParams): Promise<neverthrow.Result<unknown, CallFailure>> {
    const client = new JsonRpc.JSONRPCClient(async payload => { client.receive(await this.post(address, JSON.stringify(payload))) })
    try {
      return neverthrow.ok(await client.request(method, params) as unknown)
    } catch (error) {
      return neverthrow.err({ kind: 'call-failed', detail: String(error) })
    }
  }

  private async post (address: Decisions.Ids.Endpoint, payload: string): Promise<JsonRpc.JSONRPCResponse> {
    const result = await new Exchanges.Exchange({
      address, method: 'POST', path: PATH, headers: ['Content-Type', 'application/json'], body: Buffer.from(payload),
      timeout: CALL_TIMEOUT, connectTimeout: CALL_TIMEOUT, maximumResponseBytes: MAXIMUM_RESPONSE_BYTES, connections: this.dependencies.connections,
      awaitsConfirmation: false, confirmationTimeout: CALL_TIMEOUT
    }).result
    if (result.kind !== 'answered') throw new Error(result.reason)
    return JSON.parse(result.response.body.toString()) as JsonRpc.JSONRPCResponse
  }
}
