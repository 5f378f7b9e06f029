import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Fleets from '../fleet.js'

const { nodeId } = Decisions.Ids

// Guards against a node that learns of no members but its seeds.
test('nodes join through one seed', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 5, b: 5 }, validatesMessages: true })
  assert.ok(fleet.run(5_000, () => fleet.converged()) < 5_000)
})

// Guards against a crash that part of the fleet does not detect, and against the removal of healthy members.
test('a failure is detected and spread', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 10, b: 10 }, loss: 0.05, validatesMessages: true })
  fleet.run(10_000)
  const crashed = fleet.node('b-3')
  fleet.stop(crashed)
  const everywhere = (): boolean => fleet.running().every(node => fleet.states(node).get('b-3') === 'dead')
  assert.ok(fleet.run(15_000, everywhere) < 15_000)
  assert.ok(fleet.running().every(node => ![...fleet.states(node)].some(([name, state]) => name !== 'b-3' && state === 'dead')))
  fleet.restart(crashed)
  assert.ok(fleet.run(10_000, () => fleet.converged()) < 10_000)
})

// Guards against the removal of a member that was unreachable only for a short time.
test('a false suspicion is refuted', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 8 } })
  fleet.run(10_000)
  const isolated = fleet.node('a-5')
  fleet.isBlocked = (from, to) => from === isolated || to === isolated
  const suspected = (): boolean => fleet.running().some(node => fleet.states(node).get('a-5') === 'suspect')
  assert.ok(fleet.run(10_000, suspected) < 10_000)
  fleet.isBlocked = () => false
  let died = false
  fleet.run(10_000, () => {
    died ||= fleet.running().some(node => fleet.states(node).get('a-5') === 'dead')
    return false
  })
  assert.equal(died, false)
  assert.ok(fleet.converged())
})

// Guards against the removal of a member because of one broken path, and against work sent over that path.
test('a one-way cut between two nodes keeps the member but sends it no work over that path', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 6 } })
  fleet.node('a-2').announcedTargets.set('t', 's')
  fleet.node('a-4').announcedTargets.set('u', 's')
  fleet.run(10_000)
  const [from, to] = [fleet.node('a-1'), fleet.node('a-2')]
  fleet.isBlocked = (sender, receiver) => sender === from && receiver === to
  fleet.run(20_000)
  const { members, targets } = from.engine.board
  assert.equal(members.get(nodeId('a-2'))?.state, 'alive')
  assert.notEqual(members.get(nodeId('a-2'))?.unansweredSince, undefined)
  assert.deepEqual(targets.selectable(Decisions.Ids.service('s'), members).map(target => target.target), ['u'])
  fleet.isBlocked = () => false
  fleet.run(10_000)
  assert.equal(members.get(nodeId('a-2'))?.unansweredSince, undefined)
})

// Guards against a node that cannot receive but remains a member because its own messages arrive, and against its false
// reports about other members.
test('a node that sends but does not receive is removed', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 10 } })
  fleet.run(10_000)
  const sendOnly = fleet.node('a-7')
  fleet.isBlocked = (_, to) => to === sendOnly
  const others = fleet.running().filter(node => node !== sendOnly)
  const removed = (): boolean => others.every(node => fleet.states(node).get('a-7') === 'dead')
  assert.ok(fleet.run(15_000, removed) < 15_000)
  fleet.run(30_000)
  assert.ok(removed())
  assert.ok(others.every(node => others.every(other => fleet.states(node).get(other.name) === 'alive')))
  fleet.isBlocked = () => false
  assert.ok(fleet.run(30_000, () => fleet.converged()) < 30_000)
})

