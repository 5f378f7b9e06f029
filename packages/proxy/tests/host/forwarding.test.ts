import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Forwarding from '../../src/host/forwarding.js'
import type * as HostReports from '../../src/host/host-report.js'

const REPORT: HostReports.HostReport = {
  running: 2, queued: 1, slots: 4, timeUntilProbe: 120, failures: 2, serviceTime: Decisions.Clock.milliseconds(210), version: Decisions.Ids.version(7)
}

// Guards against fields that are formatted in one order and parsed in another.
test('metadata is parsed as it was formatted', () => {
  const metadata: Forwarding.RequestMetadata = {
    target: Decisions.Ids.targetId('t1'), remaining: Decisions.Clock.milliseconds(900), latencyObjective: Decisions.Clock.milliseconds(300), objectiveRemaining: Decisions.Clock.milliseconds(250),
    priority: 2, repeatable: false, mayBeProbe: true, mayQueue: true, mayBypassBreaker: false, callerService: Decisions.Ids.service('accounts'),
    route: 'r 1', account: Decisions.Ids.account('Über Tiernahrung'), isCall: true
  }
  assert.deepEqual(Forwarding.parseMetadata(Forwarding.formatMetadata(metadata)), metadata)
  const anonymous = { ...metadata, account: undefined, isCall: false }
  assert.deepEqual(Forwarding.parseMetadata(Forwarding.formatMetadata(anonymous)), anonymous)
})

test('request without valid metadata is not a forwarded one', () => {
  assert.equal(Forwarding.parseMetadata(['Host', 'a']), undefined)
  assert.equal(Forwarding.parseMetadata(['jasminedale-work', 't1 x']), undefined)
})

test('refusal and report are parsed as they were formatted', () => {
  const { outcome, report } = Forwarding.parseOutcome(Forwarding.formatOutcome({ kind: 'refused', reason: 'target-busy', retryAfter: 50 }, REPORT))
  assert.deepEqual(outcome, { kind: 'refused', reason: 'target-busy', retryAfter: 50 })
  assert.deepEqual(report, REPORT)
})

// Guards against a response of another server at a host's address that is taken as proof that the request did not run.
test('refusal without a host report leaves the outcome unknown', () => {
  const { outcome } = Forwarding.parseOutcome({ status: 503, headers: ['jasminedale-refused', 'target-busy 50'], body: Buffer.alloc(0), isFramed: true })
  assert.equal(outcome.kind, 'failed')
})

// Guards against leaking the headers of the protocol between nodes.
test('headers between nodes do not reach callers', () => {
  const response = Forwarding.formatOutcome({ kind: 'answered', response: { status: 200, headers: ['x', '1'], body: Buffer.from('a'), isFramed: true } }, REPORT)
  const { outcome } = Forwarding.parseOutcome(response)
  assert.deepEqual(outcome, { kind: 'answered', response: { status: 200, headers: ['x', '1'], body: Buffer.from('a'), isFramed: true } })
})

// Guards against a truncated body that looks complete: the target sent no length, but the caller got one.
test('response without a length stays so between nodes', () => {
  const response = { status: 200, headers: [], body: Buffer.from('a'), isFramed: false }
  const { outcome } = Forwarding.parseOutcome({ ...Forwarding.formatOutcome({ kind: 'answered', response }, REPORT), isFramed: true })
  assert.equal(outcome.kind === 'answered' && outcome.response.isFramed, false)
})

// Guards against a report whose list of neighbours is lost or parsed as another field.
test('tripped neighbours are part of the report', () => {
  for (const trippedNearby of [[], ['t2', 't3'].map(Decisions.Ids.targetId)]) {
    const { report } = Forwarding.parseOutcome(Forwarding.formatOutcome({ kind: 'refused', reason: 'target-closed', retryAfter: 50 }, { ...REPORT, trippedNearby }))
    assert.deepEqual(report, { ...REPORT, trippedNearby })
  }
})

// Guards against an expected cost that is lost, or taken from a field that a later version uses otherwise.
test('expected cost is an optional last field of the metadata', () => {
  const [name = '', value = ''] = Forwarding.formatMetadata({
    target: Decisions.Ids.targetId('t'), remaining: Decisions.Clock.milliseconds(900), latencyObjective: Decisions.Clock.milliseconds(400), objectiveRemaining: Decisions.Clock.milliseconds(300), priority: 1,
    repeatable: true, mayBeProbe: true, mayQueue: true, mayBypassBreaker: false, callerService: Decisions.Ids.service('s'), route: 'r', account: undefined, isCall: true, expectation: { cost: 212, sizeClass: 9 }
  })
  assert.deepEqual(Forwarding.parseMetadata([name, value])?.expectation, { cost: 212, sizeClass: 9 })
  for (const field of ['x', '0,1', '5', '5,-1']) assert.equal(Forwarding.parseMetadata([name, value.replace('212,9', field)])?.expectation, undefined, field)
})
