/** Counts a service's targets. Targets that left do not count; dead ones do, for a while. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Targets from '../membership/targets.js'

/** A target that vanished without leaving counts for this long, as an operator would still expect it back. */
const DEAD_MILLISECONDS = 600_000

/** Counts may be this old; a promise protocol asks for them many times within a round trip. */
const COUNT_MILLISECONDS = 100

interface Seen {
  readonly region: Ids.Region
  readonly at: Clock.Milliseconds
}

export interface Count {
  readonly service: number
  readonly region: number
}

interface Tally {
  readonly at: Clock.Milliseconds
  readonly service: number
  readonly byRegion: ReadonlyMap<Ids.Region, number>
}

export class Census {
  private readonly seen = new Map<Ids.Service, Map<Ids.TargetId, Seen>>()
  private readonly tallies = new Map<Ids.Service, Tally>()

  /** Takes note of the targets known now; called about once a second for each service of this node. */
  observe (service: Ids.Service, targets: Targets.Targets, now: Clock.Milliseconds): void {
    const seen = this.seen.get(service) ?? new Map<Ids.TargetId, Seen>()
    this.seen.set(service, seen)
    for (const target of targets.ofService(service)) {
      if (target.state === 'leaving') seen.delete(target.target)
      else seen.set(target.target, { region: target.region, at: now })
    }
    for (const [target, { at }] of seen) if (now - at > DEAD_MILLISECONDS) seen.delete(target)
    this.tallies.set(service, tally([...seen.values()], now))
  }

  count (service: Ids.Service, region: Ids.Region, targets: Targets.Targets, now: Clock.Milliseconds): Count {
    const known = this.tallies.get(service)
    if (known === undefined || now - known.at >= COUNT_MILLISECONDS) this.observe(service, targets, now)
    const counted = this.tallies.get(service)
    return { service: counted?.service ?? 0, region: counted?.byRegion.get(region) ?? 0 }
  }
}

function tally (seen: readonly Seen[], at: Clock.Milliseconds): Tally {
  const byRegion = new Map<Ids.Region, number>()
  for (const { region } of seen) byRegion.set(region, (byRegion.get(region) ?? 0) + 1)
  return { at, service: seen.length, byRegion }
}
