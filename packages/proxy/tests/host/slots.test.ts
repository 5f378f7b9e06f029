import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Slots from '../../src/host/slots.js'

const at = Decisions.Clock.milliseconds
const MEAN = at(100)

function entry (name: string, priority: number, deadline: number, events: string[]): Slots.Waiting {
  return { priority, deadline: at(deadline), usefulUntil: at(deadline), start: () => { events.push(`start ${name}`) }, expire: () => { events.push(`expire ${name}`) } }
}

function full (limit: number): Slots.Slots {
  const slots = new Slots.Slots()
  slots.resize(limit)
  while (slots.hasRoom()) slots.take()
  return slots
}

test('slots admit up to the limit', () => {
  assert.equal(full(3).busy, 3)
})

// Guards against urgent work that waits behind less urgent work.
test('slots start the most urgent first', () => {
  const events: string[] = []
  const slots = full(1)
  slots.enqueue(entry('late', 2, 5_000, events), MEAN, at(0))
  slots.enqueue(entry('urgent', 0, 5_000, events), MEAN, at(0))
  slots.release(MEAN, at(0))
  assert.deepEqual(events, ['start urgent'])
})

// Guards against slots spent on work whose caller will have left.
test('slots turn away work that cannot finish', () => {
  const events: string[] = []
  const slots = full(1)
  slots.enqueue(entry('doomed', 0, 150, events), MEAN, at(0))
  slots.enqueue(entry('timely', 1, 5_000, events), MEAN, at(0))
  slots.release(MEAN, at(100))
  assert.deepEqual(events, ['expire doomed', 'start timely'])
  assert.equal(slots.busy, 1)
})

test('slots refuse a wait beyond the deadline', () => {
  const slots = full(1)
  assert.equal(slots.canWait({ priority: 1, deadline: at(150), usefulUntil: at(150) }, MEAN, at(0)), false)
  assert.equal(slots.canWait({ priority: 1, deadline: at(250), usefulUntil: at(250) }, MEAN, at(0)), true)
})

// Guards against a withdrawn request that runs later.
test('slots forget withdrawn work', () => {
  const events: string[] = []
  const slots = full(1)
  const waiting = entry('gone', 0, 5_000, events)
  slots.enqueue(waiting, MEAN, at(0))
  assert.equal(slots.remove(waiting), true)
  slots.release(MEAN, at(0))
  assert.deepEqual(events, [])
  assert.equal(slots.busy, 0)
})

// Guards against a queue that makes every answer late under a lasting overload.
test('long queue admits only what stays useful', () => {
  const slots = full(1)
  slots.enqueue(entry('first', 1, 5_000, []), MEAN, at(0))
  assert.equal(slots.canWait({ priority: 1, deadline: at(5_000), usefulUntil: at(250) }, MEAN, at(0)), false)
  assert.equal(slots.canWait({ priority: 1, deadline: at(5_000), usefulUntil: at(300) }, MEAN, at(0)), true)
})

// Guards against a refusal that comes late, after more urgent work has taken the place.
test('displaced work is turned away at once', () => {
  const events: string[] = []
  const slots = full(1)
  slots.enqueue(entry('displaced', 2, 200, events), MEAN, at(0))
  slots.enqueue(entry('urgent', 0, 5_000, events), MEAN, at(0))
  assert.deepEqual(events, ['expire displaced'])
})
