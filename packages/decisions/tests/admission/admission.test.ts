import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as FastCheck from 'fast-check'
import * as Decisions from '@jasminedale/decisions'
import * as ConcurrencyLimits from '../../src/admission/concurrency-limit.js'
import * as Benches from '../bench.js'

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

/** Plays actions on one host and checks its promises after each. */
class Play {
  private readonly bench = new Benches.Bench({ drainLimit: DRAIN_LIMIT }, EXCEPTIONS)
  private readonly open: Benches.Command<'dispatch'>[] = []
  private readonly dispatched = new Set<string>()
  private readonly answered = new Set<string>()
  private readonly arrived: string[] = []
  private readonly incarnations = new Map<string, number>()

  constructor () {
    this.announce('t1')
    this.announce('t2')
  }

  run (actions: readonly Action[]): void {
    for (const next of actions) this.act(next)
    for (let round = 0; round < 10; round++) this.act({ kind: 'tick', duration: 100 })
    while (this.open.length > 0) this.act({ kind: 'lose', pick: 0 })
    const { board } = this.bench.engine
    assert.equal(board.requests.byId.size, 0)
    assert.equal(board.limits.dispatched.size, 0)
    for (const limit of board.limits.byTarget.values()) assert.deepEqual([limit.running, limit.queued], [0, 0])
    assert.deepEqual(this.arrived.filter(id => !this.answered.has(id)), [], 'every request is answered or cancelled')
  }

  private act (next: Action): void {
    switch (next.kind) {
      case 'arrive': this.arrive(next); break
      case 'respond': this.on(next.pick, dispatch => this.bench.responded(dispatch)); break
      case 'finish': this.end(next.pick, { kind: 'complete', status: 200, bytes: 1 }); break
      case 'lose': this.end(next.pick, { kind: 'disconnected', responseStarted: false }); break
      case 'cancel': this.cancel(next.pick); break
      case 'crash': this.check(this.bench.step({ kind: 'target-gone', target: Ids.targetId(next.target), crashed: true })); break
      case 'leave': this.check(this.bench.step({ kind: 'target-leaving', target: Ids.targetId(next.target) })); break
      case 'drain': this.check(this.bench.step({ kind: 'drain-requested', target: Ids.targetId(next.target) })); break
      case 'announce': this.announce(next.target); break
      case 'drain-node': this.check(this.bench.step({ kind: 'drain-requested' })); break
      case 'wait': this.bench.now += next.duration; break
      case 'tick': this.check(this.bench.tick(next.duration)); break
    }
  }

  private arrive ({ target: name, priority, remaining }: Extract<Action, { readonly kind: 'arrive' }>): void {
    const arrival = this.bench.arrival({ hop: 'host', target: Ids.targetId(name), path: `/${priority}`, remaining: Clock.milliseconds(remaining) })
    this.arrived.push(arrival.request)
    this.check(this.bench.step(arrival))
  }

  private announce (name: string): void {
    const incarnation = (this.incarnations.get(name) ?? 0) + 1
    this.incarnations.set(name, incarnation)
    this.check(this.bench.local(name, SLOTS, incarnation))
  }

  private on (index: number, run: (dispatch: Benches.Command<'dispatch'>) => readonly Decisions.Commands.Command[]): void {
    const dispatch = this.open[index % Math.max(1, this.open.length)]
    if (dispatch !== undefined) this.check(run(dispatch))
  }

  private end (index: number, end: Decisions.Events.AttemptEnd): void {
    this.on(index, dispatch => {
      this.open.splice(this.open.indexOf(dispatch), 1)
      // The same end twice must not free a second slot.
      return [...this.bench.finished(dispatch, end), ...this.bench.finished(dispatch, end)]
    })
  }

  /** Cancels any request, whether it waits or runs. */
  private cancel (index: number): void {
    const request = [...this.bench.engine.board.requests.byId.keys()][index]
    if (request === undefined) return
    this.answered.add(request)
    this.check(this.bench.step({ kind: 'request-cancelled', request }))
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
    for (const limit of this.bench.engine.board.limits.byTarget.values()) assert.ok(limit.running <= SLOTS)
    assert.equal(this.bench.engine.board.limits.dispatched.size, this.open.length)
  }
}

// Guards against slots that leak or are counted back twice, and against refused work that runs after all.
test('slots and outcomes hold under any interleaving', () => {
  FastCheck.assert(FastCheck.property(FastCheck.array(action, { minLength: 10, maxLength: 80 }), actions => { new Play().run(actions) }), { seed: 8, numRuns: 400 })
})

function submit (bench: Benches.Bench, priority: (typeof PRIORITIES)[number], remaining = 10_000): readonly Decisions.Commands.Command[] {
  return Benches.work(bench.step(bench.arrival({ hop: 'host', target: Ids.targetId('t1'), path: `/${priority}`, remaining: Clock.milliseconds(remaining) })))
}

