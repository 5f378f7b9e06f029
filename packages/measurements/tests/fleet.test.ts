import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Measurements from '@jasminedale/measurements'

const SERVER = { slots: 4, serviceTime: 40, deviation: 0.4 }
const ONE_REGION = { seed: 11, regions: { 'lower-mainland': ['burnaby-a', 'surrey-b'] }, nodesPerDataCenter: 2, targetsPerNode: 3, server: SERVER }
const TWO_REGIONS = { ...ONE_REGION, regions: { 'lower-mainland': ['burnaby-a'], interior: ['kelowna-a'] } }
/** Retries as a fraction of first attempts. */
const RETRY_BUDGET = 0.1

/** Returns the virtual time `value` seconds after the fleet has formed, in ms. */
const seconds = (value: number): number => Measurements.Fleets.START_MS + value * 1_000

/** Executions that the retry budget allows: each node may carry over one unused retry. */
function allowedStarts (sent: number, fleet: Measurements.Fleets.Fleet): number {
  return sent * (1 + RETRY_BUDGET) + fleet.nodes.length
}

// Guards against retry amplification when many targets answer with errors.
test('retries add at most a tenth while a third of the targets fail', () => {
  const fleet = new Measurements.Fleets.Fleet(ONE_REGION)
  for (const server of [...fleet.servers.values()].slice(0, fleet.servers.size / 3)) server.errorRate = 1
  const load = new Measurements.Loads.Load(fleet, { rate: fleet.capacity() / 2, from: seconds(2), until: seconds(22), deadline: 1_000 })
  fleet.scheduler.runUntil(seconds(25))
  assert.ok(fleet.starts() > load.sent, 'some requests are retried')
  assert.ok(fleet.starts() <= allowedStarts(load.sent, fleet), `${fleet.starts()} starts for ${load.sent} requests`)
})

// Guards against sending requests to the unreachable side of a partition, and against a retry storm when it heals.
test('a cut region gets nothing and its return starts no storm', () => {
  const fleet = new Measurements.Fleets.Fleet({ ...TWO_REGIONS, policy: { linkBudget: 30 } })
  const entries = fleet.nodes.filter(node => node.region === 'lower-mainland')
  const far = (): number => [...fleet.servers.values()].filter(server => server.name.startsWith('kelowna')).reduce((sum, server) => sum + server.startedCount, 0)
  const load = new Measurements.Loads.Load(fleet, { rate: fleet.capacity() * 0.6, from: seconds(2), until: seconds(90), deadline: 1_000, entries })
  fleet.scheduler.runUntil(seconds(10))
  assert.ok(far() > 0, 'an overloaded region spills over')
  fleet.cutRegions.add('interior')
  // Requests on their way to the region time out, and the members there are suspected for 3 s.
  fleet.scheduler.runUntil(seconds(15))
  const before = far()
  fleet.scheduler.runUntil(seconds(30))
  assert.equal(far(), before)
  fleet.cutRegions.clear()
  const [starts, sent] = [fleet.starts(), load.sent]
  fleet.scheduler.runUntil(seconds(90))
  assert.ok(far() > before, 'the region is used again')
  assert.ok(fleet.starts() - starts <= allowedStarts(load.sent - sent, fleet))
})

// Guards against requests that are answered after their deadline, and against slots that such requests leak.
test('every request is answered by its deadline', () => {
  const fleet = new Measurements.Fleets.Fleet(ONE_REGION)
  for (const server of fleet.servers.values()) server.slowness = 100
  const load = new Measurements.Loads.Load(fleet, { rate: 200, from: seconds(2), until: seconds(6), deadline: 500 })
  fleet.scheduler.runUntil(seconds(8))
  assert.equal(load.answers.length, load.sent)
  const tick = 100
  assert.ok(load.answers.every(answer => answer.at - answer.sentAt <= 500 + tick))
  for (const { engine: { board } } of fleet.nodes) {
    assert.equal(board.requests.byId.size, 0)
    assert.ok([...board.limits.byTarget.values()].every(limit => limit.running === 0 && limit.queued === 0))
  }
})

// Guards against a false "not run" and against a second run of non-idempotent work, under overload, crashes and errors.
test('refused work never ran and non-idempotent work runs once', () => {
  const fleet = new Measurements.Fleets.Fleet(ONE_REGION)
  const options = { rate: fleet.capacity(), from: seconds(2), until: seconds(12), deadline: 300 }
  const loads = ['GET', 'POST'].map(method => new Measurements.Loads.Load(fleet, { ...options, method, path: `/${method}` }))
  const [first, second] = [...fleet.servers.keys()]
  fleet.scheduler.after(5_000, () => {
    for (const name of [first, second]) {
      fleet.servers.get(name ?? '')?.crash()
      fleet.host(name ?? '').step([{ kind: 'target-gone', target: Decisions.Ids.targetId(name ?? ''), crashed: true }])
    }
  })
  fleet.scheduler.runUntil(seconds(14))
  const answers = loads.flatMap(load => load.answers)
  const notRun = answers.filter(answer => answer.refusal?.outcome === 'not-run')
  assert.ok(notRun.length > 0)
  assert.deepEqual(notRun.filter(answer => fleet.startsOf(answer.id) > 0), [])
  assert.ok(answers.filter(answer => answer.id.startsWith('/POST')).every(answer => fleet.startsOf(answer.id) <= 1))
})

// Guards against new requests to a leaving target, and against interrupting its requests in progress.
test('a leaving target gets nothing new and cuts nothing off', () => {
  const fleet = new Measurements.Fleets.Fleet(ONE_REGION)
  const load = new Measurements.Loads.Load(fleet, { rate: fleet.capacity() / 2, from: seconds(2), until: seconds(10), deadline: 2_000 })
  fleet.scheduler.runUntil(seconds(5))
  const [name = ''] = fleet.servers.keys()
  const [host, server] = [fleet.host(name), fleet.servers.get(name)]
  host.step([{ kind: 'target-leaving', target: Decisions.Ids.targetId(name) }])
  const queued = host.engine.board.limits.byTarget.get(Decisions.Ids.targetId(name))?.queued ?? 0
  const before = server?.startedCount ?? 0
  fleet.scheduler.runUntil(seconds(13))
  assert.ok((server?.startedCount ?? 0) <= before + queued)
  assert.deepEqual(host.drained, [{ kind: 'drained', target: name, abandoned: 0 }])
  assert.equal(load.successfulAnswers().length, load.sent)
})
