import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as LeaseRules from '../../src/ejection/lease-rules.js'
import * as Fleets from '../support/fleet.js'

const RELIABLE = { loss: 0, duplication: 0, delay: 10 }
const NEEDED = 17

class Unbound extends LeaseRules.LeaseRules { override isBound (): boolean { return false } }
class Endless extends LeaseRules.LeaseRules { override isCurrent (until: number): boolean { return until > 0 } }
class Brief extends LeaseRules.LeaseRules {
  override promiseEnd (at: Decisions.Clock.Milliseconds): Decisions.Clock.Milliseconds { return Decisions.Clock.milliseconds(at + 500) }
}
class Hasty extends LeaseRules.LeaseRules { override mayEjectAfterStart (): boolean { return true } }
class Credulous extends LeaseRules.LeaseRules { override isGrantUsable (): boolean { return true } }
class Forgetful extends LeaseRules.LeaseRules { override isReleased (): boolean { return true } }

/**
 * 24 targets with floor 0.7. Seven ejections in region r1 rely on promises of r0, whose own regional rule
 * would still allow three ejections there: only the promises keep the sum above the floor.
 */
function lowest (disturb: (fleet: Fleets.Fleet) => void, guard?: LeaseRules.LeaseRules, spread = 0): number {
  const fleet = new Fleets.Fleet(6, 4, 1, RELIABLE, guard === undefined ? {} : { leaseRules: guard })
  const inRegion = (region: string): Decisions.Ids.TargetId[] => fleet.targets.filter(target => fleet.hostOf(target).board.identity.region === region)
  let left = fleet.targets.length
  fleet.watch = () => { left = Math.min(left, fleet.targets.length - fleet.ejected().length) }
  for (const [index, target] of inRegion('r1').slice(0, 7).entries()) {
    fleet.later(Fleets.SETTLED + 500 * index, () => { fleet.suspect(target) })
  }
  fleet.run(Fleets.SETTLED + 5_000)
  assert.equal(fleet.ejected().length, 7)
  disturb(fleet)
  for (const target of inRegion('r0').slice(0, 3)) {
    fleet.suspect(target)
    fleet.run(fleet.now + spread)
  }
  fleet.run(fleet.now + 30_000)
  return left
}

/** Part of a renewal period in ms. A target waits for at least 15 s after a claim under shared evidence, so the first claims have to differ. */
const SPREAD = 700
const quiet = (): void => undefined
const restart = (fleet: Fleets.Fleet): void => {
  for (const node of fleet.nodes) if (node.board.identity.region === 'r0') node.restart()
}
const pause = (fleet: Fleets.Fleet): void => {
  for (const node of fleet.nodes) if (node.board.identity.region === 'r1') node.pausedUntil = fleet.now + 20_000
}

// Guards against the sum of global and regional ejections falling below the floor, and shows what prevents it.
test('promiser stays in service', () => {
  assert.ok(lowest(quiet, undefined, SPREAD) >= NEEDED)
  assert.ok(lowest(quiet, new Unbound(), SPREAD) < NEEDED)
  assert.ok(lowest(quiet, new Brief(), SPREAD) < NEEDED)
})
test('restarted promiser ejects nothing', () => {
  assert.ok(lowest(restart) >= NEEDED)
  assert.ok(lowest(restart, new Hasty()) < NEEDED)
})
test('paused host drops ended leases', () => {
  assert.ok(lowest(pause) >= NEEDED)
  assert.ok(lowest(pause, new Endless()) < NEEDED)
})

const FOREIGN = 'claim of n1'
const T0 = Decisions.Ids.targetId('t0-0')
const T1 = Decisions.Ids.targetId('t1-0')

/** Two nodes with a target each; what n0 answers to the invented claim of n1 is not delivered. */
function pair (guard: LeaseRules.LeaseRules | undefined, replies: Decisions.Messages.Message[]): Fleets.Fleet {
  const fleet = new Fleets.Fleet(2, 1, 1, RELIABLE, { floor: 0.5, regions: 1, ...(guard === undefined ? {} : { leaseRules: guard }) })
  const carry = fleet.carry.bind(fleet)
  fleet.carry = (from, command) => {
    if (command.message.kind === 'promise-reply' && command.message.granted.includes(T1)) replies.push(command.message)
    if (!('claim' in command.message && command.message.claim === FOREIGN)) carry(from, command)
  }
  return fleet
}

/** Delivers a message of n1 to n0. */
function inject (fleet: Fleets.Fleet, message: Decisions.Messages.Message): void {
  const [host, peer] = fleet.nodes
  assert.ok(host !== undefined && peer !== undefined)
  host.handle({ kind: 'message-received', from: peer.id, address: peer.board.identity.address, message })
}

function request (round: number): Decisions.Messages.Message {
  return { kind: 'promise-request', claim: FOREIGN, target: T1, service: Fleets.SERVICE, region: Decisions.Ids.region('r0'), round, promisers: [T0] }
}

function afterLateRelease (guard?: LeaseRules.LeaseRules): readonly Decisions.Ids.TargetId[] {
  const fleet = pair(guard, [])
  fleet.run(Fleets.SETTLED)
  inject(fleet, request(2))
  inject(fleet, { kind: 'promise-release', claim: FOREIGN, round: 1, promisers: [T0] })
  fleet.suspect(T0)
  fleet.run(fleet.now + 1_000)
  return fleet.ejected()
}

// Guards against a release that was overtaken by a newer request.
test('late release ends no newer promise', () => {
  assert.deepEqual(afterLateRelease(), [])
  assert.deepEqual(afterLateRelease(new Forgetful()), [T0])
})

function afterLateGrant (guard?: LeaseRules.LeaseRules): readonly Decisions.Ids.TargetId[] {
  const replies: Decisions.Messages.Message[] = []
  const fleet = pair(guard, replies)
  fleet.run(Fleets.SETTLED)
  inject(fleet, request(1))
  fleet.suspect(T0)
  fleet.run(fleet.now + 300)
  const grant = replies[0]
  assert.ok(grant?.kind === 'promise-reply')
  fleet.suspect(T1, 10)
  inject(fleet, { kind: 'promise-withdrawal', claim: grant.claim, target: T0, promisers: [T1] })
  inject(fleet, grant)
  inject(fleet, { kind: 'promise-release', claim: FOREIGN, round: 1, promisers: [T0] })
  fleet.run(fleet.now + 150)
  return fleet.ejected()
}

// Guards against relying on a duplicated grant after its promise was given back.
test('late grant revives no returned promise', () => {
  assert.deepEqual(afterLateGrant(), [])
  assert.deepEqual(afterLateGrant(new Credulous()), [T0])
})
