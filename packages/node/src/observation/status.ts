/** What operators see: who serves, who does not and why, and what is stale. */
import * as Decisions from '@jasminedale/decisions'
import type * as LogClients from '../log/log-client.js'
import type * as Metrics from './metrics.js'
import type * as Gateways from '../requests/gateway.js'
import type * as Pools from '../pools.js'

interface Parts {
  readonly engine: Decisions.Engines.Engine
  readonly identity: Decisions.Identities.Identity
  readonly clock: Decisions.Clock.Clock
  readonly logClient: LogClients.LogClient
  readonly gateway: Gateways.Gateway
  readonly pools: Pools.Pools
  readonly metrics: Metrics.Metrics
}

const STREAMS: readonly Decisions.Events.Stream[] = ['configuration', 'roster']

function instant (at: Decisions.Clock.Milliseconds): string {
  return new Date(at).toISOString()
}

function processorTime (): number {
  const { user, system } = process.cpuUsage()
  return user + system
}

export class Status {
  private readonly parts: Parts

  constructor (parts: Parts) {
    this.parts = parts
  }

  report (): unknown {
    const { engine: { board }, identity, clock, gateway, pools, metrics } = this.parts
    return {
      at: instant(clock.now()),
      node: identity.node,
      address: identity.address,
      dataCenter: identity.dataCenter,
      region: identity.region,
      incarnation: identity.incarnation,
      /** Whether callers are served; a node that does not know the configuration yet refuses them. */
      ready: board.configuration.isInitialized,
      configuration: { version: board.configuration.current.version, publication: board.configuration.current.publication },
      stale: this.stale(),
      process: { processorMicroseconds: processorTime(), residentBytes: process.memoryUsage.rss() },
      requestsOpen: gateway.open,
      connectionPools: pools.size,
      members: [...board.members.byNode.values()].map(member => ({ ...member, stateSince: instant(member.stateSince) })),
      targets: [...board.targets.byId.values()].map(target => this.target(target)),
      totals: Object.fromEntries(metrics.totals)
    }
  }

  /** How fast each service spends its error budget, as this node saw it as an entry. */
  burn (): Decisions.BurnReports.Report {
    const { engine: { board }, identity, clock } = this.parts
    return Decisions.BurnReports.createReport(board.burn, identity.node, clock.now())
  }

  /** Everything known about one target, with the decisions that concern it. */
  explain (id: Decisions.Ids.TargetId): unknown {
    const { board } = this.parts.engine
    const target = board.targets.get(id)
    const decisions = board.journal.forTarget(id).map(entry => ({ ...entry, at: instant(entry.at) }))
    if (target === undefined && decisions.length === 0) return undefined
    return { ...(target === undefined ? { target: id, state: 'unknown' } : this.target(target)), decisions }
  }

  private target (target: Decisions.Targets.Target): object {
    const { engine: { board }, identity } = this.parts
    const remote = board.ejections.remote.get(target.target)
    return {
      ...target,
      announcedAt: instant(target.announcedAt),
      standing: target.host === identity.node ? standing(board.ejections.stateOf(target.target)) : remoteStanding(remote),
      evidence: board.evidence.get(target.target),
      limit: board.limits.byTarget.get(target.target)
    }
  }

  /** Parts of the state that cannot be refreshed now, and since when. */
  private stale (): unknown {
    const { logClient } = this.parts
    return STREAMS.flatMap(stream => {
      const since = logClient.failingSince.get(stream)
      if (since === undefined) return []
      const reachedAt = logClient.reachedAt.get(stream)
      return [{ part: `log stream ${stream}`, since: instant(since), lastReached: reachedAt === undefined ? null : instant(reachedAt) }]
    })
  }
}

function standing (value: Decisions.Ejections.EjectionState): unknown {
  if (value.kind === 'in-service') return value
  return { ...value, since: instant(value.since), until: instant(value.until) }
}

/** Only the host knows why; an entry knows that the host refused work. */
function remoteStanding (value: { readonly until: Decisions.Clock.Milliseconds } | undefined): unknown {
  return value === undefined ? { kind: 'in-service' } : { kind: 'ejected', until: instant(value.until), evidence: 'refused by its host; ask the host for the evidence' }
}
