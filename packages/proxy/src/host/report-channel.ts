/**
 * Notifies the nodes of the same data center when the circuit breaker of the local target trips or resets, so that they
 * neither send requests to a failing target nor avoid one that has recovered. A lost notification costs a refused attempt.
 */
import * as Decisions from '@jasminedale/decisions'
import * as zod from 'zod'
import type * as Directories from '../directory/directory.js'
import type * as HostViews from '../entry/host-views.js'
import type * as Settings from '../settings.js'
import type * as NodeChannels from '../transport/node-channel.js'
import * as HostReports from './host-report.js'

const METHOD = 'report'
/** Number of nodes that are notified; the other nodes of a larger data center learn the state from refusals. */
const RECIPIENTS_MAXIMUM = 32

const paramsSchema = zod.tuple([zod.string().min(1), zod.string()])

export interface ReportChannelDependencies {
  readonly settings: Pick<Settings.ProxySettings, 'location'>
  readonly directory: Directories.Directory
  readonly views: HostViews.HostViews
  readonly clock: Decisions.Clock.Clock
  readonly nodeChannel: NodeChannels.NodeChannel
}

export class ReportChannel {
  private readonly dependencies: ReportChannelDependencies

  constructor (dependencies: ReportChannelDependencies) {
    this.dependencies = dependencies
    dependencies.nodeChannel.handle(METHOD, params => this.receive(params))
  }

  /** Sends the report of the local target to the other nodes of this data center. */
  broadcast (target: Decisions.Ids.TargetId, report: HostReports.HostReport): void {
    const { settings: { location }, directory, nodeChannel } = this.dependencies
    const neighbours = directory.readyTargetsInDataCenter(location.dataCenter).map(({ host }) => host).filter(host => host !== location.host)
    nodeChannel.notify(METHOD, [target, HostReports.format(report)], neighbours.slice(0, RECIPIENTS_MAXIMUM))
  }

  private receive (params: readonly unknown[]): boolean {
    const { directory, views, clock } = this.dependencies
    const read = paramsSchema.safeParse(params)
    const report = HostReports.parse(read.data?.[1])
    if (read.data === undefined || report === undefined) return false
    const target = Decisions.Ids.targetId(read.data[0])
    if (directory.get(target) !== undefined) views.recordReport(target, report, clock.now())
    return true
  }
}
