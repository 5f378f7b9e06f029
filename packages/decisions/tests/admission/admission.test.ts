import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as FastCheck from 'fast-check'
import * as Decisions from '@jasminedale/decisions'
import * as ConcurrencyLimits from '../../src/admission/concurrency-limit.js'
import * as EngineHarnesses from '../engine-harness.js'

const { Clock, Ids } = Decisions
const PRIORITIES = ['critical', 'normal', 'sheddable'] as const
const EXCEPTIONS = PRIORITIES.map(priority => ({ name: priority, reason: 'test', scope: { pathPrefix: `/${priority}` }, overrides: { priority } }))
const SLOTS = 2
const DRAIN_LIMIT = Clock.milliseconds(400)

type Action =
  | { readonly kind: 'arrive', readonly target: string, readonly priority: (typeof PRIORITIES)[number], readonly remaining: number }
  | { readonly kind: 'respond' | 'finish' | 'lose' | 'cancel', readonly pick: number }
  | { readonly kind: 'crash' | 'leave' | 'announce' | 'drain', readonly target: string }
  | { readonly kind: 'drain-node' }
  | { readonly kind: 'tick' | 'wait', readonly duration: number }

const target = FastCheck.constantFrom('t1', 't2')
const pick = FastCheck.nat({ max: 5 })
const action: FastCheck.Arbitrary<Action> = FastCheck.oneof(
  { weight: 8, arbitrary: FastCheck.record({ kind: FastCheck.constant('arrive' as const), target, priority: FastCheck.constantFrom(...PRIORITIES), remaining: FastCheck.integer({ min: 0, max: 600 }) }) },
  { weight: 8, arbitrary: FastCheck.record({ kind: FastCheck.constantFrom('respond' as const, 'finish' as const, 'lose' as const, 'cancel' as const), pick }) },
  { weight: 2, arbitrary: FastCheck.record({ kind: FastCheck.constantFrom('crash' as const, 'leave' as const, 'announce' as const, 'drain' as const), target }) },
  { weight: 3, arbitrary: FastCheck.record({ kind: FastCheck.constantFrom('tick' as const, 'wait' as const), duration: FastCheck.integer({ min: 1, max: 300 }) }) },
  { weight: 1, arbitrary: FastCheck.constant({ kind: 'drain-node' as const }) }
)

/** Applies actions to one host and checks the invariants of Admission after each. */
class ActionRunner {
  private readonly harness = new EngineHarnesses.EngineHarness({ drainLimit: DRAIN_LIMIT }, EXCEPTIONS)
  private readonly open: EngineHarnesses.Command<'dispatch'>[] = []
  private readonly dispatched = new Set<string>()
  private readonly answered = new Set<string>()
  private readonly arrived: string[] = []
  private readonly incarnations = new Map<string, number>()

  constructor () {
    this.announce('t1')
    this.announce('t2')
  }

  run (actions: readonly Action[]): void {
    for (const next of actions) this.apply(next)
    for (let round = 0; round < 10; round++) this.apply({ kind: 'tick', duration: 100 })
    while (this.open.length > 0) this.apply({ kind: 'lose', pick: 0 })
    const { board } = this.harness.engine
    assert.equal(board.requests.byId.size, 0)
    assert.equal(board.limits.dispatched.size, 0)
    for (const limit of board.limits.byTarget.values()) assert.deepEqual([limit.running, limit.queued], [0, 0])
    assert.deepEqual(this.arrived.filter(id => !this.answered.has(id)), [], 'every request is answered or cancelled')
  }

  private apply (next: Action): void {
    switch (next.kind) {
      case 'arrive': this.arrive(next); break
      case 'respond': this.forAttempt(next.pick, dispatch => this.harness.respond(dispatch)); break
      case 'finish': this.end(next.pick, { kind: 'complete', status: 200, bytes: 1 }); break
      case 'lose': this.end(next.pick, { kind: 'disconnected', responseStarted: false }); break
      case 'cancel': this.cancel(next.pick); break
      case 'crash': this.check(this.harness.step({ kind: 'target-gone', target: Ids.targetId(next.target), crashed: true })); break
      case 'leave': this.check(this.harness.step({ kind: 'target-leaving', target: Ids.targetId(next.target) })); break
      case 'drain': this.check(this.harness.step({ kind: 'drain-requested', target: Ids.targetId(next.target) })); break
      case 'announce': this.announce(next.target); break
      case 'drain-node': this.check(this.harness.step({ kind: 'drain-requested' })); break
      case 'wait': this.harness.now += next.duration; break
      case 'tick': this.check(this.harness.tick(next.duration)); break
    }
  }

