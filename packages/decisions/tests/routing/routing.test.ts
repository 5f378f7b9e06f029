import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as EngineHarnesses from '../engine-harness.js'

const { Clock, Ids } = Decisions

function withTargets (count: number, policy: Partial<Decisions.Policies.Policy> = {}): EngineHarnesses.EngineHarness {
  const harness = new EngineHarnesses.EngineHarness(policy)
  for (let index = 1; index <= count; index++) harness.addRemoteTarget(`t${index}`)
  return harness
}

// Guards against a late response that is relayed for the wrong attempt, or that ends a request whose retry is running.
test('late events of an earlier attempt are ignored', () => {
  const harness = withTargets(3)
  const first = EngineHarnesses.onlyCommand('forward', harness.step(harness.arrival()))
  const after = harness.respond(first, 500)
  assert.equal(EngineHarnesses.onlyCommand('cancel', after).attempt, first.attempt)
  const second = EngineHarnesses.onlyCommand('forward', after)
  assert.notEqual(second.target, first.target)
  assert.deepEqual(EngineHarnesses.requestCommands([...harness.respond(first), ...harness.finish(first), ...harness.finish(first, { kind: 'cancelled' })]), [])
  assert.equal(EngineHarnesses.onlyCommand('relay', harness.respond(second)).attempt, second.attempt)
  assert.deepEqual(EngineHarnesses.requestCommands([...harness.respond(second, 500), ...harness.finish(first)]), [])
  assert.equal(harness.engine.board.requests.byId.size, 1)
  harness.finish(second)
  assert.equal(harness.engine.board.requests.byId.size, 0)
  assert.deepEqual(EngineHarnesses.requestCommands([...harness.finish(second), ...harness.respond(second)]), [])
  for (const target of ['t1', 't2', 't3']) assert.equal(harness.engine.board.requests.estimates.inFlight(Ids.targetId(target)), 0)
})

// Guards against a second execution of a non-idempotent request, and against the outcome `not-run` for one that may have run.
test('retries and outcomes follow what may have run', () => {
  const lost = { kind: 'disconnected', responseStarted: false } as const
  const cases = [
    { method: 'POST', ends: [lost], outcome: 'unknown' },
    { method: 'POST', ends: [{ kind: 'timed-out', responseStarted: false }], outcome: 'unknown' },
    { method: 'POST', ends: [EngineHarnesses.refusedEnd('target-ejected'), { kind: 'unreachable' }, EngineHarnesses.refusedEnd('target-leaving')], outcome: 'not-run' },
    { method: 'POST', ends: [EngineHarnesses.refusedEnd('target-leaving'), lost], outcome: 'unknown' },
    { method: 'GET', ends: [lost, EngineHarnesses.refusedEnd('target-unknown'), EngineHarnesses.refusedEnd('target-leaving')], outcome: 'unknown' }
  ] as const
  for (const { method, ends, outcome } of cases) {
    const harness = withTargets(5)
    let commands = harness.step(harness.arrival({ method }))
    for (const end of ends) commands = harness.finish(EngineHarnesses.onlyCommand('forward', commands), end)
    assert.equal(EngineHarnesses.onlyCommand('refuse', commands).refusal.outcome, outcome, JSON.stringify(ends))
    assert.equal(EngineHarnesses.requestCommands(commands).length, 1)
  }
})

// Guards against retries by both the entry and the host, whose numbers would multiply.
test('a host never retries and counts earlier attempts', () => {
  const harness = new EngineHarnesses.EngineHarness()
  harness.announceLocalTarget('t1', 4)
  harness.announceLocalTarget('t2', 4)
  const host = EngineHarnesses.onlyCommand('dispatch', harness.step(harness.arrival({ hop: 'host', target: Ids.targetId('t1'), from: Ids.nodeId('n2') })))
  assert.equal(EngineHarnesses.onlyCommand('relay', harness.respond(host, 503)).attempt, host.attempt)
  const other = withTargets(3)
  const last = EngineHarnesses.onlyCommand('forward', other.step(other.arrival({ earlierAttempts: 2 })))
  assert.equal(EngineHarnesses.onlyCommand('relay', other.respond(last, 500)).attempt, last.attempt)
})

