import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Forwarding from '../../src/host/forwarding.js'
import type * as HostReports from '../../src/host/host-report.js'

const REPORT: HostReports.HostReport = {
  running: 2, waiting: 1, slots: 4, closedFor: 120, failures: 2, serviceTime: Decisions.Clock.milliseconds(210), version: Decisions.Ids.version(7)
}

test('terms survive the way between nodes', () => {
  const terms: Forwarding.Terms = {
    target: Decisions.Ids.targetId('t1'), remaining: Decisions.Clock.milliseconds(900), latencyObjective: Decisions.Clock.milliseconds(300), useful: Decisions.Clock.milliseconds(250),
    priority: 2, repeatable: false, mayTry: true, mayWait: true, insists: false, origin: Decisions.Ids.service('accounts')
  }
  assert.deepEqual(Forwarding.parseTerms(Forwarding.formatTerms(terms)), terms)
})

test('request without terms is not a forwarded one', () => {
  assert.equal(Forwarding.parseTerms(['Host', 'a']), undefined)
  assert.equal(Forwarding.parseTerms(['jasminedale-work', 't1 x']), undefined)
})

test('refusal and report survive the way between nodes', () => {
  const { outcome, report } = Forwarding.parseOutcome(Forwarding.formatOutcome({ kind: 'refused', reason: 'target-busy', retryAfter: 50 }, REPORT))
  assert.deepEqual(outcome, { kind: 'refused', reason: 'target-busy', retryAfter: 50 })
  assert.deepEqual(report, REPORT)
})

// Guards against a response of something else at a host's address that is taken for proof that nothing ran.
test('response without a report proves nothing', () => {
  const { outcome } = Forwarding.parseOutcome({ status: 503, headers: ['jasminedale-refused', 'target-busy 50'], body: Buffer.alloc(0), isFramed: true })
  assert.equal(outcome.kind, 'failed')
})

test('fields between nodes do not reach callers', () => {
  const response = Forwarding.formatOutcome({ kind: 'answered', response: { status: 200, headers: ['x', '1'], body: Buffer.from('a'), isFramed: true } }, REPORT)
  const { outcome } = Forwarding.parseOutcome(response)
  assert.deepEqual(outcome, { kind: 'answered', response: { status: 200, headers: ['x', '1'], body: Buffer.from('a'), isFramed: true } })
})

// Found on Ceara trouble-2: a body without a length that its target cut off reached the caller with a length.
test('missing frame survives the way between nodes', () => {
  const response = { status: 200, headers: [], body: Buffer.from('a'), isFramed: false }
  const { outcome } = Forwarding.parseOutcome({ ...Forwarding.formatOutcome({ kind: 'answered', response }, REPORT), isFramed: true })
  assert.equal(outcome.kind === 'answered' && outcome.response.isFramed, false)
})

// Guards against a report whose neighbours are lost or read as another field.
test('closed neighbours travel with the report', () => {
  for (const closedNearby of [[], ['t2', 't3'].map(Decisions.Ids.targetId)]) {
    const { report } = Forwarding.parseOutcome(Forwarding.formatOutcome({ kind: 'refused', reason: 'target-closed', retryAfter: 50 }, { ...REPORT, closedNearby }))
    assert.deepEqual(report, { ...REPORT, closedNearby })
  }
})