  private arrive ({ target: name, priority, remaining }: Extract<Action, { readonly kind: 'arrive' }>): void {
    const arrival = this.harness.arrival({ hop: 'host', target: Ids.targetId(name), path: `/${priority}`, remaining: Clock.milliseconds(remaining) })
    this.arrived.push(arrival.request)
    this.check(this.harness.step(arrival))
  }

  private announce (name: string): void {
    const incarnation = (this.incarnations.get(name) ?? 0) + 1
    this.incarnations.set(name, incarnation)
    this.check(this.harness.announceLocalTarget(name, SLOTS, incarnation))
  }

  private forAttempt (index: number, run: (dispatch: EngineHarnesses.Command<'dispatch'>) => readonly Decisions.Commands.Command[]): void {
    const dispatch = this.open[index % Math.max(1, this.open.length)]
    if (dispatch !== undefined) this.check(run(dispatch))
  }

  private end (index: number, end: Decisions.Events.AttemptEnd): void {
    this.forAttempt(index, dispatch => {
      this.open.splice(this.open.indexOf(dispatch), 1)
      // A duplicate end of the attempt must not free a second slot.
      return [...this.harness.finish(dispatch, end), ...this.harness.finish(dispatch, end)]
    })
  }

  /** Cancels a request, whether it is queued or running. */
  private cancel (index: number): void {
    const request = [...this.harness.engine.board.requests.byId.keys()][index]
    if (request === undefined) return
    this.answered.add(request)
    this.check(this.harness.step({ kind: 'request-cancelled', request }))
  }

  private check (commands: readonly Decisions.Commands.Command[]): void {
    for (const command of commands) {
      switch (command.kind) {
        case 'dispatch':
          assert.ok(!this.answered.has(command.request), 'answered or cancelled work is not dispatched')
          assert.ok(!this.dispatched.has(command.request), 'work is dispatched once')
          assert.ok(command.remaining > 0)
          this.dispatched.add(command.request)
          this.open.push(command)
          break
        case 'refuse':
          assert.ok(!this.answered.has(command.request), 'a request is answered once')
          assert.equal(command.refusal.outcome === 'not-run', !this.dispatched.has(command.request))
          this.answered.add(command.request)
          break
        case 'relay':
          assert.ok(!this.answered.has(command.request), 'a request is answered once')
          this.answered.add(command.request)
          break
        default: break
      }
    }
    for (const limit of this.harness.engine.board.limits.byTarget.values()) assert.ok(limit.running <= SLOTS)
    assert.equal(this.harness.engine.board.limits.dispatched.size, this.open.length)
  }
}

// Guards against slots that leak or are freed twice, and against requests that run although they were refused.
test('slots and outcomes hold under any interleaving', () => {
  FastCheck.assert(FastCheck.property(FastCheck.array(action, { minLength: 10, maxLength: 80 }), actions => { new ActionRunner().run(actions) }), { seed: 8, numRuns: 400 })
})

function sendRequest (harness: EngineHarnesses.EngineHarness, priority: (typeof PRIORITIES)[number], remaining = 10_000): readonly Decisions.Commands.Command[] {
  return EngineHarnesses.requestCommands(harness.step(harness.arrival({ hop: 'host', target: Ids.targetId('t1'), path: `/${priority}`, remaining: Clock.milliseconds(remaining) })))
}

// Guards against critical requests behind others, displacement of the wrong request, and starvation within a priority.
test('a full queue displaces the newest of the lowest priority', () => {
  const harness = new EngineHarnesses.EngineHarness({}, EXCEPTIONS)
  harness.announceLocalTarget('t1', 1)
  let running = EngineHarnesses.onlyCommand('dispatch', sendRequest(harness, 'normal'))
  const queued: string[] = []
  for (let index = 0; index < 300; index++) {
    const { request } = harness.engine.board.requests.byId.size === 0 ? { request: '' } : { request: `r${index + 2}` }
    if (sendRequest(harness, 'sheddable').length === 0) queued.push(request)
  }
  assert.ok(queued.length < 300, 'the queue is bounded')
  const newest = queued.at(-1)
  const displaced = EngineHarnesses.onlyCommand('refuse', sendRequest(harness, 'critical'))
  assert.deepEqual([displaced.request, displaced.refusal.kind, displaced.refusal.outcome], [newest, 'overloaded', 'not-run'])
  assert.ok((displaced.refusal.retryAfter ?? 0) > 0)
  const order: string[] = []
  for (let index = 0; index < 4; index++) {
    harness.respond(running)
    running = EngineHarnesses.onlyCommand('dispatch', harness.finish(running))
    order.push(running.request)
  }
  assert.deepEqual(order.slice(1), queued.slice(0, 3), 'in order of arrival after the critical request')
})