// Guards against requests that stay open after their deadline, and against the outcome `not-run` for one that was sent.
test('the deadline cancels and refuses with the right outcome', () => {
  const remaining = Clock.milliseconds(250)
  const sent = withTargets(1)
  const forward = EngineHarnesses.onlyCommand('forward', sent.step(sent.arrival({ remaining })))
  assert.deepEqual(EngineHarnesses.requestCommands(sent.tick(200)), [])
  const expired = sent.tick(100)
  assert.equal(EngineHarnesses.onlyCommand('cancel', expired).attempt, forward.attempt)
  assert.equal(EngineHarnesses.onlyCommand('refuse', expired).refusal.outcome, 'unknown')
  assert.deepEqual(EngineHarnesses.requestCommands(sent.finish(forward, EngineHarnesses.refusedEnd('overloaded'))), [])
  const queued = new EngineHarnesses.EngineHarness()
  queued.announceLocalTarget('t1', 1)
  const running = EngineHarnesses.onlyCommand('dispatch', queued.step(queued.arrival()))
  assert.deepEqual(EngineHarnesses.requestCommands(queued.step(queued.arrival({ remaining }))), [])
  assert.equal(EngineHarnesses.onlyCommand('refuse', [...queued.tick(200), ...queued.tick(100)]).refusal.outcome, 'not-run')
  assert.deepEqual(EngineHarnesses.requestCommands(queued.finish(running)).filter(command => command.kind === 'dispatch'), [])
})

// Guards against attempts that go on after the caller has disconnected.
test('a cancelled request cancels its attempts', () => {
  const harness = withTargets(2)
  const forward = EngineHarnesses.onlyCommand('forward', harness.step(harness.arrival()))
  const commands = EngineHarnesses.requestCommands(harness.step({ kind: 'request-cancelled', request: forward.request }))
  assert.deepEqual(commands, [{ kind: 'cancel', request: forward.request, attempt: forward.attempt }])
  assert.deepEqual(EngineHarnesses.requestCommands([...harness.respond(forward), ...harness.finish(forward, { kind: 'cancelled' })]), [])
  assert.equal(harness.engine.board.requests.byId.size, 0)
})

// Guards against new requests to targets whose host refused work for them, and against refusing a request when all targets are avoided.
test('refused targets are avoided, but not all at once', () => {
  const harness = withTargets(4)
  const refuse = (forward: EngineHarnesses.Command<'forward'>): readonly Decisions.Commands.Command[] => harness.finish(forward, EngineHarnesses.refusedEnd('target-ejected'))
  const refusedTargets = new Set<string>()
  const send = (): EngineHarnesses.Command<'forward'> => EngineHarnesses.onlyCommand('forward', harness.step(harness.arrival()))
  for (let round = 0; round < 200 && refusedTargets.size < 3; round++) {
    const forward = send()
    assert.ok(!refusedTargets.has(forward.target ?? ''))
    refusedTargets.add(forward.target ?? '')
    const retry = EngineHarnesses.requestCommands(refuse(forward)).find((command): command is EngineHarnesses.Command<'forward'> => command.kind === 'forward')
    if (retry !== undefined) harness.finish(retry, { kind: 'cancelled' })
  }
  const rest = send()
  assert.ok(!refusedTargets.has(rest.target ?? ''))
  refuse(rest)
  assert.ok(send().target !== undefined, 'with all targets refused, one is tried')
})

// Guards against more traffic between regions than the link budget, and against requests to a region without an alive member.
test('other regions get work within the link budget, and unreachable ones get none', () => {
  const linkBudget = 1
  const harness = new EngineHarnesses.EngineHarness({ linkBudget })
  for (const name of ['t1', 't2']) harness.addRemoteTarget(name, 'interior', 'kelowna-a')
  const seconds = 10
  const bytes = 10_000
  let sent = 0
  for (let step = 0; step < seconds * 100; step++) {
    harness.now += 10
    const forward = harness.step(harness.arrival()).find((command): command is EngineHarnesses.Command<'forward'> => command.kind === 'forward')
    if (forward === undefined) continue
    sent += bytes
    harness.respond(forward)
    harness.finish(forward, { kind: 'complete', status: 200, bytes })
  }
  const bytesPerSecond = linkBudget * 1_000_000 / 8
  assert.ok(sent > 0)
  assert.ok(sent <= bytesPerSecond * (seconds + 1) + bytes, `${sent} bytes`)
  for (const [node, member] of harness.engine.board.members.byNode) harness.engine.board.members.byNode.set(node, { ...member, state: 'suspect' })
  harness.now += 5_000
  assert.equal(EngineHarnesses.onlyCommand('refuse', harness.step(harness.arrival())).refusal.kind, 'no-target-available')
})
