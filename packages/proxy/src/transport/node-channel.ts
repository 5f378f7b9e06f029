/** Notifications between nodes: JSON-RPC 2.0 in UDP datagrams, without acknowledgement, so that any of them may be lost. */
import * as Dgram from 'node:dgram'
import type * as Decisions from '@jasminedale/decisions'
import * as JsonRpc from 'json-rpc-2.0'
import * as zod from 'zod'
import type * as Logs from '../observation/log.js'
import type * as Settings from '../settings.js'

const notificationSchema = zod.object({ method: zod.string(), params: zod.array(zod.unknown()) })

/** Handles the parameters of a notification. Returns whether they are valid. */
export type NotificationHandler = (params: readonly unknown[]) => boolean

export interface NodeChannelDependencies {
  readonly settings: Pick<Settings.ProxySettings, 'location' | 'reportPort'>
  readonly log: Logs.Log
}

export class NodeChannel {
  private readonly socket = Dgram.createSocket('udp4')
  private readonly handlers = new Map<string, NotificationHandler>()
  private readonly settings: NodeChannelDependencies['settings']
  private readonly log: Logs.Log
  private isOpen = false

  constructor ({ settings, log }: NodeChannelDependencies) {
    this.settings = settings
    this.log = log
    this.socket.on('message', message => { this.receive(message) })
    this.socket.on('error', error => { log.warn('UDP socket for notifications of other nodes failed', { error: error.message }) })
  }

  /** Sets the handler of a method. Notifications without a handler are logged and ignored. */
  handle (method: string, handler: NotificationHandler): void {
    this.handlers.set(method, handler)
  }

  /** Binds the port of this node; rejects with the system's error when it is not available. */
  async open (): Promise<void> {
    const { location, reportPort } = this.settings
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject)
      this.socket.bind(reportPort, addressOf(location.host), () => {
        this.socket.off('error', reject)
        this.isOpen = true
        resolve()
      })
    })
  }

  /** Sends a notification to the nodes at `hosts`. */
  notify (method: string, params: readonly unknown[], hosts: readonly Decisions.Ids.Endpoint[]): void {
    if (!this.isOpen) return
    const message = JSON.stringify(JsonRpc.createJSONRPCNotification(method, [...params]))
    for (const host of hosts) {
      this.socket.send(message, this.settings.reportPort, addressOf(host), error => {
        if (error !== null) this.log.debug('notification could not be sent to a node', { method, host, error: error.message })
      })
    }
  }

  /** Closes the socket. Notifications of requests that end later are dropped. */
  close (): void {
    if (!this.isOpen) return
    this.isOpen = false
    this.socket.close()
  }

  private receive (message: Buffer): void {
    const notification = notificationSchema.safeParse(parseJson(message))
    const handler = notification.success ? this.handlers.get(notification.data.method) : undefined
    if (notification.success && handler?.(notification.data.params) === true) return
    this.log.warn('datagram of another node cannot be read', { bytes: message.length })
  }
}

function parseJson (message: Buffer): unknown {
  try {
    return JSON.parse(message.toString())
  } catch {
    // The schema rejects undefined, and the caller logs the failure.
    return undefined
  }
}

function addressOf (endpoint: Decisions.Ids.Endpoint): string {
  return endpoint.slice(0, endpoint.lastIndexOf(':'))
}