// Guards against a queue of requests that cannot finish before their deadlines.
test('work that cannot finish in time is refused at once', () => {
  const harness = new EngineHarnesses.EngineHarness({}, EXCEPTIONS)
  harness.announceLocalTarget('t1', 1)
  for (let index = 0; index < 10; index++) {
    const dispatch = EngineHarnesses.onlyCommand('dispatch', sendRequest(harness, 'normal'))
    harness.now += 100
    harness.respond(dispatch)
    harness.finish(dispatch)
  }
  EngineHarnesses.onlyCommand('dispatch', sendRequest(harness, 'normal'))
  assert.deepEqual(sendRequest(harness, 'normal', 1_000), [])
  const refusal = EngineHarnesses.onlyCommand('refuse', sendRequest(harness, 'normal', 150)).refusal
  assert.deepEqual([refusal.kind, refusal.outcome], ['overloaded', 'not-run'])
})

// Guards against a planned stop that accepts new requests, cancels running ones, or never ends.
test('a draining node finishes its work and refuses the rest', () => {
  const harness = new EngineHarnesses.EngineHarness({ drainLimit: DRAIN_LIMIT })
  harness.announceLocalTarget('t1', 1)
  const running = EngineHarnesses.onlyCommand('dispatch', harness.step(harness.arrival()))
  harness.step(harness.arrival())
  assert.deepEqual(EngineHarnesses.requestCommands(harness.step({ kind: 'drain-requested' })), [])
  const fresh = EngineHarnesses.onlyCommand('refuse', harness.step(harness.arrival())).refusal
  assert.deepEqual([fresh.kind, fresh.outcome], ['node-leaving', 'not-run'])
  const key = Ids.idempotencyKey(`${harness.now}-1`)
  assert.equal(EngineHarnesses.onlyCommand('refuse', harness.step(harness.arrival({ method: 'POST', key }))).refusal.outcome, 'unknown')
  const host = harness.arrival({ hop: 'host', target: Ids.targetId('t1') })
  assert.equal(EngineHarnesses.onlyCommand('refuse', harness.step(host)).refusal.kind, 'target-leaving')
  harness.respond(running)
  const last = EngineHarnesses.onlyCommand('dispatch', harness.finish(running))
  const ended = [...harness.tick(), ...harness.tick(DRAIN_LIMIT)].filter(command => command.kind === 'drained')
  assert.deepEqual(ended, [{ kind: 'drained', target: 't1', abandoned: 1 }, { kind: 'drained', abandoned: 1 }])
  harness.respond(last)
  assert.deepEqual(harness.finish(last).filter(command => command.kind === 'drained'), [])
})

// Guards against requests to ejected targets, and against more than a returning target's share of the work.
test('ejected targets refuse and returning ones take a share', () => {
  const harness = new EngineHarnesses.EngineHarness()
  harness.announceLocalTarget('t1', 4)
  const { local } = harness.engine.board.ejections
  const until = Clock.milliseconds(harness.now + 5_000)
  local.set(Ids.targetId('t1'), { kind: 'ejected', since: Clock.milliseconds(harness.now), until, evidence: 'test' })
  const { refusal } = EngineHarnesses.onlyCommand('refuse', sendRequest(harness, 'normal'))
  assert.deepEqual([refusal.kind, refusal.outcome, refusal.retryAfter], ['target-ejected', 'not-run', 5_000])
  local.set(Ids.targetId('t1'), { kind: 'in-service', weight: 0.5 })
  const kinds = [1, 2, 3].map(() => sendRequest(harness, 'normal')[0]?.kind)
  assert.deepEqual(kinds, ['dispatch', 'dispatch', 'refuse'])
})

// Guards against a limit that stays high although the target slows down with concurrency, or low after it has recovered.
test('the limit follows the concurrency that the target can bear', () => {
  const slots = 8
  const limit = new ConcurrencyLimits.ConcurrencyLimit(slots)
  const respond = (bearable: number, rounds: number): void => {
    for (let index = 0; index < rounds; index++) {
      const running = limit.limit
      limit.recordResponse(Clock.milliseconds(20 * Math.max(1, (running / bearable) ** 2)), running)
    }
  }
  respond(slots, 100)
  assert.equal(limit.limit, slots)
  respond(2, 1_000)
  assert.ok(limit.limit < slots / 2, `limit ${limit.limit}`)
  respond(slots, 1_000)
  assert.equal(limit.limit, slots)
  limit.recordShed(Clock.milliseconds(0))
  limit.recordShed(Clock.milliseconds(10))
  assert.equal(limit.limit, 6)
})
