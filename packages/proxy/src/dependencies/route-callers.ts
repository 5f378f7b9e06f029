/**
 * Recognizes at a host which routes consist of calls, where requests carry no keys: callers send from the VMs of all
 * services, and a backend server from the VMs of its own only.
 *
 * Load pattern: some to some dozen requests a second and route, of which calls come from the VMs of one service.
 */
import type * as Decisions from '@jasminedale/decisions'

/** Probability below which requests from one service alone are no accident. */
const CHANCE_MAXIMUM = 1e-4
/** Time constant in ms with which samples lose weight, so that seldom requests of one service do not add up. */
const MEMORY_MS = 60_000
/** Shortest time in ms between two samples: requests of one caller that follow each other come from the same VM. */
const SAMPLE_INTERVAL_MS = 100
/** Bounds the memory; the route with the oldest sample is dropped. */
const ROUTES_MAXIMUM = 512

interface Samples {
  service: Decisions.Ids.Service
  /** Samples from that service since the last one from another, weighted by age. */
  count: number
  sampledAt: Decisions.Clock.Milliseconds
}

/** Number of registered VMs of a service, and of all. */
export interface VirtualMachines {
  readonly ofService: number
  readonly total: number
}

export class RouteCallers {
  private readonly byRoute = new Map<string, Samples>()

  record (route: string, service: Decisions.Ids.Service, now: Decisions.Clock.Milliseconds): void {
    const samples = this.byRoute.get(route)
    if (samples?.service === service) {
      if (now - samples.sampledAt < SAMPLE_INTERVAL_MS) return
      samples.count = decayed(samples, now) + 1
      samples.sampledAt = now
      return
    }
    if (samples === undefined && this.byRoute.size >= ROUTES_MAXIMUM) this.deleteOldest()
    this.byRoute.set(route, { service, count: 1, sampledAt: now })
  }

  /** The service whose targets send all requests of the route as calls; undefined unless that is certain. */
  callerOf (route: string, machinesOf: (service: Decisions.Ids.Service) => VirtualMachines, now: Decisions.Clock.Milliseconds): Decisions.Ids.Service | undefined {
    const samples = this.byRoute.get(route)
    if (samples === undefined) return undefined
    const { ofService, total } = machinesOf(samples.service)
    if (ofService === 0 || total === 0) return undefined
    return (ofService / total) ** decayed(samples, now) < CHANCE_MAXIMUM ? samples.service : undefined
  }

  private deleteOldest (): void {
    let oldest: readonly [string, number] | undefined
    for (const [route, { sampledAt }] of this.byRoute) if (oldest === undefined || sampledAt < oldest[1]) oldest = [route, sampledAt]
    if (oldest !== undefined) this.byRoute.delete(oldest[0])
  }
}

function decayed ({ count, sampledAt }: Samples, now: Decisions.Clock.Milliseconds): number {
  return count * Math.exp((sampledAt - now) / MEMORY_MS)
}
