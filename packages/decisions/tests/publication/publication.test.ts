import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as FastCheck from 'fast-check'
import * as Decisions from '@jasminedale/decisions'
import * as Patches from '../../src/publication/patch.js'
import * as Fleets from '../fleet.js'

const FOUR = { a: 10, b: 10, c: 10, d: 10 }
const regionOf = (name: string): string => name < 'c' ? 'r1' : 'r2'

function inForce (fleet: Fleets.Fleet, version: number): boolean {
  return fleet.versions().every(found => found === version)
}

function texts (fleet: Fleets.Fleet): Set<string> {
  return new Set(fleet.running().map(node => node.engine.board.configuration.text))
}

// Guards against publications that reach some nodes late: they must be in force everywhere 4 s after acceptance.
test('a configuration is in force everywhere within 4 s', () => {
  for (const seed of [1, 2, 3]) {
    const fleet = new Fleets.Fleet({ dataCenters: { a: 25, b: 25, c: 25, d: 25 }, regionOf, loss: 0.05, seed })
    fleet.run(20_000)
    for (const base of [0, 1, 2]) {
      fleet.append({ base, publication: `p${base}`, text: `[defaults]\n${'setting = 1\n'.repeat(100)}note = ${base}\n` })
      const taken = fleet.run(4_000, () => inForce(fleet, base + 1))
      assert.ok(taken < 4_000, `seed ${seed}: version ${base + 1} took more than 4 s`)
    }
    assert.equal(texts(fleet).size, 1)
  }
})

// Guards against an accepted configuration that is reverted, or that restarted nodes do not learn, during a log outage.
test('versions never go down through restarts in a log outage', () => {
  const fleet = new Fleets.Fleet({ dataCenters: FOUR, regionOf, loss: 0.05, validatesMessages: true })
  fleet.run(15_000)
  for (const base of [0, 1]) fleet.append({ base, publication: `p${base}`, text: `v${base}` })
  fleet.run(4_000)
  fleet.log.down = true
  const known = new Map<Fleets.Node, number>()
  let hasDecreased = false
  const checkVersions = (): boolean => {
    for (const node of fleet.running()) {
      const { version } = node.engine.board.configuration.current
      hasDecreased ||= version < (known.get(node) ?? 0)
      known.set(node, version)
    }
    return false
  }
  for (const node of fleet.running()) {
    fleet.stop(node)
    known.delete(node)
    fleet.run(700, checkVersions)
    fleet.restart(node)
    fleet.run(700, checkVersions)
  }
  fleet.run(4_000, checkVersions)
  assert.equal(hasDecreased, false)
  assert.ok(inForce(fleet, 2))
  fleet.log.down = false
  fleet.append({ base: 2, publication: 'p2', text: 'v2' })
  assert.ok(fleet.run(4_000, () => inForce(fleet, 3)) < 4_000)
})

// Guards against a log outage, or a node on which the newest version is not in force, that other nodes do not know of.
test('every node reports the log outage and nodes that are behind', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 12, b: 12 }, validatesMessages: true })
  fleet.run(10_000)
  const behind = fleet.node('b-5')
  fleet.isBlocked = (from, to, channel) => channel === 'stream' && (from === behind || to === behind)
  fleet.append({ base: 0, publication: 'p0', text: 'v0' })
  fleet.run(500)
  const downSince = fleet.now
  fleet.log.down = true
  fleet.run(15_000)
  for (const node of fleet.running()) {
    const { configuration, members } = node.engine.board
    const since = configuration.logUnavailableSince
    assert.ok(since !== undefined && since - downSince >= 0 && since - downSince <= 1_000, node.name)
    assert.equal(configuration.highestKnownVersion, 1)
    const reported = members.withOlderConfiguration(Decisions.Ids.version(1), Decisions.Clock.milliseconds(configuration.inForceSince + 4_000))
    if (node !== behind) assert.deepEqual(reported.map(member => member.node), ['b-5'])
  }
  fleet.isBlocked = () => false
  fleet.log.down = false
  // A node that gossip misses learns of the change from the next synchronization, at most 15 s later.
  fleet.run(20_000)
  for (const node of fleet.running()) {
    const { configuration, members } = node.engine.board
    assert.equal(configuration.logUnavailableSince, undefined)
    const since = Decisions.Clock.milliseconds(configuration.inForceSince + 4_000)
    assert.deepEqual(members.withOlderConfiguration(Decisions.Ids.version(1), since), [])
  }
})

