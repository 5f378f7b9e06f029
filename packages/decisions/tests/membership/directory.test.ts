import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as FastCheck from 'fast-check'
import * as Decisions from '@jasminedale/decisions'
import * as HostRecords from '../../src/membership/host-record.js'
import type * as Messages from '../../src/membership/message.js'
import * as Fleets from '../fleet.js'

const service = Decisions.Ids.service('s')
const target = (name: string): Decisions.Ids.TargetId => Decisions.Ids.targetId(name)

function fleetWithTargets (nodes: number): Fleets.Fleet {
  const fleet = new Fleets.Fleet({ dataCenters: { a: nodes, b: nodes }, regionOf: name => name === 'a' ? 'r1' : 'r2', validatesMessages: true })
  for (const node of fleet.running()) for (const index of [0, 1, 2]) node.announcedTargets.set(`${node.name}-${index}`, 's')
  fleet.run(15_000)
  return fleet
}

function selectable (node: Fleets.Node): string[] {
  const { targets, members } = node.engine.board
  return targets.selectable(service, members).map(found => found.target).sort()
}

function counted (node: Fleets.Node): number {
  return node.engine.board.targets.countedForFloor(service).length
}

// Guards against work for a backend server more than 2 s after it began to leave or 6 s after its announcements stopped.
test('leaving and silent targets are known everywhere', () => {
  const fleet = fleetWithTargets(10)
  assert.ok(fleet.running().every(node => selectable(node).length === 60))
  const host = fleet.node('b-2')
  fleet.step(host, { kind: 'target-leaving', target: target('b-2-1') })
  assert.ok(fleet.run(2_000, () => fleet.running().every(node => !selectable(node).includes('b-2-1'))) < 2_000)
  host.announcedTargets.delete('b-2-0')
  assert.ok(fleet.run(6_000, () => fleet.running().every(node => !selectable(node).includes('b-2-0'))) < 6_000)
  assert.ok(fleet.running().every(node => selectable(node).length === 58))
})

// Guards against a capacity floor computed without the targets of dead hosts, and against work for dead hosts.
test('targets of a dead host count for the floor until it has left', () => {
  const fleet = fleetWithTargets(6)
  const [dead, left] = [fleet.node('a-3'), fleet.node('b-4')]
  fleet.stop(dead)
  fleet.step(left, { kind: 'drain-requested' })
  fleet.run(500)
  fleet.stop(left)
  fleet.run(15_000)
  for (const node of fleet.running()) {
    assert.equal(counted(node), 33)
    assert.equal(selectable(node).length, 30)
  }
  // A node that joins afterwards must count the same targets.
  const late = fleet.add('a-9', 'a')
  fleet.run(15_000)
  assert.equal(counted(late), 33)
  assert.deepEqual(selectable(late), selectable(fleet.node('a-0')))
})

// Guards against nodes that keep gossiping or synchronizing although nothing changes.
test('an idle fleet only probes', () => {
  const fleet = fleetWithTargets(5)
  fleet.run(60_000)
  fleet.sent.clear()
  fleet.run(70_000)
  // The fake log has no roster stream, so Ownership keeps requesting rosters. All other kinds of messages are faults.
  assert.deepEqual([...fleet.sent.keys()].sort(), ['ack', 'ping', 'roster-request', 'sync-digest'])
})

// Guards against targets that remain after their host's restart although they have stopped announcing themselves.
test('a restarted host replaces its targets', () => {
  const fleet = fleetWithTargets(6)
  const host = fleet.node('b-1')
  fleet.stop(host)
  host.announcedTargets.delete('b-1-2')
  fleet.run(500)
  fleet.restart(host)
  fleet.run(15_000)
  const expected = fleet.running().flatMap(node => [...node.announcedTargets.keys()]).sort()
  for (const node of fleet.running()) assert.deepEqual(selectable(node), expected)
})

// Guards against states that depend on the order of arrival: changes and snapshots, reordered and repeated, must give the same state.
test('host records agree whatever the order of changes', () => {
  const states = ['serving', 'leaving', 'gone'] as const
  const history = FastCheck.array(FastCheck.record({ target: FastCheck.integer({ min: 0, max: 4 }), state: FastCheck.constantFrom(...states) }), { minLength: 1, maxLength: 20 })
  FastCheck.assert(FastCheck.property(history, FastCheck.infiniteStream(FastCheck.nat()), (steps, choices: Iterator<number, unknown>) => {
    const source = new HostRecords.HostRecord(Decisions.Ids.incarnation(1))
    const model = new Map<Decisions.Ids.TargetId, Messages.TargetChange>()
    const messages: { readonly complete?: number, readonly changes: Messages.TargetChange[] }[] = []
    steps.forEach((step, index) => {
      const change: Messages.TargetChange = [index + 1, target(`t${step.target}`), service, 1, Decisions.Ids.incarnation(1), step.state, 0]
      source.applyChanges([change])
      if (step.state === 'gone') model.delete(change[1])
      else model.set(change[1], change)
      messages.push({ changes: [change] }, { complete: index + 1, changes: [...model.values()] })
    })
    const copy = new HostRecords.HostRecord(Decisions.Ids.incarnation(1))
    const view = new Map<string, string>()
    const final = messages.at(-1)
    const shuffled = messages.map(message => ({ message, rank: Number(choices.next().value) })).sort((left, right) => left.rank - right.rank).map(item => item.message)
    for (const message of [...shuffled, ...shuffled.slice(0, 5), final ?? { changes: [] }]) {
      const { complete, changes } = message
      const { newer, removed } = complete === undefined ? { newer: copy.applyChanges(changes), removed: [] } : copy.applySnapshot(complete, changes)
      for (const name of removed) view.delete(name)
      for (const [, name,,,, state] of newer) {
        if (state === 'gone') view.delete(name)
        else view.set(name, state)
      }
    }
    const expected = [...model.values()].map(change => [change[1], change[5]]).sort()
    assert.deepEqual([...view].sort(), expected)
    assert.equal(copy.watermark, source.watermark)
  }), { seed: 7, numRuns: 500 })
})
