import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as FairQueues from '../../src/host/fair-queue.js'
import * as PriorityQueues from '../../src/host/priority-queue.js'
import type * as RequestQueues from '../../src/host/request-queue.js'
import * as SlotLoads from '../support/slot-load.js'

const at = Decisions.Clock.milliseconds
const PACE: RequestQueues.Pace = { now: at(0), slots: 1, meanServiceTime: at(100), untilFree: 100, interval: 0 }
/** Fills one of 6 targets with 8 slots of the narrow service. */
const NARROW = { slots: 8, duration: 20_000 }
const CALLS: SlotLoads.Source = { name: 'calls', ratePerSecond: 0, serviceTime: 200, isCall: true, deadline: 1_500, objective: 400 }
const DOWNLOADS: SlotLoads.Source = { name: 'downloads', ratePerSecond: 0, serviceTime: 650, deadline: 4_000, objective: 1_500 }
const SHORT: SlotLoads.Source = { name: 'short', ratePerSecond: 0, serviceTime: 200, objective: 800 }

interface Sample { readonly name: string, readonly priority?: number, readonly route?: string, readonly account?: string, readonly isCall?: boolean, readonly cost?: number, readonly deadline?: number }

function entry ({ name, priority = 1, route = 'r', account, isCall = false, cost, deadline = 100_000 }: Sample, expired: string[] = []): RequestQueues.QueuedRequest & { readonly name: string } {
  return {
    name, priority, route, account: account === undefined ? undefined : Decisions.Ids.account(account), isCall, cost, deadline: at(deadline), objectiveDeadline: at(deadline),
    start: () => { /* Not watched. */ }, expire: () => { expired.push(name) }
  }
}

/** Names in the order in which the requests start. */
function startOrder (samples: readonly Sample[], queue = new FairQueues.FairQueue()): string[] {
  const names = new Map<RequestQueues.QueuedRequest, string>()
  for (const [index, sample] of samples.entries()) {
    const added = entry(sample)
    names.set(added, sample.name)
    queue.add(added, { ...PACE, now: at(index) })
  }
  return samples.map(() => names.get(queue.takeNext(PACE) ?? entry({ name: '' })) ?? 'none')
}

function repeated (count: number, sample: Sample): Sample[] {
  return Array.from({ length: count }, () => sample)
}

// Guards against parents that fail after work because their calls wait behind direct requests, and against direct requests that never start.
test('calls start before direct requests, which keep one start in ten', () => {
  const order = startOrder([...repeated(3, { name: 'd' }), ...repeated(22, { name: 'c', isCall: true })])
  assert.deepEqual(order.join(''), 'cccccccccdcccccccccdccccd')
})

// Guards against less urgent requests that never start under a lasting overload.
test('less urgent requests keep one start in ten', () => {
  const order = startOrder([{ name: 'l', priority: 3 }, ...repeated(12, { name: 'u', priority: 0 })])
  assert.deepEqual(order.join(''), 'uuuuuuuuuluuu')
})

// Guards against a route with long requests that takes the room of one with short requests.
test('routes get equal work', () => {
  const order = startOrder([...repeated(3, { name: 'L', route: 'long', cost: 600 }), ...repeated(9, { name: 's', route: 'short', cost: 200 })])
  assert.equal(order.slice(0, 8).filter(name => name === 'L').length, 2)
})

// Guards against an account with many requests in front of one that sends its first.
test('account with the least recent work starts first', () => {
  const order = startOrder([...repeated(4, { name: 'h', account: 'hot' }), { name: 'q', account: 'quiet' }])
  assert.deepEqual(order.join(''), 'hqhhh')
})

// Guards against short requests that wait behind long ones, and against long ones that are starved.
test('short requests start before long ones that have not waited longer', () => {
  const queue = new FairQueues.FairQueue()
  const [old, long, short] = [entry({ name: 'old', cost: 900 }), entry({ name: 'long', cost: 900 }), entry({ name: 'short', cost: 100 })]
  queue.add(old, { ...PACE, now: at(0) })
  queue.add(long, { ...PACE, now: at(900) })
  queue.add(short, { ...PACE, now: at(1_000) })
  assert.deepEqual([1, 2, 3].map(() => queue.takeNext(PACE)), [old, short, long])
})

// Guards against refusals by the length of the whole queue: requests of others behind which this one does not wait.
test('request is admitted by its own wait', () => {
  const queue = new FairQueues.FairQueue()
  for (let index = 0; index < 10; index += 1) queue.add(entry({ name: 'h', account: 'hot' }), PACE)
  assert.ok(queue.excess(entry({ name: 'q', account: 'quiet', deadline: 450 }), PACE) <= 0)
  assert.ok(queue.excess(entry({ name: 'h', account: 'hot', deadline: 450 }), PACE) > 0)
})

// Guards against the eviction of a request of an account that uses little.
test('eviction hits the account that uses most', () => {
  const queue = new FairQueues.FairQueue()
  const hot = ['h1', 'h2', 'h3', 'h4'].map(name => entry({ name, account: 'hot', deadline: 550 }))
  for (const request of hot) queue.add(request, PACE)
  assert.deepEqual(queue.add(entry({ name: 'q', account: 'quiet', deadline: 550 }), PACE), [hot[3]])
  assert.deepEqual(queue.add(entry({ name: 'r', account: 'other', deadline: 550 }), PACE), [hot[2]])
})

