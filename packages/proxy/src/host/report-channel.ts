/**
 * Notifies the nodes of the same data center when the circuit breaker of the local target trips or resets, so that they
 * neither send requests to a failing target nor avoid one that has recovered. The notifications are JSON-RPC 2.0 in
 * UDP datagrams without acknowledgement: a lost one costs a refused attempt.
 */
import * as Dgram from 'node:dgram'
import * as Decisions from '@jasminedale/decisions'
import * as JsonRpc from 'json-rpc-2.0'
import * as zod from 'zod'
import type * as Directories from '../directory/directory.js'
import type * as HostViews from '../entry/host-views.js'
import type * as Logs from '../observation/log.js'
import type * as Settings from '../settings.js'
import * as HostReports from './host-report.js'

const METHOD = 'report'
/** Number of nodes that are notified; the other nodes of a larger data center learn the state from refusals. */
const RECIPIENTS_MAXIMUM = 32

const notificationSchema = zod.object({ method: zod.literal(METHOD), params: zod.tuple([zod.string().min(1), zod.string()]) })

export interface ReportChannelDependencies {
  readonly settings: Settings.ProxySettings
  readonly directory: Directories.Directory
  readonly views: HostViews.HostViews
  readonly clock: Decisions.Clock.Clock
  readonly log: Logs.Log
}

export class ReportChannel {
  private readonly dependencies: ReportChannelDependencies
  private readonly socket = Dgram.createSocket('udp4')
  private isOpen = false

  constructor (dependencies: ReportChannelDependencies) {
    this.dependencies = dependencies
    this.socket.on('message', message => { this.receive(message) })
    this.socket.on('error', error => { dependencies.log.warn('UDP socket for reports of other nodes failed', { error: error.message }) })
  }

  /** Binds the port of this node; rejects with the system's error when it is not available. */
  async open (): Promise<void> {
    const { place, reportPort } = this.dependencies.settings
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject)
      this.socket.bind(reportPort, addressOf(place.host), () => {
        this.socket.off('error', reject)
        this.isOpen = true
        resolve()
      })
    })
  }

  /** Sends the report of the local target to the other nodes of this data center. */
  broadcast (target: Decisions.Ids.TargetId, report: HostReports.HostReport): void {
    if (!this.isOpen) return
    const { settings: { place, reportPort }, directory, log } = this.dependencies
    const message = JSON.stringify(JsonRpc.createJSONRPCNotification(METHOD, [target, HostReports.format(report)]))
    const neighbours = directory.readyTargetsInDataCenter(place.dataCenter).filter(registration => registration.host !== place.host)
    for (const { host } of neighbours.slice(0, RECIPIENTS_MAXIMUM)) {
      this.socket.send(message, reportPort, addressOf(host), error => {
        if (error !== null) log.debug('report of the local target could not be sent to a node', { host, error: error.message })
      })
    }
  }

  /** Closes the socket. Reports of requests that end later are dropped. */
  close (): void {
    if (!this.isOpen) return
    this.isOpen = false
    this.socket.close()
  }

  private receive (message: Buffer): void {
    const { directory, views, clock, log } = this.dependencies
    const notification = notificationSchema.safeParse(parseJson(message))
    const report = HostReports.parse(notification.data?.params[1])
    if (notification.data === undefined || report === undefined) {
      log.warn('datagram of another node cannot be read', { bytes: message.length })
      return
    }
    const target = Decisions.Ids.targetId(notification.data.params[0])
    if (directory.get(target) !== undefined) views.recordReport(target, report, clock.now())
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
