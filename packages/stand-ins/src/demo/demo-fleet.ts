/** Starts, configures and queries the processes of the demo. */
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as Undici from 'undici'
import * as zod from 'zod'
import type * as Executions from '../executions.js'
import * as FleetProcesses from '../fleet-process.js'

const TARGETS_PER_NODE = 2
const PUBLISH_TIMEOUT_MS = 12_000

const CONFIGURATION = ['[defaults]', 'deadline = 2s', 'drain-limit = 2s', 'capacity-floor = 50%', 'ejection-evidence = 8', ''].join('\n')

const PLACES: readonly FleetProcesses.NodePlace[] = [
  { name: 'burnaby-1', host: '127.0.0.11', dataCenter: 'burnaby-a', region: 'lower-mainland' },
  { name: 'burnaby-2', host: '127.0.0.12', dataCenter: 'burnaby-a', region: 'lower-mainland' },
  { name: 'kelowna-1', host: '127.0.0.13', dataCenter: 'kelowna-a', region: 'interior' },
  { name: 'kelowna-2', host: '127.0.0.14', dataCenter: 'kelowna-a', region: 'interior' }
]

const explanationSchema = zod.object({
  target: zod.string(),
  host: zod.string().optional(),
  standing: zod.object({ kind: zod.string(), since: zod.string().optional(), evidence: zod.string().optional() }),
  decisions: zod.array(zod.object({ at: zod.string(), controller: zod.string(), decision: zod.string(), evidence: zod.string() }))
})

export type Explanation = zod.infer<typeof explanationSchema>

export interface DemoTarget {
  readonly target: string
  readonly address: string
  /** Address of its node. */
  readonly host: string
}

interface DemoNode extends FleetProcesses.NodePlace { readonly address: string }

export class DemoFleet {
  readonly nodes: DemoNode[] = []
  private readonly targets: DemoTarget[] = []
  private readonly processes = new FleetProcesses.FleetProcesses()
  private log = ''

  async start (): Promise<void> {
    this.log = (await this.processes.startStandIn(['log'])).addresses[0] ?? ''
    const first = await this.startNode(PLACES[0], [])
    const seeds = first === undefined ? [] : [first.address]
    await Promise.all(PLACES.slice(1).map(place => this.startNode(place, seeds)))
    await Promise.all(this.nodes.map(node => this.startTargets(node)))
    const expected = this.targets.length
    for (const address of this.addresses()) {
      const ready = await FleetProcesses.waitUntil(async () => (await this.targetCount(address)) === expected)
      if (!ready) throw new Error(`node ${address} does not know all ${expected} backend servers`)
    }
  }

  async stop (): Promise<number> {
    return await this.processes.stop()
  }

  addresses (): string[] {
    return this.nodes.map(node => node.address)
  }

  /** Publishes the configuration with the command line and returns its output and exit code. */
  async publish (): Promise<string> {
    const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'jasminedale-demo-'))
    const file = path.join(directory, 'fleet.ini')
    await fs.writeFile(file, CONFIGURATION)
    const publication = this.processes.start('command-line/dist/main.js', ['publish', file, '--base', '0', '--log', this.log, '--node', this.addresses()[0] ?? ''])
    await FleetProcesses.waitUntil(() => Promise.resolve(publication.child.exitCode !== null), PUBLISH_TIMEOUT_MS)
    await fs.rm(directory, { recursive: true })
    return `${publication.output().trim()} (exit code ${String(publication.child.exitCode)})`
  }

  slowTarget (): DemoTarget {
    const target = this.targets[0]
    if (target === undefined) throw new Error('no backend server was started')
    return target
  }

  async inject (target: DemoTarget, faults: object): Promise<void> {
    const { body } = await Undici.request(`http://${target.address}/stand-in/faults`, { method: 'POST', body: JSON.stringify(faults) })
    await body.dump()
  }

  async explain (target: DemoTarget): Promise<Explanation> {
    return explanationSchema.parse(await FleetProcesses.getJson(target.host, `/.jasminedale/explain?target=${target.target}`))
  }

  async explainIfEjected (target: DemoTarget): Promise<Explanation | undefined> {
    const explanation = await this.explain(target)
    return explanation.standing.kind === 'ejected' ? explanation : undefined
  }

  /** Counts the executions of each idempotency key over all backend servers. */
  async executionsByKey (): Promise<Map<string, number>> {
    const counts = new Map<string, number>()
    for (const target of this.targets) {
      const report = await FleetProcesses.getJson(target.address, '/stand-in/executions') as Executions.ExecutionReport
      for (const [key, count] of Object.entries(report.byKey)) counts.set(key, (counts.get(key) ?? 0) + count.started)
    }
    return counts
  }

  private async startNode (place: FleetProcesses.NodePlace | undefined, seeds: readonly string[]): Promise<DemoNode | undefined> {
    if (place === undefined) return undefined
    const { address } = await this.processes.startNode(place, this.log, seeds)
    const node = { ...place, address }
    this.nodes.push(node)
    return node
  }

  private async startTargets (node: DemoNode): Promise<void> {
    const names = Array.from({ length: TARGETS_PER_NODE }, (_, index) => `${node.name}-accounts-${index + 1}`)
    const { addresses } = await this.processes.startStandIn(['backend', '--target', ...names, '--service', 'accounts', '--host', node.host, '--node', `http://${node.address}`, '--service-time', '10'])
    names.forEach((target, index) => { this.targets.push({ target, address: addresses[index] ?? '', host: node.address }) })
  }

  private async targetCount (address: string): Promise<number> {
    const status = await FleetProcesses.getJson(address, '/.jasminedale/status') as { targets: unknown[] }
    return status.targets.length
  }
}

/** Formats an explanation for the output of the demo. */
export function describe ({ target, host, standing, decisions }: Explanation): string {
  const since = standing.since === undefined ? '' : ` since ${standing.since}`
  return [
    `explain ${target} on ${host ?? 'an unknown host'}: ${standing.kind}${since}${standing.evidence === undefined ? '' : `: ${standing.evidence}`}`,
    ...decisions.slice(-5).map(entry => `  ${entry.at} ${entry.controller}: ${entry.decision} (${entry.evidence})`)
  ].join('\n')
}