// Guards against two regions that do not rejoin after a partition of several minutes, and against members removed by
// outdated reports of the other region. In data centers of 3 nodes members are suspected one by one, in those of 8 together.
for (const size of [3, 8]) {
  test(`regions with ${size} nodes in a data center rejoin after a partition`, () => {
    const near = (name: string): boolean => name < 'c'
    const fleet = new Fleets.Fleet({ dataCenters: { a: size, b: size, c: size, d: size }, regionOf: name => near(name) ? 'r1' : 'r2' })
    fleet.run(10_000)
    const region = (node: Fleets.Node): boolean => near(node.dataCenter)
    fleet.isBlocked = (from, to) => region(from) !== region(to)
    fleet.run(300_000)
    const separated = fleet.running().every(node => [...fleet.states(node)].every(([name, state]) => (state === 'alive') === (region(node) === near(name))))
    assert.ok(separated)
    fleet.isBlocked = () => false
    let ownLost = false
    const healed = fleet.run(60_000, () => {
      ownLost ||= fleet.running().some(node => [...fleet.states(node)].some(([name, state]) => state === 'dead' && region(node) === near(name)))
      return fleet.converged()
    })
    assert.ok(healed < 60_000, `healed after ${healed} ms`)
    assert.equal(ownLost, false)
  })
}

// Guards against a fleet that does not agree on the members after the loss and the return of a whole data center.
test('loss of a data center is seen everywhere', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 12, b: 12, c: 12 }, loss: 0.05 })
  fleet.run(10_000)
  for (const node of fleet.running().filter(({ dataCenter }) => dataCenter === 'b')) fleet.stop(node)
  const seen = (): boolean => fleet.running().every(node =>
    [...fleet.states(node)].every(([name, state]) => (state === 'dead') === name.startsWith('b')))
  const taken = fleet.run(20_000, seen)
  assert.ok(taken < 20_000, `taken ${taken} ms`)
  for (const node of fleet.nodes.values()) if (!node.up) fleet.restart(node)
  assert.ok(fleet.run(20_000, () => fleet.converged()) < 20_000)
})

// Guards against work sent to a node that has left, and against delayed messages of its earlier incarnation.
test('a leave is spread at once and older incarnations are ignored', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 20, b: 20 } })
  fleet.run(10_000)
  const leaver = fleet.node('b-4')
  fleet.step(leaver, { kind: 'drain-requested' })
  const left = (): boolean => fleet.running().every(node => node === leaver || fleet.states(node).get('b-4') === 'left')
  assert.ok(fleet.run(2_000, left) < 2_000)
  const { address, incarnation } = leaver.engine.board.identity
  fleet.stop(leaver)
  fleet.run(5_000)
  fleet.restart(leaver)
  assert.ok(fleet.run(5_000, () => fleet.converged()) < 5_000)
  const observer = fleet.node('a-0')
  const update = { kind: 'member', node: nodeId('b-4'), address, dataCenter: Decisions.Ids.dataCenter('b'), region: Decisions.Ids.region('r1'), incarnation, revision: 9, state: 'left' } as const
  const message = { kind: 'gossip', address, incarnation, configuration: Decisions.Ids.version(0) } as const
  for (const from of [nodeId('b-4'), nodeId('a-1')]) {
    fleet.step(observer, { kind: 'message-received', from, address, message: { ...message, updates: [update] } })
  }
  assert.equal(fleet.states(observer).get('b-4'), 'alive')
})

// Guards against tables that grow with every replaced VM, and against expired entries that peers restore.
test('long-dead members are forgotten everywhere', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 6 } })
  fleet.run(10_000)
  fleet.stop(fleet.node('a-3'))
  fleet.run(3_700_000)
  assert.ok(fleet.running().every(node => !fleet.states(node).has('a-3')))
  fleet.run(60_000)
  assert.ok(fleet.running().every(node => !fleet.states(node).has('a-3')))
})

// Guards against joins that do not complete in a larger fleet with message loss.
test('100 nodes converge', () => {
  const fleet = new Fleets.Fleet({ dataCenters: { a: 25, b: 25, c: 25, d: 25 }, regionOf: name => name < 'c' ? 'r1' : 'r2', loss: 0.05 })
  const taken = fleet.run(30_000, () => fleet.converged())
  assert.ok(taken < 30_000, `taken ${taken} ms`)
})
