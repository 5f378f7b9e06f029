/** Counts the targets of each service. Targets that left are not counted; targets that vanished are, for a limited time. */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Targets from '../membership/targets.js'

/** A target that vanished without leaving is counted for this long, because operators still expect it back. */
const DEAD_TARGET_MILLISECONDS = 600_000

/** Counts may be this old; the promise protocol needs them many times within a round trip. */
const COUNT_CACHE_MILLISECONDS = 100

interface SeenTarget {
  readonly region: Ids.Region
  readonly at: Clock.Milliseconds
}

export interface TargetCount {
  readonly service: number
  readonly region: number
}

interface CachedCount {
  readonly at: Clock.Milliseconds
  readonly service: number
  readonly byRegion: ReadonlyMap<Ids.Region, number>
}

export class TargetCounts {
  private readonly seen = new Map<Ids.Service, Map<Ids.TargetId, SeenTarget>>()
  private readonly cachedCounts = new Map<Ids.Service, CachedCount>()

  /** Records the targets known now. Called about once a second for each service of this node. */
  update (service: Ids.Service, targets: Targets.Targets, now: Clock.Milliseconds): void {
    const seen = this.seen.get(service) ?? new Map<Ids.TargetId, SeenTarget>()
    this.seen.set(service, seen)
    for (const target of targets.ofService(service)) {
      if (target.state === 'leaving') seen.delete(target.target)
      else seen.set(target.target, { region: target.region, at: now })
    }
    for (const [target, { at }] of seen) if (now - at > DEAD_TARGET_MILLISECONDS) seen.delete(target)
    this.cachedCounts.set(service, countByRegion([...seen.values()], now))
  }

  /** Targets of the service, and those of them in the region. */
  count (service: Ids.Service, region: Ids.Region, targets: Targets.Targets, now: Clock.Milliseconds): TargetCount {
    const known = this.cachedCounts.get(service)
    if (known === undefined || now - known.at >= COUNT_CACHE_MILLISECONDS) this.update(service, targets, now)
    const counted = this.cachedCounts.get(service)
    return { service: counted?.service ?? 0, region: counted?.byRegion.get(region) ?? 0 }
  }
}

function countByRegion (seen: readonly SeenTarget[], at: Clock.Milliseconds): CachedCount {
  const byRegion = new Map<Ids.Region, number>()
  for (const { region } of seen) byRegion.set(region, (byRegion.get(region) ?? 0) + 1)
  return { at, service: seen.length, byRegion }
}
