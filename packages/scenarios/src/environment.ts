/** The parts of the scenario that a fake node uses. */
import type * as Decisions from '@jasminedale/decisions'
import type * as FakeLogs from './fake-log.js'
import type * as FakeNodes from './fake-node.js'
import type * as FakeServers from './fake-server.js'
import type * as Networks from './network.js'
import type * as RandomGenerators from './random-generator.js'
import type * as Timelines from './timeline.js'

export interface Environment {
  readonly timeline: Timelines.Timeline
  readonly network: Networks.Network
  readonly random: RandomGenerators.RandomGenerator
  readonly seed: number
  readonly engineOptions: Partial<Decisions.Engines.EngineOptions>
  /** Returns a number that no other call returns. */
  nextNumber (): number
  identity (place: Networks.Place, now: Decisions.Clock.Milliseconds): Decisions.Identities.Identity
  server (target: Decisions.Ids.TargetId): FakeServers.FakeServer | undefined
  /** Looks a node up by its address, since seeds are configured without a node id. */
  nodeAt (address: Decisions.Ids.Endpoint): FakeNodes.FakeNode | undefined
  /** The log service as reachable from a place; unavailable if the network between them is cut. */
  log (from: Networks.Place): Pick<FakeLogs.FakeLog, 'read' | 'append'>
}
