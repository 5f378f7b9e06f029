/** Reports for operators: state of the members and targets, reasons for ejections, and stale data. */
import * as Decisions from '@jasminedale/decisions'
import type * as LogClients from '../log/log-client.js'
import type * as Metrics from './metrics.js'
import type * as Gateways from '../requests/gateway.js'
import type * as ConnectionPools from '../connection-pools.js'

interface StatusReporterParts {
  readonly engine: Decisions.Engines.Engine
  readonly identity: Decisions.Identities.Identity
  readonly clock: Decisions.Clock.Clock
  readonly logClient: LogClients.LogClient
  readonly gateway: Gateways.Gateway
  readonly pools: ConnectionPools.ConnectionPools
  readonly metrics: Metrics.Metrics
}

const STREAMS: readonly Decisions.Events.Stream[] = ['configuration', 'roster']

function toIsoString (at: Decisions.Clock.Milliseconds): string {
  return new Date(at).toISOString()
}

function readProcessorMicroseconds (): number {
  const { user, system } = process.cpuUsage()
  return user + system
}

export class StatusReporter {
  private readonly parts: StatusReporterParts

  constructor (parts: StatusReporterParts) {
    this.parts = parts
  }

  report (): unknown {
    const { engine: { board }, identity, clock, gateway, pools, metrics } = this.parts
    return {
      at: toIsoString(clock.now()),
      node: identity.node,
      address: identity.address,
      dataCenter: identity.dataCenter,
      region: identity.region,
      incarnation: identity.incarnation,
      /** Whether callers are served; a node refuses them until it has received the configuration. */
      ready: board.configuration.isInitialized,
      configuration: { version: board.configuration.current.version, publication: board.configuration.current.publication },
      stale: this.staleParts(),
      process: { processorMicroseconds: readProcessorMicroseconds(), residentBytes: process.memoryUsage.rss() },
      requestsOpen: gateway.openRequestCount,
      connectionPools: pools.size,
      members: [...board.members.byNode.values()].map(member => ({ ...member, stateSince: toIsoString(member.stateSince) })),
      targets: [...board.targets.byId.values()].map(target => this.describeTarget(target)),
      totals: Object.fromEntries(metrics.totals)
    }
  }

  /** Burn rate of each service's error budget, from the requests that entered the fleet at this node. */
  burn (): Decisions.BurnReports.Report {
    const { engine: { board }, identity, clock } = this.parts
    return Decisions.BurnReports.createReport(board.burn, identity.node, clock.now())
  }

  /** State of one target and the decisions about it; undefined when the node knows neither. */
  explain (id: Decisions.Ids.TargetId): unknown {
    const { board } = this.parts.engine
    const target = board.targets.get(id)
    const decisions = board.journal.forTarget(id).map(entry => ({ ...entry, at: toIsoString(entry.at) }))
    if (target === undefined && decisions.length === 0) return undefined
    return { ...(target === undefined ? { target: id, state: 'unknown' } : this.describeTarget(target)), decisions }
  }

  private describeTarget (target: Decisions.Targets.Target): object {
    const { engine: { board }, identity } = this.parts
    const remote = board.ejections.remote.get(target.target)
    return {
      ...target,
      announcedAt: toIsoString(target.announcedAt),
      standing: target.host === identity.node ? describeStanding(board.ejections.stateOf(target.target)) : describeRemoteStanding(remote),
      evidence: board.evidence.get(target.target),
      limit: board.limits.byTarget.get(target.target)
    }
  }

  /** Log streams that cannot be read at present, each with the start of the failure. */
  private staleParts (): unknown {
    const { logClient } = this.parts
    return STREAMS.flatMap(stream => {
      const since = logClient.failingSince.get(stream)
      if (since === undefined) return []
      const reachedAt = logClient.lastReachedAt.get(stream)
      return [{ part: `log stream ${stream}`, since: toIsoString(since), lastReached: reachedAt === undefined ? null : toIsoString(reachedAt) }]
    })
  }
}

function describeStanding (ejection: Decisions.Ejections.EjectionState): unknown {
  if (ejection.kind === 'in-service') return ejection
  return { ...ejection, since: toIsoString(ejection.since), until: toIsoString(ejection.until) }
}

/** Describes an ejection by another node. This node knows only that the host refused work; the host has the evidence. */
function describeRemoteStanding (ejection: { readonly until: Decisions.Clock.Milliseconds } | undefined): unknown {
  return ejection === undefined ? { kind: 'in-service' } : { kind: 'ejected', until: toIsoString(ejection.until), evidence: 'refused by its host; ask the host for the evidence' }
}