// Guards against requests that are lost or counted twice when they are withdrawn or the order of the queue changes.
test('withdrawn requests leave no trace, and all of the others can be taken over', () => {
  const queue = new FairQueues.FairQueue()
  const [first, second] = [entry({ name: 'a' }), entry({ name: 'b', account: 'x' })]
  queue.add(first, PACE)
  queue.add(second, PACE)
  assert.equal(queue.remove(first), true)
  assert.equal(queue.remove(first), false)
  assert.deepEqual(queue.takeAll(), [second])
  assert.equal(queue.length, 0)
})

// Guards against parents that fail and downloads that are starved when calls and downloads ask for 1.2 to 1.7 times the room.
test('narrow service under 1.2 to 1.7 times its room', () => {
  for (const factor of [1.2, 1.45, 1.7]) {
    const sources = [{ ...CALLS, ratePerSecond: 40 * 0.75 * factor }, { ...DOWNLOADS, ratePerSecond: 8 / 0.65 * 0.25 * factor }]
    const served = new SlotLoads.SlotLoad({ ...NARROW, queue: new FairQueues.FairQueue() }).run(sources)
    const before = new SlotLoads.SlotLoad({ ...NARROW, queue: new PriorityQueues.PriorityQueue() }).run(sources)
    const [calls, downloads] = [served.get('calls'), served.get('downloads')]
    assert.ok(calls !== undefined && downloads !== undefined)
    assert.ok(SlotLoads.ratio(calls) > SlotLoads.ratio(before.get('calls')))
    const total = (calls.completed + downloads.completed) / (calls.offered + downloads.offered)
    assert.ok(SlotLoads.ratio(downloads) > total / 4, `${factor}: downloads ${SlotLoads.ratio(downloads)} of ${total}`)
    assert.ok(SlotLoads.ratio(calls) > total / 4)
    assert.equal(calls.late + downloads.late, 0)
    // Most refusals come at once and not after a wait.
    for (const { name, offered, expired } of [{ name: 'calls', ...calls }, { name: 'downloads', ...downloads }]) assert.ok(expired < 0.1 * offered, `${factor}: ${expired} ${name} of ${offered} removed from the queue`)
  }
})

function withHotAccount (count: number, load: number, queue: RequestQueues.RequestQueue): { hot: number, others: number, least: number } {
  const rate = 8 / 0.2 * load / count
  const accounts = Array.from({ length: count }, (_, index): SlotLoads.Source => ({ ...SHORT, name: `a${index}`, route: 'r', account: `a${index}`, ratePerSecond: index === 0 ? 5 * rate : rate }))
  const served = new SlotLoads.SlotLoad({ ...NARROW, duration: 60_000, queue }).run(accounts)
  const others = accounts.slice(1).map(({ name }) => served.get(name))
  const sum = (value: 'completed' | 'offered'): number => others.reduce((total, one) => total + (one?.[value] ?? 0), 0)
  return { hot: SlotLoads.ratio(served.get('a0')), others: sum('completed') / sum('offered'), least: Math.min(...others.map(SlotLoads.ratio)) }
}

// Guards against an account at five times its usual rate that displaces the 78 others.
test('hot account among many does not displace others', () => {
  const [fair, before] = [withHotAccount(79, 1.1, new FairQueues.FairQueue()), withHotAccount(79, 1.1, new PriorityQueues.PriorityQueue())]
  // The others alone ask for 1.086 times the room.
  assert.ok(fair.others > before.others && fair.others > 0.95 / 1.086, `others ${fair.others} against ${before.others}`)
  assert.ok(fair.hot < before.hot && fair.hot > 0.25)
  assert.ok(fair.least > fair.others / 4)
})

// Guards against an account that displaces the few others of a service.
test('hot account among few does not displace others', () => {
  const [fair, before] = [withHotAccount(10, 0.9, new FairQueues.FairQueue()), withHotAccount(10, 0.9, new PriorityQueues.PriorityQueue())]
  assert.ok(fair.others > 0.97 && fair.others > before.others + 0.1, `others ${fair.others} against ${before.others}`)
  assert.ok(fair.hot > 0.25)
})

// Guards against a kind of requests that is locked out when demand swings between two data centers: 55 % up and down over 15 s, out of phase.
test('swing of demand', () => {
  const swing = (phase: number) => (time: number): number => 1 + 0.55 * Math.sin(2 * Math.PI * (time / 15_000 + phase))
  const sources = [
    { ...CALLS, ratePerSecond: 20, rateAt: swing(0) },
    { ...SHORT, name: 'near', ratePerSecond: 10, rateAt: swing(0) },
    { ...SHORT, name: 'far', ratePerSecond: 10, rateAt: swing(0.5) }
  ]
  const served = new SlotLoads.SlotLoad({ ...NARROW, duration: 60_000, queue: new FairQueues.FairQueue() }).run(sources)
  assert.ok(SlotLoads.ratio(served.get('calls')) > 0.97)
  // Calls leave the source that swings with them room for 4.5 to 5 of its 15.5 requests a second at the peak.
  assert.ok(SlotLoads.ratio(served.get('near')) > 0.6)
  assert.ok(SlotLoads.ratio(served.get('far')) > 0.9)
  assert.ok([...served.values()].every(({ late }) => late === 0))
})
