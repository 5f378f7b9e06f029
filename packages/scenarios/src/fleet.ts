/** Creates and connects all fakes of one scenario. */
import * as Decisions from '@jasminedale/decisions'
import * as FakeCallers from './fake-caller.js'
import * as FakeLogs from './fake-log.js'
import * as FakeNodes from './fake-node.js'
import * as FakeServers from './fake-server.js'
import * as Networks from './network.js'
import * as RandomGenerators from './random-generator.js'
import * as Scripts from './script.js'
import type * as Environments from './environment.js'
import * as Timelines from './timeline.js'

/** 2026-12-01T00:00:00Z, so that keys and incarnations contain realistic times. */
const EPOCH_MS = 1_796_083_200_000
const DEFAULT_SEED = 1

export type EngineOptions = Environments.Environment['engineOptions']

export class Fleet implements Environments.Environment, FakeCallers.CallerEnvironment {
  readonly timeline = new Timelines.Timeline(EPOCH_MS)
  readonly seed: number
  readonly random: RandomGenerators.RandomGenerator
  readonly network: Networks.Network
  readonly fakeLog: FakeLogs.FakeLog
  readonly nodes = new Map<string, FakeNodes.FakeNode>()
  readonly servers = new Map<string, FakeServers.FakeServer>()
  readonly callers: readonly FakeCallers.FakeCaller[]
  private readonly nodesByTarget = new Map<string, FakeNodes.FakeNode>()
  private readonly executionCounts = new Map<string, number>()
  private lastNumber = 0

  constructor (readonly script: readonly Scripts.Statement[], readonly engineOptions: EngineOptions) {
    this.seed = Scripts.select(script, 'seed')[0]?.value ?? DEFAULT_SEED
    this.random = new RandomGenerators.RandomGenerator(this.seed)
    this.network = new Networks.Network(this.random, Scripts.select(script, 'latency')[0])
    this.fakeLog = new FakeLogs.FakeLog(this.timeline)
    this.addNodes()
    this.addServers()
    this.callers = Scripts.select(script, 'caller').map(statement => new FakeCallers.FakeCaller(statement, this))
  }

  nextNumber (): number {
    this.lastNumber += 1
    return this.lastNumber
  }

  identity (place: Networks.Place, now: Decisions.Clock.Milliseconds): Decisions.Identities.Identity {
    const seeds = Scripts.select(this.script, 'data-center').map(({ name }) => Decisions.Ids.endpoint(`${name}-1`))
    return {
      node: Decisions.Ids.nodeId(place.node),
      address: Decisions.Ids.endpoint(place.node),
      dataCenter: Decisions.Ids.dataCenter(place.dataCenter),
      region: Decisions.Ids.region(place.region),
      incarnation: Decisions.Ids.incarnation(now),
      seeds: seeds.filter(seed => seed !== place.node)
    }
  }

  server (target: string): FakeServers.FakeServer | undefined {
    return this.servers.get(target)
  }

  host (target: string): FakeNodes.FakeNode | undefined {
    return this.nodesByTarget.get(target)
  }

  nodeAt (address: string): FakeNodes.FakeNode | undefined {
    return this.nodes.get(address)
  }

  nodesIn (region: string): readonly FakeNodes.FakeNode[] {
    return [...this.nodes.values()].filter(node => node.place.region === region && node.state !== 'down')
  }

  executionsOf (id: string): number {
    return this.executionCounts.get(id) ?? 0
  }

  /** The log service is in the first data center. A node that cannot exchange traffic with it sees an unavailable log. */
  log (from: Networks.Place): Pick<FakeLogs.FakeLog, 'read' | 'append'> {
    const first = Scripts.select(this.script, 'data-center')[0]
    const place = { node: 'log', dataCenter: first?.name ?? '', region: first?.region ?? '' }
    if (this.network.isOpen(from, place) && this.network.isOpen(place, from)) return this.fakeLog
    return {
      read: ({ stream }, reply) => { this.timeline.after(0, () => { reply({ kind: 'log-unavailable', stream }) }) },
      append: (stream, token, _body, reply) => {
        this.timeline.after(0, () => { reply({ kind: 'append-finished', stream, token, result: 'failed' }) })
      }
    }
  }

  private addNodes (): void {
    for (const { name, region, nodes } of Scripts.select(this.script, 'data-center')) {
      for (let index = 1; index <= nodes; index++) {
        const place = { node: `${name}-${index}`, dataCenter: name, region }
        this.nodes.set(place.node, new FakeNodes.FakeNode(place, this))
      }
    }
  }

  private addServers (): void {
    const byDataCenter = Scripts.select(this.script, 'data-center').map(({ name }) => this.nodesOf(name))
    for (const statement of Scripts.select(this.script, 'service')) {
      for (let index = 0; index < statement.targets; index++) {
        const nodes = byDataCenter[index % byDataCenter.length] ?? []
        const node = nodes[Math.floor(index / byDataCenter.length) % nodes.length]
        if (node !== undefined) this.addServer(`${statement.name}-${index + 1}`, statement, node)
      }
    }
  }

  private nodesOf (dataCenter: string): readonly FakeNodes.FakeNode[] {
    return [...this.nodes.values()].filter(node => node.place.dataCenter === dataCenter)
  }

  private addServer (name: string, statement: Scripts.ServiceStatement, node: FakeNodes.FakeNode): void {
    const count = (id: string): void => { this.executionCounts.set(id, this.executionsOf(id) + 1) }
    const server = new FakeServers.FakeServer(name, statement, { ...this.serverEnvironment(), countExecution: count, notifyNode: event => { node.step([event]) } })
    this.servers.set(name, server)
    this.nodesByTarget.set(name, node)
  }

  private serverEnvironment (): Pick<FakeServers.ServerEnvironment, 'timeline' | 'random'> {
    return { timeline: this.timeline, random: this.random }
  }
}
