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

interface Started { readonly membership: Membership.Membership, readonly local: LocalTargets.LocalTarget, readonly published: Registrations.Registration[], readonly directory: Directories.Directory }

/** A node that has just started, without any knowledge. */
function started (): Started {
  const directory = new Directories.Directory()
  const local = new LocalTargets.LocalTarget()
  const published: Registrations.Registration[] = []
  const membership = new Membership.Membership({
    settings: {
      node: Decisions.Ids.nodeId('n'), service: Samples.SERVICE, targetAddress: HOST, callerAddress: HOST, shutdownTimeout: Decisions.Clock.seconds(6),
      place: { host: HOST, dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') },
      reportPort: 1, retryBudget: { window: Decisions.Clock.seconds(10), ratio: 0.2, slack: 60 }
    },
    log: new Logs.SilentLog(), directory, localTarget: local, views: new HostViews.HostViews(),
    host: { resetTarget: () => { /* Not watched. */ } },
    registrar: {
      publish: registration => {
        published.push(registration)
        return Promise.resolve()
      }
    }
  })
  return { membership, local, published, directory }
}

test('restarted node adopts its target', () => {
  const { membership, local, directory } = started()
  directory.merge(Samples.registration('t1', { host: HOST }))
  membership.adoptRegistration()
  assert.equal(local.isReady, true)
})

// Found by the score on Cinderfold (DRAIN): a goodbye heard before the directory was read was forgotten, and the target adopted.
test('target that said goodbye is not adopted', async () => {
  const { membership, local, published, directory } = started()
  assert.equal(await membership.deregister(TARGET), false, 'not acknowledged before the directory is read')
  directory.merge(Samples.registration('t1', { host: HOST }))
  membership.adoptRegistration()
  assert.equal(local.isReady, false)
  assert.deepEqual(published.map(({ target, state }) => [target, state]), [['t1', 'gone']])
})

// Guards against a delayed announcement that brings back a target which has said goodbye.
test('announcement after a goodbye is outdated', async () => {
  const { membership, local } = started()
  const announcement: LocalTargets.Announcement = { target: TARGET, service: Samples.SERVICE, slots: 4, state: 'ready', incarnation: Decisions.Ids.incarnation(100), sequence: 3 }
  await membership.deregister(TARGET, Decisions.Ids.incarnation(100))
  await membership.applyAnnouncement(announcement)
  assert.equal(local.isReady, false)
  await membership.applyAnnouncement({ ...announcement, incarnation: Decisions.Ids.incarnation(200), sequence: 1 })
  assert.equal(local.isReady, true, 'a later process under the same id is new')
})

test('goodbye of an earlier target is published', async () => {
  const { membership, published, directory } = started()
  directory.merge(Samples.registration('old', { host: HOST }))
  assert.equal(await membership.deregister(Decisions.Ids.targetId('old')), true)
  assert.deepEqual(published.map(({ state }) => state), ['gone'])
})