// Guards against two publishers that are both told of their success, and against a repeated record that counts twice.
test('all nodes accept the same one of concurrent publications', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 5, b: 5 }, validatesMessages: true })
  fleet.run(10_000)
  fleet.append({ base: 0, publication: 'bad', text: 'bad text' })
  fleet.append({ base: 0, publication: 'p', text: 'from p' })
  fleet.append({ base: 0, publication: 'q', text: 'from q' })
  fleet.append({ base: 0, publication: 'p', text: 'from p' })
  fleet.append('not a record')
  fleet.append({ base: 1, publication: 'q', text: 'from q' })
  assert.ok(fleet.run(4_000, () => inForce(fleet, 2)) < 4_000)
  assert.deepEqual([...texts(fleet)], ['from q'])
  const bodies = fleet.log.records.map(record => record.body)
  const outcome = (publication: string, base: number): Decisions.PublicationOutcomes.PublicationOutcome =>
    Decisions.PublicationOutcomes.determine(bodies, { base: Decisions.Ids.version(base), publication }, Fleets.parse)
  assert.deepEqual(outcome('p', 0), { kind: 'accepted', version: 1 })
  assert.deepEqual(outcome('q', 0), { kind: 'lost', version: 1, publication: 'p', text: 'from p' })
  assert.deepEqual(outcome('r', 2), { kind: 'absent' })
  assert.equal(outcome('bad', 0).kind, 'lost')
  const skipped = fleet.running().flatMap(node => node.engine.board.journal.all()).filter(entry => entry.decision === 'record-skipped')
  assert.ok(skipped.some(entry => entry.evidence.includes('bad-text')))
})

// Guards against outdated snapshots and messages that restore an old configuration.
test('an outdated snapshot or message does not replace the configuration', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 5, b: 5 } })
  fleet.run(10_000)
  for (const base of [0, 1, 2]) fleet.append({ base, publication: `p${base}`, text: `v${base}` })
  fleet.run(4_000)
  fleet.append({ snapshot: 1, publication: 'p0', text: 'v0' })
  fleet.append({ snapshot: 3, publication: 'other', text: 'other' })
  const [sender, receiver] = [fleet.node('a-1'), fleet.node('b-1')]
  const { address, incarnation } = sender.engine.board.identity
  for (const version of [2, 3]) {
    const content = { kind: 'whole', text: 'stale' } as const
    const message = { kind: 'configuration-text', address, incarnation, configuration: Decisions.Ids.version(version), publication: 'stale', offset: 0, preservedAt: 0, digest: Decisions.Rendezvous.digest('stale'), content } as const
    fleet.step(receiver, { kind: 'message-received', from: sender.engine.board.identity.node, address, message })
  }
  fleet.run(4_000)
  assert.ok(inForce(fleet, 3))
  assert.deepEqual([...texts(fleet)], ['v2'])
})

// Guards against the removal of the current version by retention, also when the replies to appended snapshots are lost.
test('retention keeps the current version on the log', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 5, b: 5 } })
  fleet.log.retention = 60_000
  fleet.log.loseReplies = true
  fleet.run(10_000)
  for (const base of [0, 1, 2]) fleet.append({ base, publication: `p${base}`, text: `v${base}` })
  let isPreserved = true
  fleet.run(400_000, () => {
    isPreserved &&= fleet.log.records.some(({ body }) => body.includes('"v2"'))
    return false
  })
  assert.ok(isPreserved)
  assert.ok(fleet.log.end < 3 + 400_000 / 30_000 * 3, `${fleet.log.end} records`)
  // After a restart of the whole fleet, only the log holds the configuration.
  for (const node of fleet.running()) fleet.stop(node)
  for (const node of fleet.nodes.values()) fleet.restart(node)
  fleet.run(8_000)
  assert.ok(inForce(fleet, 3))
  fleet.append({ base: 3, publication: 'p3', text: 'v3' })
  assert.ok(fleet.run(4_000, () => inForce(fleet, 4)) < 4_000)
})

// Guards against readers that do not recover from an outage longer than the retention time, or that then accept a late proposal
// for a version that another one has become.
test('an outage longer than retention loses nothing', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 5, b: 5 } })
  fleet.log.retention = 60_000
  fleet.run(10_000)
  fleet.append({ base: 0, publication: 'p0', text: 'v0' })
  fleet.run(4_000)
  fleet.log.down = true
  fleet.run(200_000)
  fleet.log.down = false
  fleet.append({ base: 0, publication: 'late', text: 'late' })
  fleet.append({ base: 1, publication: 'p1', text: 'v1' })
  assert.ok(fleet.run(4_000, () => inForce(fleet, 2)) < 4_000)
  assert.deepEqual([...texts(fleet)], ['v1'])
})

// Guards against patches that lose or duplicate characters where the common prefix and suffix overlap.
test('a patch restores the text', () => {
  const text = FastCheck.string({ unit: FastCheck.constantFrom('a', 'b'), maxLength: 12 })
  FastCheck.assert(FastCheck.property(text, text, (base, next) => Patches.apply(base, Patches.create(base, next)) === next), { seed: 3, numRuns: 1_000 })
})
