import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as RateLimits from '../../src/host/rate-limit.js'
import * as Slots from '../../src/host/slots.js'

const at = Decisions.Clock.milliseconds
const MEAN = at(100)

function queuedRequest (name: string, priority: number, deadline: number, events: string[]): Slots.QueuedRequest {
  return { priority, deadline: at(deadline), objectiveDeadline: at(deadline), start: () => { events.push(`start ${name}`) }, expire: () => { events.push(`expire ${name}`) } }
}

function createFullSlots (limit: number): Slots.Slots {
  const slots = new Slots.Slots(new RateLimits.RateLimit())
  slots.resize(limit)
  while (slots.mayStart(at(0))) slots.acquire(at(0))
  return slots
}

test('as many requests run as there are slots', () => {
  assert.equal(createFullSlots(3).busy, 3)
})

// Guards against urgent requests that wait behind less urgent ones.
test('most urgent request starts first', () => {
  const events: string[] = []
  const slots = createFullSlots(1)
  slots.enqueue(queuedRequest('late', 2, 5_000, events), MEAN, at(0))
  slots.enqueue(queuedRequest('urgent', 0, 5_000, events), MEAN, at(0))
  slots.release(MEAN, at(0))
  assert.deepEqual(events, ['start urgent'])
})

// Guards against spending a slot on a request whose caller will have given up.
test('request that cannot finish before its deadline expires', () => {
  const events: string[] = []
  const slots = createFullSlots(1)
  slots.enqueue(queuedRequest('short', 0, 150, events), MEAN, at(0))
  slots.enqueue(queuedRequest('long', 1, 5_000, events), MEAN, at(0))
  slots.release(MEAN, at(100))
  assert.deepEqual(events, ['expire short', 'start long'])
  assert.equal(slots.busy, 1)
})

test('request is not queued beyond its deadline', () => {
  const slots = createFullSlots(1)
  assert.equal(slots.mayQueue({ priority: 1, deadline: at(150), objectiveDeadline: at(150) }, MEAN, at(0)), false)
  assert.equal(slots.mayQueue({ priority: 1, deadline: at(250), objectiveDeadline: at(250) }, MEAN, at(0)), true)
})

// Guards against running a request that was withdrawn from the queue.
test('withdrawn request does not start', () => {
  const events: string[] = []
  const slots = createFullSlots(1)
  const waiting = queuedRequest('gone', 0, 5_000, events)
  slots.enqueue(waiting, MEAN, at(0))
  assert.equal(slots.remove(waiting), true)
  slots.release(MEAN, at(0))
  assert.deepEqual(events, [])
  assert.equal(slots.busy, 0)
})

// Guards against a queue that makes every response miss its objective under a lasting overload.
test('behind a long queue the latency objective must be met', () => {
  const slots = createFullSlots(1)
  slots.enqueue(queuedRequest('first', 1, 5_000, []), MEAN, at(0))
  assert.equal(slots.mayQueue({ priority: 1, deadline: at(5_000), objectiveDeadline: at(250) }, MEAN, at(0)), false)
  assert.equal(slots.mayQueue({ priority: 1, deadline: at(5_000), objectiveDeadline: at(300) }, MEAN, at(0)), true)
})

// Guards against a late refusal of a request that can no longer finish in time because of a more urgent one.
test('displaced request expires at once', () => {
  const events: string[] = []
  const slots = createFullSlots(1)
  slots.enqueue(queuedRequest('displaced', 2, 200, events), MEAN, at(0))
  slots.enqueue(queuedRequest('urgent', 0, 5_000, events), MEAN, at(0))
  assert.deepEqual(events, ['expire displaced'])
})

// Guards against queued requests that start faster than the target allows because slots are free.
test('queued requests start at the rate of the limit', () => {
  const events: string[] = []
  const rateLimit = new RateLimits.RateLimit()
  const slots = new Slots.Slots(rateLimit)
  slots.resize(3)
  rateLimit.setRate(2, at(0))
  assert.equal(slots.mayStart(at(0)), false)
  for (const name of ['a', 'b']) slots.enqueue(queuedRequest(name, 1, 5_000, events), MEAN, at(0))
  assert.equal(slots.timeUntilStart(at(0)), 500)
  slots.startQueued(MEAN, at(500))
  assert.deepEqual(events, ['start a'])
  assert.equal(slots.timeUntilStart(at(500)), 500)
})

// Guards against a queue that the limit makes so long that its requests miss their deadlines.
test('request that the limit delays beyond its deadline does not queue', () => {
  const rateLimit = new RateLimits.RateLimit()
  const slots = new Slots.Slots(rateLimit)
  slots.resize(3)
  rateLimit.setRate(2, at(0))
  const [soon, later] = [300, 1_000].map(deadline => ({ priority: 1, deadline: at(deadline), objectiveDeadline: at(deadline) }))
  assert.equal(soon !== undefined && slots.mayQueue(soon, MEAN, at(0)), false)
  assert.equal(later !== undefined && slots.mayQueue(later, MEAN, at(0)), true)
})
