import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as LocalTargets from '../../src/host/local-target.js'

function announcement (overrides: Partial<LocalTargets.Announcement> = {}): LocalTargets.Announcement {
  return {
    target: Decisions.Ids.targetId('t1'), service: Decisions.Ids.service('accounts'), slots: 4, state: 'ready',
    incarnation: Decisions.Ids.incarnation(100), sequence: 1, ...overrides
  }
}

test('target is ready once announced', () => {
  const local = new LocalTargets.LocalTarget()
  assert.equal(local.isReady, false)
  assert.equal(local.applyAnnouncement(announcement()), 'changed')
  assert.equal(local.isReady, true)
})

// Guards against requests to a leaving target after a delayed announcement that it is ready.
test('leaving target does not become ready again', () => {
  const local = new LocalTargets.LocalTarget()
  local.applyAnnouncement(announcement({ sequence: 3 }))
  local.applyAnnouncement(announcement({ state: 'leaving', sequence: 4 }))
  assert.equal(local.applyAnnouncement(announcement({ sequence: 2 })), 'outdated')
  assert.equal(local.applyAnnouncement(announcement({ sequence: 5 })), 'outdated')
  assert.equal(local.isReady, false)
})

// Guards against an announcement that a network partition delayed until its sender had been replaced at the same address.
test('announcement of an older incarnation is outdated', () => {
  const local = new LocalTargets.LocalTarget()
  local.applyAnnouncement(announcement({ incarnation: Decisions.Ids.incarnation(200), target: Decisions.Ids.targetId('t2') }))
  assert.equal(local.applyAnnouncement(announcement({ sequence: 50 })), 'outdated')
  assert.equal(local.announcement?.target, 't2')
})

// Guards against ignoring a target that restarted under the same id, whose sequence numbers start again at 1.
test('announcement of a restarted target is applied', () => {
  const local = new LocalTargets.LocalTarget()
  local.applyAnnouncement(announcement({ sequence: 40 }))
  local.recordDeparture(Decisions.Ids.targetId('t1'))
  assert.equal(local.applyAnnouncement(announcement({ incarnation: Decisions.Ids.incarnation(300), sequence: 1 })), 'changed')
  assert.equal(local.isReady, true)
})

test('departure of another target changes nothing', () => {
  const local = new LocalTargets.LocalTarget()
  local.applyAnnouncement(announcement())
  assert.equal(local.recordDeparture(Decisions.Ids.targetId('other')), false)
  assert.equal(local.isReady, true)
})
