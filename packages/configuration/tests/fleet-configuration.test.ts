import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Configuration from '@jasminedale/configuration'
import * as Decisions from '@jasminedale/decisions'

const VALID = `
[defaults]
capacity-floor = 75%
deadline = 2s

[exception orders-floor]
service = orders
reason = Small service: one lost server is an eighth of its capacity.
expires = 2027-03-01
capacity-floor = 90%
`

function failures (text: string): string[] {
  return Configuration.FleetConfigurations.parseFleetConfiguration(text, 'fleet.ini').match(
    () => [],
    found => found.map(failure => `${failure.line} ${failure.kind} ${failure.section} ${failure.key}`)
  )
}

// Guards against exceptions that end too early or too late on their last day, or apply to other services.
test('exceptions override the defaults until they expire', () => {
  const fleet = Configuration.FleetConfigurations.parseConfiguration(VALID, Decisions.Ids.version(3), 'p')._unsafeUnwrap()
  const floor = (service: string, at: string): number => Decisions.Policies.policyFor(
    fleet, { service: Decisions.Ids.service(service) }, Decisions.Clock.milliseconds(Date.parse(at))
  ).capacityFloor
  assert.equal(floor('orders', '2027-03-01T23:59:59Z'), 0.9)
  assert.equal(floor('orders', '2027-03-02T00:00:00Z'), 0.75)
  assert.equal(floor('catalog', '2027-01-01T00:00:00Z'), 0.75)
})

// Guards against mistakes in a configuration file that are ignored silently or reported without their line.
test('every mistake is reported with line and key', () => {
  const text = [
    'stray = 1', '[defaults]', 'capacity-flor = 70%', 'deadline = 5', 'deadline = 3s', 'nonsense',
    'ejection-hold = 10m', '[exception a]', 'attempts = 2', '[exception b]', 'service = x', 'reason = Reason long enough.',
    '[exceptions c]', '[defaults]', '[exception d]', 'service = y', 'reason = Reason long enough.', 'expires = 2027-02-30', 'attempts = 0'
  ].join('\n')
  assert.deepEqual(failures(text), [
    '1 syntax  stray', '3 unknown-key defaults capacity-flor', '4 invalid-value defaults deadline',
    '5 duplicate-key defaults deadline', '6 syntax defaults ', '7 conflicting-values defaults ejection-hold',
    '8 missing-key exception a reason', '8 conflicting-values exception a service', '12 conflicting-values exception b reason',
    '13 unknown-section exceptions c ', '14 duplicate-section defaults ',
    '17 conflicting-values exception d reason', '18 invalid-value exception d expires', '19 invalid-value exception d attempts'
  ])
})

// Guards against a publication conflict that does not show an operator which fields differ.
test('a difference names the changed fields', () => {
  const before = Configuration.FleetConfigurations.parseFleetConfiguration(VALID, 'a')._unsafeUnwrap()
  const after = Configuration.FleetConfigurations.parseFleetConfiguration(VALID.replace('90%', '80%').replace('2s', '3s'), 'b')._unsafeUnwrap()
  assert.deepEqual(Configuration.Differences.differencesBetween(before, after), [
    { section: 'defaults', field: 'deadline', before: '2000', after: '3000' },
    { section: 'orders-floor', field: 'capacityFloor', before: '0.9', after: '0.8' }
  ])
})