// Guards against critical work behind the rest, displacement of the wrong work, and starvation within a priority.
test('a full queue displaces the newest of the lowest priority', () => {
  const bench = new Benches.Bench({}, EXCEPTIONS)
  bench.local('t1', 1)
  let running = Benches.only('dispatch', submit(bench, 'normal'))
  const queued: string[] = []
  for (let index = 0; index < 300; index++) {
    const { request } = bench.engine.board.requests.byId.size === 0 ? { request: '' } : { request: `r${index + 2}` }
    if (submit(bench, 'sheddable').length === 0) queued.push(request)
  }
  assert.ok(queued.length < 300, 'the queue is bounded')
  const newest = queued.at(-1)
  const displaced = Benches.only('refuse', submit(bench, 'critical'))
  assert.deepEqual([displaced.request, displaced.refusal.kind, displaced.refusal.outcome], [newest, 'overloaded', 'not-run'])
  assert.ok((displaced.refusal.retryAfter ?? 0) > 0)
  const order: string[] = []
  for (let index = 0; index < 4; index++) {
    bench.responded(running)
    running = Benches.only('dispatch', bench.finished(running))
    order.push(running.request)
  }
  assert.deepEqual(order.slice(1), queued.slice(0, 3), 'in order of arrival after the critical request')
})

// Guards against a queue of work that cannot finish in time.
test('work that cannot finish in time is refused at once', () => {
  const bench = new Benches.Bench({}, EXCEPTIONS)
  bench.local('t1', 1)
  for (let index = 0; index < 10; index++) {
    const dispatch = Benches.only('dispatch', submit(bench, 'normal'))
    bench.now += 100
    bench.responded(dispatch)
    bench.finished(dispatch)
  }
  Benches.only('dispatch', submit(bench, 'normal'))
  assert.deepEqual(submit(bench, 'normal', 1_000), [])
  const refusal = Benches.only('refuse', submit(bench, 'normal', 150)).refusal
  assert.deepEqual([refusal.kind, refusal.outcome], ['overloaded', 'not-run'])
})

// Guards against a planned stop of the node that takes new work, cuts off old work, or never ends.
test('a draining node finishes its work and refuses the rest', () => {
  const bench = new Benches.Bench({ drainLimit: DRAIN_LIMIT })
  bench.local('t1', 1)
  const running = Benches.only('dispatch', bench.step(bench.arrival()))
  bench.step(bench.arrival())
  assert.deepEqual(Benches.work(bench.step({ kind: 'drain-requested' })), [])
  const fresh = Benches.only('refuse', bench.step(bench.arrival())).refusal
  assert.deepEqual([fresh.kind, fresh.outcome], ['node-leaving', 'not-run'])
  const key = Ids.idempotencyKey(`${bench.now}-1`)
  assert.equal(Benches.only('refuse', bench.step(bench.arrival({ method: 'POST', key }))).refusal.outcome, 'unknown')
  const host = bench.arrival({ hop: 'host', target: Ids.targetId('t1') })
  assert.equal(Benches.only('refuse', bench.step(host)).refusal.kind, 'target-leaving')
  bench.responded(running)
  const last = Benches.only('dispatch', bench.finished(running))
  const ended = [...bench.tick(), ...bench.tick(DRAIN_LIMIT)].filter(command => command.kind === 'drained')
  assert.deepEqual(ended, [{ kind: 'drained', target: 't1', abandoned: 1 }, { kind: 'drained', abandoned: 1 }])
  bench.responded(last)
  assert.deepEqual(bench.finished(last).filter(command => command.kind === 'drained'), [])
})

// Guards against work for ejected targets, and against a return that takes more than the target's share.
test('ejected targets refuse and returning ones take a share', () => {
  const bench = new Benches.Bench()
  bench.local('t1', 4)
  const { local } = bench.engine.board.ejections
  const until = Clock.milliseconds(bench.now + 5_000)
  local.set(Ids.targetId('t1'), { kind: 'ejected', since: Clock.milliseconds(bench.now), until, evidence: 'test' })
  const { refusal } = Benches.only('refuse', submit(bench, 'normal'))
  assert.deepEqual([refusal.kind, refusal.outcome, refusal.retryAfter], ['target-ejected', 'not-run', 5_000])
  local.set(Ids.targetId('t1'), { kind: 'in-service', weight: 0.5 })
  const kinds = [1, 2, 3].map(() => submit(bench, 'normal')[0]?.kind)
  assert.deepEqual(kinds, ['dispatch', 'dispatch', 'refuse'])
})

// Guards against a limit that stays high on a target that slows down with concurrency, or low after it recovers.
test('the limit follows the concurrency that the target can bear', () => {
  const slots = 8
  const limit = new ConcurrencyLimits.ConcurrencyLimit(slots)
  const play = (bearable: number, rounds: number): void => {
    for (let index = 0; index < rounds; index++) {
      const running = limit.limit
      limit.responded(Clock.milliseconds(20 * Math.max(1, (running / bearable) ** 2)), running)
    }
  }
  play(slots, 100)
  assert.equal(limit.limit, slots)
  play(2, 1_000)
  assert.ok(limit.limit < slots / 2, `limit ${limit.limit}`)
  play(slots, 1_000)
  assert.equal(limit.limit, slots)
  limit.shed(Clock.milliseconds(0))
  limit.shed(Clock.milliseconds(10))
  assert.equal(limit.limit, 6)
})
