import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Logs from '../../src/observation/log.js'
import type * as Settings from '../../src/settings.js'
import * as SettingsStates from '../../src/state/settings-state.js'
import * as Samples from '../support/samples.js'

const HOST = Decisions.Ids.endpoint('10.0.0.1:80')
const SETTINGS: Settings.ProxySettings = {
  node: Decisions.Ids.nodeId('n'), service: Samples.SERVICE, targetAddress: HOST, callerAddress: HOST, reportPort: 1, checksum: 'first',
  location: { host: HOST, dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') },
  retryBudget: { window: Decisions.Clock.seconds(10), ratio: 0.2, slack: 60 }, shutdownTimeout: Decisions.Clock.seconds(6), ...Samples.LIMIT_SETTINGS
}

// Guards against an edited settings file of which nobody can tell whether it is in force on a node.
test('changed settings are applied, and those that need a restart are named', () => {
  const clock = new Decisions.Clock.VirtualClock()
  const state = new SettingsStates.SettingsState({ settings: SETTINGS, clock, log: new Logs.SilentLog() })
  clock.advance(Decisions.Clock.seconds(9))
  state.replace(SETTINGS)
  assert.equal(state.age(), 9_000, 'unchanged settings keep their age')
  state.replace({ ...SETTINGS, checksum: 'second', retryBudget: { ...SETTINGS.retryBudget, slack: 30 }, callerAddress: Decisions.Ids.endpoint('10.0.0.1:81') })
  assert.deepEqual([state.current.checksum, state.current.retryBudget.slack, state.current.callerAddress, state.age()], ['second', 30, HOST, 0])
  assert.deepEqual(state.awaitingRestart, ['callerAddress'])
})
