import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as RateLimits from '../../src/host/rate-limit.js'

const WINDOW_MS = 4_000

function at (milliseconds: number): Decisions.Clock.Milliseconds {
  return Decisions.Clock.milliseconds(milliseconds)
}

/** Largest number of requests in any window of four seconds, with a request waiting at every moment. */
function busiestWindow (rateAt: (now: number) => number | undefined, duration: number): number {
  const limit = new RateLimits.RateLimit()
  const sentAt: number[] = []
  for (let now = 0; now <= duration; now += 10) {
    limit.setRate(rateAt(now), at(now))
    while (limit.timeUntilToken(at(now)) === 0 && sentAt.length < duration) {
      limit.take(at(now))
      sentAt.push(now)
    }
  }
  return Math.max(...sentAt.map(start => sentAt.filter(time => time >= start && time < start + WINDOW_MS).length))
}

// Guards against bursts that exceed what a target allows over a few seconds.
test('requests in four seconds stay close to the stated limit', () => {
  for (const rate of [0.4, 1, 2.3, 4.2, 30]) {
    const busiest = busiestWindow(() => rate, 20_000)
    assert.ok(busiest <= 5 * rate + 1, `${busiest} requests with a limit of ${rate}`)
    assert.ok(busiest >= 4 * rate - 1, `${busiest} requests with a limit of ${rate}`)
  }
})

// Guards against a limit that loses its effect because the target states another one with each response.
test('limit that changes with each response holds', () => {
  const busiest = busiestWindow(now => 3 + now % 100 / 50, 20_000)
  assert.ok(busiest <= 5 * 5 + 1, `${busiest} requests`)
})

// Guards against a target that never gets a request again, so that it cannot lift its limit.
test('limit of zero lets a request through now and then', () => {
  const busiest = busiestWindow(() => 0, 20_000)
  assert.ok(busiest >= 1 && busiest <= 2, `${busiest} requests`)
})

// Guards against a target whose capacity stays unused after it has lifted its limit.
test('without a limit every request is allowed', () => {
  const limit = new RateLimits.RateLimit()
  limit.setRate(1, at(0))
  assert.ok(limit.timeUntilToken(at(0)) > 0)
  limit.setRate(undefined, at(10))
  assert.equal(limit.timeUntilToken(at(10)), 0)
})

// Guards against requests that were withdrawn before they were sent and use up the limit.
test('request that was not sent does not count', () => {
  const limit = new RateLimits.RateLimit()
  limit.setRate(1, at(0))
  limit.take(at(1_000))
  limit.giveBack()
  assert.equal(limit.timeUntilToken(at(1_000)), 0)
})
