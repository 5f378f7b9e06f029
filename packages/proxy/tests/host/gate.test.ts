import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Gates from '../../src/host/gate.js'

const at = Decisions.Clock.milliseconds

// Guards against non-idempotent work that fails on a target that has just failed other work.
test('gate closes after one failure', () => {
  const gate = new Gates.Gate()
  assert.equal(gate.admit(false, false, at(0)), 'pass')
  gate.failed('pass', at(0))
  assert.equal(gate.admit(false, false, at(10)), 'closed')
  assert.equal(gate.admit(true, false, at(10)), 'closed')
})

// Guards against a trial by work that may not be repeated while repeatable work is there.
test('gate tries repeatable work first', () => {
  const gate = new Gates.Gate()
  gate.failed('pass', at(0))
  assert.equal(gate.admit(false, false, at(400)), 'closed')
  assert.equal(gate.admit(true, false, at(400)), 'trial')
  assert.equal(gate.admit(true, false, at(401)), 'closed', 'one trial at a time')
})

// Guards against a target of a service without repeatable work that stays closed for ever.
test('gate tries other work after its patience', () => {
  const gate = new Gates.Gate()
  gate.failed('pass', at(0))
  assert.equal(gate.admit(false, false, at(4_400)), 'trial')
})

test('gate opens after one trial of an isolated failure', () => {
  const gate = new Gates.Gate()
  gate.failed('pass', at(0))
  gate.succeeded(gate.admit(true, false, at(400)))
  assert.equal(gate.admit(false, false, at(401)), 'pass')
})

// Guards against one lucky success in an ongoing fault that reopens the target.
test('gate wants two successes after repeated failures', () => {
  const gate = new Gates.Gate()
  gate.failed('pass', at(0))
  gate.failed(gate.admit(true, false, at(400)), at(401))
  gate.succeeded(gate.admit(true, false, at(1_000)))
  assert.equal(gate.admit(false, false, at(1_001)), 'closed')
  gate.succeeded(gate.admit(true, false, at(1_002)))
  assert.equal(gate.admit(false, false, at(1_003)), 'pass')
})

// Guards against a trial whose requester left that blocks all later trials.
test('gate frees an abandoned trial', () => {
  const gate = new Gates.Gate()
  gate.failed('pass', at(0))
  gate.abandoned(gate.admit(true, false, at(400)))
  assert.equal(gate.admit(true, false, at(401)), 'trial')
})

test('gate forgets a replaced target', () => {
  const gate = new Gates.Gate()
  gate.failed('pass', at(0))
  gate.reset()
  assert.equal(gate.closedFor(at(1)), undefined)
})

// Found on Cinderfold trouble-1: with all targets of a service closed by errors of called services, nothing was served.
test('request without another target is the trial', () => {
  const gate = new Gates.Gate()
  gate.failed('pass', at(0))
  gate.succeeded(gate.admit(false, true, at(10)))
  assert.equal(gate.admit(false, false, at(11)), 'pass')
})
