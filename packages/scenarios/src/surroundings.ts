/** What a fake node sees of the rest of the scenario. */
import type * as Decisions from '@jasminedale/decisions'
import type * as FakeLogs from './fake-log.js'
import type * as FakeNodes from './fake-node.js'
import type * as FakeServers from './fake-server.js'
import type * as Networks from './network.js'
import type * as Randoms from './randomness.js'
import type * as Timelines from './timeline.js'

export interface Surroundings {
  readonly timeline: Timelines.Timeline
  readonly network: Networks.Network
  readonly random: Randoms.Randomness
  readonly seed: number
  readonly engineOptions: Partial<Decisions.Engines.EngineOptions>
  /** A number that no other call returns. */
  fresh (): number
  identity (place: Networks.Place, now: Decisions.Clock.Milliseconds): Decisions.Identities.Identity
  server (target: Decisions.Ids.TargetId): FakeServers.FakeServer | undefined
  /** Seeds are known by address only. */
  nodeAt (address: Decisions.Ids.Endpoint): FakeNodes.FakeNode | undefined
  /** The log as seen from a place; cut off, it is unavailable. */
  log (from: Networks.Place): Pick<FakeLogs.FakeLog, 'read' | 'append'>
}
