import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as CircuitBreakers from '../../src/host/circuit-breaker.js'

const at = Decisions.Clock.milliseconds

// Guards against non-idempotent requests that fail on a target on which another request has just failed.
test('circuit breaker trips after one failure', () => {
  const breaker = new CircuitBreakers.CircuitBreaker()
  assert.equal(breaker.admit(false, false, at(0)), 'pass')
  breaker.recordFailure('pass', at(0))
  assert.equal(breaker.admit(false, false, at(10)), 'closed')
  assert.equal(breaker.admit(true, false, at(10)), 'closed')
})

// Guards against probing with a request that cannot be retried while retryable ones are available.
test('circuit breaker prefers retryable requests as probes', () => {
  const breaker = new CircuitBreakers.CircuitBreaker()
  breaker.recordFailure('pass', at(0))
  assert.equal(breaker.admit(false, false, at(400)), 'closed')
  assert.equal(breaker.admit(true, false, at(400)), 'trial')
  assert.equal(breaker.admit(true, false, at(401)), 'closed', 'one probe at a time')
})

// Guards against a breaker that never resets, because the service gets no retryable requests.
test('circuit breaker admits any request as a probe after a time without one', () => {
  const breaker = new CircuitBreakers.CircuitBreaker()
  breaker.recordFailure('pass', at(0))
  assert.equal(breaker.admit(false, false, at(4_400)), 'trial')
})

test('one successful probe resets the circuit breaker after an isolated failure', () => {
  const breaker = new CircuitBreakers.CircuitBreaker()
  breaker.recordFailure('pass', at(0))
  breaker.recordSuccess(breaker.admit(true, false, at(400)))
  assert.equal(breaker.admit(false, false, at(401)), 'pass')
})

// Guards against a reset by a single success during an ongoing fault.
test('circuit breaker requires two successful probes after repeated failures', () => {
  const breaker = new CircuitBreakers.CircuitBreaker()
  breaker.recordFailure('pass', at(0))
  breaker.recordFailure(breaker.admit(true, false, at(400)), at(401))
  breaker.recordSuccess(breaker.admit(true, false, at(1_000)))
  assert.equal(breaker.admit(false, false, at(1_001)), 'closed')
  breaker.recordSuccess(breaker.admit(true, false, at(1_002)))
  assert.equal(breaker.admit(false, false, at(1_003)), 'pass')
})

// Guards against a cancelled probe that blocks all later probes.
test('circuit breaker admits another probe after an inconclusive one', () => {
  const breaker = new CircuitBreakers.CircuitBreaker()
  breaker.recordFailure('pass', at(0))
  breaker.recordInconclusive(breaker.admit(true, false, at(400)))
  assert.equal(breaker.admit(true, false, at(401)), 'trial')
})

// Guards against holding the failures of a target against its replacement.
test('circuit breaker is not tripped after a reset', () => {
  const breaker = new CircuitBreakers.CircuitBreaker()
  breaker.recordFailure('pass', at(0))
  breaker.reset()
  assert.equal(breaker.timeUntilProbe(at(1)), undefined)
})

// Guards against an outage when errors of called services have tripped the breakers of all targets of a service.
test('request that bypasses the circuit breaker is the probe', () => {
  const breaker = new CircuitBreakers.CircuitBreaker()
  breaker.recordFailure('pass', at(0))
  breaker.recordSuccess(breaker.admit(false, true, at(10)))
  assert.equal(breaker.admit(false, false, at(11)), 'pass')
})
