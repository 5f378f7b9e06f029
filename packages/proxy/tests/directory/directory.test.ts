import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Directories from '../../src/directory/directory.js'
import * as Samples from '../support/samples.js'

// Guards against requests for one service that reach targets of another.
test('ready targets are listed by service', () => {
  const directory = new Directories.Directory()
  directory.merge(Samples.registration('a'))
  directory.merge(Samples.registration('b', { service: Decisions.Ids.service('other') }))
  assert.deepEqual(directory.readyTargets(Samples.SERVICE).map(({ target }) => target), ['a'])
})

// Guards against a delayed write that makes a leaving target ready again.
test('older record does not replace a newer one', () => {
  const directory = new Directories.Directory()
  directory.merge(Samples.registration('a', { state: 'leaving', sequence: 5 }))
  assert.equal(directory.merge(Samples.registration('a', { sequence: 4 })), false)
  assert.equal(directory.merge(Samples.registration('a', { sequence: 5 })), false)
  assert.deepEqual(directory.readyTargets(Samples.SERVICE), [])
})

// Guards against a leaving target that gets requests again because a restarted node has accepted one of its later announcements.
test('target that leaves does not become ready again in its incarnation', () => {
  const directory = new Directories.Directory()
  directory.merge(Samples.registration('a', { sequence: 5 }))
  assert.equal(directory.merge(Samples.registration('a', { state: 'leaving', sequence: 5 })), true)
  assert.equal(directory.merge(Samples.registration('a', { sequence: 9 })), false)
  assert.equal(directory.merge(Samples.registration('a', { state: 'gone', sequence: 4 })), true)
  assert.deepEqual(directory.readyTargets(Samples.SERVICE), [])
})

// Guards against a restarted target that stays gone because its sequence numbers begin again.
test('later incarnation with the same id replaces the earlier one', () => {
  const directory = new Directories.Directory()
  directory.merge(Samples.registration('a', { state: 'gone', sequence: 50 }))
  assert.equal(directory.merge(Samples.registration('a', { incarnation: Decisions.Ids.incarnation(200), sequence: 1 })), true)
  assert.equal(directory.readyTargets(Samples.SERVICE).length, 1)
})

// Guards against requests for a target that was replaced on its VM without a deregistration.
test('newest target of a host replaces the older', () => {
  const directory = new Directories.Directory()
  const host = Decisions.Ids.endpoint('10.0.0.1:80')
  directory.merge(Samples.registration('old', { host }))
  directory.merge(Samples.registration('new', { host, service: Decisions.Ids.service('other'), incarnation: Decisions.Ids.incarnation(300) }))
  directory.merge(Samples.registration('third'))
  assert.deepEqual(directory.readyTargets(Samples.SERVICE).map(({ target }) => target), ['third'])
})

// Guards against a wrong count of ready targets, which is kept incrementally so that a change costs the same for any number of targets.
test('count of ready targets follows changes and removals', () => {
  const directory = new Directories.Directory()
  directory.merge(Samples.registration('a'))
  directory.merge(Samples.registration('bb'))
  directory.merge(Samples.registration('a', { state: 'leaving', sequence: 2 }))
  assert.equal(directory.readyCount, 1)
  directory.remove(Decisions.Ids.targetId('bb'))
  assert.equal(directory.readyCount, 0)
  assert.deepEqual(directory.readyTargets(Samples.SERVICE), [])
})
