/** Sends and receives control messages between nodes: JSON-RPC 2.0 notifications over UDP or HTTP. */
import * as Datagrams from 'node:dgram'
import * as Decisions from '@jasminedale/decisions'
import * as JsonRpc from 'json-rpc-2.0'
import * as Undici from 'undici'
import * as zod from 'zod'
import * as Endpoints from '../endpoint.js'
import type * as EngineLoops from '../engine-loop.js'
import type * as Loggers from '../observation/logger.js'
import type * as Metrics from '../observation/metrics.js'
import type * as ConnectionPools from '../connection-pools.js'

export const CONTROL_PATH = '/.jasminedale/control'
/** Header with the node address of the sender, whose connection comes from an ephemeral port. */
export const ADDRESS_HEADER = 'jasminedale-address'
const JSON_RPC_METHOD = 'control'
const HTTP_TIMEOUT_MS = 5_000

const paramsSchema = zod.object({
  from: zod.string().min(1).transform(Decisions.Ids.nodeId),
  message: Decisions.Messages.messageSchema
})

/** Why a control message was dropped. */
export type ControlFailure =
  | { readonly kind: 'not-json' }
  | { readonly kind: 'not-json-rpc' }
  | { readonly kind: 'unknown-method', readonly method: string }
  | { readonly kind: 'message-invalid', readonly issues: string }

interface Destination {
  readonly channel: Decisions.Commands.Send['channel']
  readonly address: Decisions.Ids.Endpoint
}

interface ControlChannelParts {
  readonly identity: Decisions.Identities.Identity
  readonly loop: EngineLoops.EngineLoop
  readonly pools: ConnectionPools.ConnectionPools
  readonly logger: Loggers.Logger
  readonly metrics: Metrics.Metrics
}

export class ControlChannel {
  private readonly parts: ControlChannelParts
  private readonly socket = Datagrams.createSocket('udp4')
  private isBound = false
  private readonly client: JsonRpc.JSONRPCClient<Destination>
  private readonly server: JsonRpc.JSONRPCServer<Decisions.Ids.Endpoint>

  constructor (parts: ControlChannelParts) {
    this.parts = parts
    this.client = new JsonRpc.JSONRPCClient<Destination>((payload, destination) => { this.transmit(JSON.stringify(payload), destination) })
    this.server = new JsonRpc.JSONRPCServer<Decisions.Ids.Endpoint>({ errorListener: () => { /* `handleParams` reports its own failures. */ } })
    this.server.addMethod(JSON_RPC_METHOD, (params, sender) => { this.handleParams(params, sender) })
  }

  /** Binds the UDP port. Rejects with the error of the socket. */
  async open (): Promise<void> {
    const { host, port } = Endpoints.parse(this.parts.identity.address)
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject)
      this.socket.bind(port, host, () => {
        this.socket.off('error', reject)
        resolve()
      })
    })
    this.isBound = true
    this.socket.on('error', error => { this.parts.logger.warn({ error: error.message }, 'UDP socket reported an error') })
    this.socket.on('message', (bytes, sender) => {
      this.receive(bytes.toString('utf8'), Decisions.Ids.endpoint(`${sender.address}:${sender.port}`))
    })
  }

  close (): void {
    if (!this.isBound) return
    this.isBound = false
    this.socket.close()
  }

  send (command: Decisions.Commands.Send): void {
    const params = { from: this.parts.identity.node, message: command.message }
    this.client.notify(JSON_RPC_METHOD, params, { channel: command.channel, address: command.address })
  }

  /** Decodes one message. Invalid messages are counted, logged and dropped. */
  receive (text: string, sender: Decisions.Ids.Endpoint): void {
    let json: unknown
    try {
      json = JSON.parse(text)
    } catch {
      this.drop({ kind: 'not-json' }, sender)
      return
    }
    if (!JsonRpc.isJSONRPCRequest(json)) this.drop({ kind: 'not-json-rpc' }, sender)
    else if (!this.server.hasMethod(json.method)) this.drop({ kind: 'unknown-method', method: json.method.slice(0, 64) }, sender)
    else void this.server.receive(json, sender)
  }

  private handleParams (params: unknown, sender: Decisions.Ids.Endpoint): void {
    const parsed = paramsSchema.safeParse(params)
    if (!parsed.success) {
      this.drop({ kind: 'message-invalid', issues: zod.prettifyError(parsed.error).slice(0, 500) }, sender)
      return
    }
    const { from, message } = parsed.data
    this.parts.metrics.count('control.received')
    this.parts.loop.submit({ kind: 'message-received', from, address: sender, message })
  }

  private drop (failure: ControlFailure, sender: Decisions.Ids.Endpoint): void {
    this.parts.metrics.count('control.dropped', { kind: failure.kind })
    this.parts.logger.warn({ failure: { ...failure }, sender }, 'control message dropped')
  }

  private transmit (text: string, { channel, address }: Destination): void {
    this.parts.metrics.count('control.sent', { channel })
    this.parts.metrics.add('control.sent-bytes', Buffer.byteLength(text))
    if (channel === 'datagram') this.transmitOverUdp(text, address)
    else void this.transmitOverHttp(text, address)
  }

  private transmitOverUdp (text: string, address: Decisions.Ids.Endpoint): void {
    const { host, port } = Endpoints.parse(address)
    this.socket.send(text, port, host, error => {
      if (error !== null) this.parts.metrics.count('control.send-failed')
    })
  }

  /** Does not retry: the controllers resend messages that must arrive. */
  private async transmitOverHttp (text: string, address: Decisions.Ids.Endpoint): Promise<void> {
    try {
      const { body } = await Undici.request(`http://${address}${CONTROL_PATH}`, {
        dispatcher: this.parts.pools.poolFor(address),
        method: 'POST',
        headers: { 'content-type': 'application/json', [ADDRESS_HEADER]: this.parts.identity.address },
        body: text,
        signal: AbortSignal.timeout(HTTP_TIMEOUT_MS)
      })
      await body.dump()
    } catch (error) {
      this.parts.metrics.count('control.send-failed')
      this.parts.logger.debug({ address, error: String(error) }, 'control message could not be sent')
    }
  }
}
