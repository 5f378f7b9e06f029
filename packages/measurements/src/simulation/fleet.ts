/** Simulated fleet: real engines and modelled backend servers on virtual time. */
import * as Decisions from '@jasminedale/decisions'
import * as Schedulers from './scheduler.js'
import * as Distributions from './distribution.js'
import * as Nodes from './node.js'
import * as Servers from './server.js'

export interface FleetOptions {
  readonly seed: number
  /** Data centers of each region. */
  readonly regions: Readonly<Record<string, readonly string[]>>
  readonly nodesPerDataCenter: number
  readonly targetsPerNode: number
  readonly server: Servers.ServerOptions
  readonly policy?: Partial<Decisions.Policies.Policy>
  readonly exceptions?: readonly Decisions.Policies.Exception[]
}

export const SERVICE = Decisions.Ids.service('accounts')
const TICK_INTERVAL_MS = 100
const ANNOUNCE_INTERVAL_MS = 1_000
/** Virtual time at which every node knows all others and their targets. */
export const START_MS = 10_000
const LATENCY_MS = { dataCenter: 0.2, region: 1, far: 8 } as const

export class Fleet {
  readonly scheduler = new Schedulers.Scheduler()
  readonly distribution: Distributions.Distribution
  readonly nodes: Nodes.Node[] = []
  /** Seed nodes, through which the others join. */
  readonly seeds: readonly string[]
  readonly servers = new Map<string, Servers.Server>()
  /** Regions that are cut off from all others. */
  readonly cutRegions = new Set<string>()
  private readonly nodesByTarget = new Map<string, Nodes.Node>()

  constructor (readonly options: FleetOptions) {
    this.seeds = Object.values(options.regions).flatMap(([dataCenter]) => dataCenter === undefined ? [] : [`${dataCenter}-1`])
    this.distribution = new Distributions.Distribution(options.seed)
    for (const [region, dataCenters] of Object.entries(options.regions)) {
      for (const dataCenter of dataCenters) this.addDataCenter(region, dataCenter)
    }
    this.scheduler.after(0, () => { this.announce() })
    this.scheduler.after(TICK_INTERVAL_MS, () => { this.tick() })
    this.scheduler.runUntil(START_MS)
  }

  /** Returns the node on the VM of a target. Throws RangeError for an unknown target. */
  host (target: string): Nodes.Node {
    const node = this.nodesByTarget.get(target)
    if (node === undefined) throw new RangeError(`No target ${target} in the fleet.`)
    return node
  }

  isConnected (left: Nodes.Node, right: Nodes.Node): boolean {
    if (left.region === right.region) return true
    return !this.cutRegions.has(left.region) && !this.cutRegions.has(right.region)
  }

  /** One-way latency in ms. */
  latency (left: Nodes.Node, right: Nodes.Node): number {
    if (left.dataCenter === right.dataCenter) return LATENCY_MS.dataCenter
    return left.region === right.region ? LATENCY_MS.region : LATENCY_MS.far
  }

  /** Calls `onArrival` after the latency, unless the nodes are disconnected at sending or at arrival. */
  deliver (from: Nodes.Node, to: Nodes.Node, onArrival: () => void): void {
    if (this.isConnected(from, to)) this.scheduler.after(this.latency(from, to), () => { if (this.isConnected(from, to)) onArrival() })
  }

  node (name: string): Nodes.Node | undefined {
    return this.nodes.find(node => node.name === name)
  }

  /** Maximum throughput of all servers together, in requests per second. */
  capacity (): number {
    const { slots, serviceTime } = this.options.server
    return this.servers.size * slots / serviceTime * 1_000
  }

  /** Number of executions started at all servers. */
  starts (): number {
    return [...this.servers.values()].reduce((sum, server) => sum + server.startedCount, 0)
  }

  startsOf (id: string): number {
    return [...this.servers.values()].reduce((sum, server) => sum + (server.started.get(id) ?? 0), 0)
  }

  private addDataCenter (region: string, dataCenter: string): void {
    for (let index = 1; index <= this.options.nodesPerDataCenter; index++) {
      const node = new Nodes.Node(`${dataCenter}-${index}`, dataCenter, region, this.options.seed + this.nodes.length, this)
      node.configure(this.options.policy ?? {}, this.options.exceptions ?? [])
      this.nodes.push(node)
      for (let target = 1; target <= this.options.targetsPerNode; target++) {
        const name = `${node.name}-t${target}`
        this.servers.set(name, new Servers.Server(name, this.options.server, this.scheduler, this.distribution))
        this.nodesByTarget.set(name, node)
      }
    }
  }

  /** Announces every running server to the node on its VM. */
  private announce (): void {
    for (const [name, server] of this.servers) if (server.isUp) this.host(name).announce(name, server)
    this.scheduler.after(ANNOUNCE_INTERVAL_MS, () => { this.announce() })
  }

  private tick (): void {
    for (const node of this.nodes) node.step([{ kind: 'tick' }])
    this.scheduler.after(TICK_INTERVAL_MS, () => { this.tick() })
  }
}
