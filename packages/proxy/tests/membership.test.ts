import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Directories from '../src/directory/directory.js'
import type * as Registrations from '../src/directory/registration.js'
import * as HostViews from '../src/entry/host-views.js'
import * as LocalTargets from '../src/host/local-target.js'
import * as Membership from '../src/membership.js'
import * as Logs from '../src/observation/log.js'
import * as Samples from './support/samples.js'

const HOST = Decisions.Ids.endpoint('10.0.0.1:80')
const TARGET = Decisions.Ids.targetId('t1')

interface StartedNode { readonly membership: Membership.Membership, readonly localTarget: LocalTargets.LocalTarget, readonly published: Registrations.Registration[], readonly directory: Directories.Directory }

/** A node that has just started and has not read the directory. `write` resolves when the shared log holds a registration. */
function startNode (write = Promise.resolve()): StartedNode {
  const directory = new Directories.Directory()
  const localTarget = new LocalTargets.LocalTarget()
  const published: Registrations.Registration[] = []
  const membership = new Membership.Membership({
    settings: {
      node: Decisions.Ids.nodeId('n'), service: Samples.SERVICE, targetAddress: HOST, callerAddress: HOST, checksum: '0', shutdownTimeout: Decisions.Clock.seconds(6),
      location: { host: HOST, dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') },
      reportPort: 1, retryBudget: { window: Decisions.Clock.seconds(10), ratio: 0.2, slack: 60 }, ...Samples.LIMIT_SETTINGS
    },
    log: new Logs.SilentLog(), directory, localTarget, views: new HostViews.HostViews(),
    host: { resetTarget: () => { /* Ignored. */ } },
    registrar: {
      publish: registration => {
        published.push(registration)
        return write
      }
    }
  })
  return { membership, localTarget, published, directory }
}

// Guards against a restarted node that sends its target nothing until the next announcement.
test('restarted node adopts its registered target', () => {
  const { membership, localTarget, directory } = startNode()
  directory.merge(Samples.registration('t1', { host: HOST }))
  membership.adoptRegistration()
  assert.equal(localTarget.isReady, true)
})

// Guards against adopting a target that deregistered before this node had read the directory.
test('deregistered target is not adopted', async () => {
  const { membership, localTarget, published, directory } = startNode()
  assert.equal(await membership.deregister(TARGET), false, 'not acknowledged before the directory is read')
  directory.merge(Samples.registration('t1', { host: HOST }))
  membership.adoptRegistration()
  assert.equal(localTarget.isReady, false)
  assert.deepEqual(published.map(({ target, state }) => [target, state]), [['t1', 'gone']])
})

// Guards against a delayed announcement that makes a deregistered target ready again.
test('announcement after a deregistration is outdated', async () => {
  const { membership, localTarget } = startNode()
  const announcement: LocalTargets.Announcement = { target: TARGET, service: Samples.SERVICE, slots: 4, state: 'ready', incarnation: Decisions.Ids.incarnation(100), sequence: 3 }
  await membership.deregister(TARGET, Decisions.Ids.incarnation(100))
  await membership.applyAnnouncement(announcement)
  assert.equal(localTarget.isReady, false)
  await membership.applyAnnouncement({ ...announcement, incarnation: Decisions.Ids.incarnation(200), sequence: 1 })
  assert.equal(localTarget.isReady, true, 'a later process under the same id is new')
})

// Guards against an earlier target of this host that stays registered as ready after it has deregistered.
test('deregistration of an earlier target is published', async () => {
  const { membership, published, directory } = startNode()
  directory.merge(Samples.registration('old', { host: HOST }))
  assert.equal(await membership.deregister(Decisions.Ids.targetId('old')), true)
  assert.deepEqual(published.map(({ state }) => state), ['gone'])
})

// Guards against a leaving target that its node, once restarted, takes for ready because the target still announces itself so.
test('announcement does not make a registered leaving target ready', async () => {
  const { membership, localTarget, directory } = startNode()
  directory.merge(Samples.registration('t1', { host: HOST, state: 'leaving', sequence: 3 }))
  membership.adoptRegistration()
  await membership.applyAnnouncement({ target: TARGET, service: Samples.SERVICE, slots: 4, state: 'ready', incarnation: Decisions.Ids.incarnation(100), sequence: 9 })
  assert.equal(localTarget.isReady, false)
})

// Guards against a leaving target that other nodes go on using because it tells only its own node.
test('target that states it is leaving is registered as leaving once', async () => {
  const { membership, localTarget, published } = startNode()
  await membership.applyAnnouncement({ target: TARGET, service: Samples.SERVICE, slots: 4, state: 'ready', incarnation: Decisions.Ids.incarnation(100), sequence: 3 })
  await membership.recordLeaving(Decisions.Ids.targetId('another'))
  assert.equal(localTarget.isReady, true)
  for (let response = 0; response < 3; response += 1) await membership.recordLeaving(TARGET)
  assert.equal(localTarget.isReady, false)
  assert.deepEqual(published.map(({ state }) => state), ['ready', 'leaving'])
})

// Guards against an acknowledged departure that the shared log does not hold, so that a restarted node does not know of it.
test('announcement after a response that states leaving is acknowledged only when registered', async () => {
  let completeWrite: () => void = () => { /* Set by the promise. */ }
  const { membership, directory } = startNode(new Promise<void>(resolve => { completeWrite = resolve }))
  const announcement: LocalTargets.Announcement = { target: TARGET, service: Samples.SERVICE, slots: 4, state: 'ready', incarnation: Decisions.Ids.incarnation(100), sequence: 3 }
  void membership.applyAnnouncement(announcement)
  void membership.recordLeaving(TARGET)
  assert.equal(directory.get(TARGET)?.state, 'leaving')
  let isAcknowledged = false
  const acknowledgement = membership.applyAnnouncement({ ...announcement, state: 'leaving', sequence: 4 }).then(() => { isAcknowledged = true })
  await new Promise(resolve => { setImmediate(resolve) })
  assert.equal(isAcknowledged, false)
  completeWrite()
  await acknowledgement
})

// Guards against a late deregistration of a former process that registers its successor under the same id as gone.
test('late deregistration of a former process does not concern its successor', async () => {
  const { membership, localTarget, published } = startNode()
  const announcement: LocalTargets.Announcement = { target: TARGET, service: Samples.SERVICE, slots: 4, state: 'ready', incarnation: Decisions.Ids.incarnation(200), sequence: 1 }
  await membership.applyAnnouncement(announcement)
  assert.equal(await membership.deregister(TARGET, Decisions.Ids.incarnation(100)), true)
  await membership.applyAnnouncement({ ...announcement, sequence: 2 })
  assert.equal(localTarget.isReady, true)
  assert.deepEqual(published.map(({ state }) => state), ['ready'])
})

// Guards against a late deregistration that lets announcements of a later process that has also left count again.
test('late deregistration does not bring back a later process', async () => {
  const { membership, localTarget } = startNode()
  await membership.deregister(TARGET, Decisions.Ids.incarnation(200))
  await membership.deregister(TARGET, Decisions.Ids.incarnation(100))
  await membership.applyAnnouncement({ target: TARGET, service: Samples.SERVICE, slots: 4, state: 'ready', incarnation: Decisions.Ids.incarnation(200), sequence: 9 })
  assert.equal(localTarget.isReady, false)
})
