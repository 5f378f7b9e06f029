import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Benches from '../bench.js'

const { Clock, Ids } = Decisions

function withTargets (count: number, policy: Partial<Decisions.Policies.Policy> = {}): Benches.Bench {
  const bench = new Benches.Bench(policy)
  for (let index = 1; index <= count; index++) bench.remote(`t${index}`)
  return bench
}

// Guards against a response that reaches the wrong request's stream, or ends a request whose retry runs.
test('late events of an earlier attempt are ignored', () => {
  const bench = withTargets(3)
  const first = Benches.only('forward', bench.step(bench.arrival()))
  const after = bench.responded(first, 500)
  assert.equal(Benches.only('cancel', after).attempt, first.attempt)
  const second = Benches.only('forward', after)
  assert.notEqual(second.target, first.target)
  assert.deepEqual(Benches.work([...bench.responded(first), ...bench.finished(first), ...bench.finished(first, { kind: 'cancelled' })]), [])
  assert.equal(Benches.only('relay', bench.responded(second)).attempt, second.attempt)
  assert.deepEqual(Benches.work([...bench.responded(second, 500), ...bench.finished(first)]), [])
  assert.equal(bench.engine.board.requests.byId.size, 1)
  bench.finished(second)
  assert.equal(bench.engine.board.requests.byId.size, 0)
  assert.deepEqual(Benches.work([...bench.finished(second), ...bench.responded(second)]), [])
  for (const target of ['t1', 't2', 't3']) assert.equal(bench.engine.board.requests.estimates.inFlight(Ids.targetId(target)), 0)
})

// Guards against a second run of non-idempotent work and against a false "not run".
test('retries and outcomes follow what may have run', () => {
  const lost = { kind: 'disconnected', responseStarted: false } as const
  const cases = [
    { method: 'POST', ends: [lost], outcome: 'unknown' },
    { method: 'POST', ends: [{ kind: 'timed-out', responseStarted: false }], outcome: 'unknown' },
    { method: 'POST', ends: [Benches.refused('target-ejected'), { kind: 'unreachable' }, Benches.refused('target-leaving')], outcome: 'not-run' },
    { method: 'POST', ends: [Benches.refused('target-leaving'), lost], outcome: 'unknown' },
    { method: 'GET', ends: [lost, Benches.refused('target-unknown'), Benches.refused('target-leaving')], outcome: 'unknown' }
  ] as const
  for (const { method, ends, outcome } of cases) {
    const bench = withTargets(5)
    let commands = bench.step(bench.arrival({ method }))
    for (const end of ends) commands = bench.finished(Benches.only('forward', commands), end)
    assert.equal(Benches.only('refuse', commands).refusal.outcome, outcome, JSON.stringify(ends))
    assert.equal(Benches.work(commands).length, 1)
  }
})

// Guards against retries by two layers, which would multiply.
test('a host never retries and counts earlier attempts', () => {
  const bench = new Benches.Bench()
  bench.local('t1', 4)
  bench.local('t2', 4)
  const host = Benches.only('dispatch', bench.step(bench.arrival({ hop: 'host', target: Ids.targetId('t1'), from: Ids.nodeId('n2') })))
  assert.equal(Benches.only('relay', bench.responded(host, 503)).attempt, host.attempt)
  const other = withTargets(3)
  const last = Benches.only('forward', other.step(other.arrival({ earlierAttempts: 2 })))
  assert.equal(Benches.only('relay', other.responded(last, 500)).attempt, last.attempt)
})

// Guards against requests that stay open after their deadline, and against a false "not run" for work that was sent.
test('the deadline cancels and refuses with the right outcome', () => {
  const remaining = Clock.milliseconds(250)
  const sent = withTargets(1)
  const forward = Benches.only('forward', sent.step(sent.arrival({ remaining })))
  assert.deepEqual(Benches.work(sent.tick(200)), [])
  const expired = sent.tick(100)
  assert.equal(Benches.only('cancel', expired).attempt, forward.attempt)
  assert.equal(Benches.only('refuse', expired).refusal.outcome, 'unknown')
  assert.deepEqual(Benches.work(sent.finished(forward, Benches.refused('overloaded'))), [])
  const queued = new Benches.Bench()
  queued.local('t1', 1)
  const running = Benches.only('dispatch', queued.step(queued.arrival()))
  assert.deepEqual(Benches.work(queued.step(queued.arrival({ remaining }))), [])
  assert.equal(Benches.only('refuse', [...queued.tick(200), ...queued.tick(100)]).refusal.outcome, 'not-run')
  assert.deepEqual(Benches.work(queued.finished(running)).filter(command => command.kind === 'dispatch'), [])
})

// Guards against work that goes on for a caller that left.
test('a cancelled request cancels its attempts', () => {
  const bench = withTargets(2)
  const forward = Benches.only('forward', bench.step(bench.arrival()))
  const commands = Benches.work(bench.step({ kind: 'request-cancelled', request: forward.request }))
  assert.deepEqual(commands, [{ kind: 'cancel', request: forward.request, attempt: forward.attempt }])
  assert.deepEqual(Benches.work([...bench.responded(forward), ...bench.finished(forward, { kind: 'cancelled' })]), [])
  assert.equal(bench.engine.board.requests.byId.size, 0)
})

// Guards against new work for targets whose host refused them, and against giving up when all are refused.
test('refused targets are avoided, but not all at once', () => {
  const bench = withTargets(4)
  const refuse = (forward: Benches.Command<'forward'>): readonly Decisions.Commands.Command[] => bench.finished(forward, Benches.refused('target-ejected'))
  const refusedTargets = new Set<string>()
  const send = (): Benches.Command<'forward'> => Benches.only('forward', bench.step(bench.arrival()))
  for (let round = 0; round < 200 && refusedTargets.size < 3; round++) {
    const forward = send()
    assert.ok(!refusedTargets.has(forward.target ?? ''))
    refusedTargets.add(forward.target ?? '')
    const retry = Benches.work(refuse(forward)).find((command): command is Benches.Command<'forward'> => command.kind === 'forward')
    if (retry !== undefined) bench.finished(retry, { kind: 'cancelled' })
  }
  const rest = send()
  assert.ok(!refusedTargets.has(rest.target ?? ''))
  refuse(rest)
  assert.ok(send().target !== undefined, 'with all targets refused, one is tried')
})

// Guards against more traffic between regions than the budget, and against work for a region without a living member.
test('other regions get work within the link budget and never when cut', () => {
  const linkBudget = 1
  const bench = new Benches.Bench({ linkBudget })
  for (const name of ['t1', 't2']) bench.remote(name, 'interior', 'kelowna-a')
  const seconds = 10
  const bytes = 10_000
  let sent = 0
  for (let step = 0; step < seconds * 100; step++) {
    bench.now += 10
    const forward = bench.step(bench.arrival()).find((command): command is Benches.Command<'forward'> => command.kind === 'forward')
    if (forward === undefined) continue
    sent += bytes
    bench.responded(forward)
    bench.finished(forward, { kind: 'complete', status: 200, bytes })
  }
  const bytesPerSecond = linkBudget * 1_000_000 / 8
  assert.ok(sent > 0)
  assert.ok(sent <= bytesPerSecond * (seconds + 1) + bytes, `${sent} bytes`)
  for (const [node, member] of bench.engine.board.members.byNode) bench.engine.board.members.byNode.set(node, { ...member, state: 'suspect' })
  bench.now += 5_000
  assert.equal(Benches.only('refuse', bench.step(bench.arrival())).refusal.kind, 'no-target-available')
})
