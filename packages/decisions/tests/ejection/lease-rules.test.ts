import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as LeaseRules from '../../src/ejection/lease-rules.js'
import * as Fleets from '../support/fleet.js'

const RELIABLE = { loss: 0, duplication: 0, delay: 10 }
/** 24 targets at a floor of 0.7, rounded up. */
const REQUIRED = 17

class UnboundPromisers extends LeaseRules.LeaseRules { override isBound (): boolean { return false } }
class EndlessLeases extends LeaseRules.LeaseRules { override isCurrent (until: number): boolean { return until > 0 } }
class ShortPromises extends LeaseRules.LeaseRules {
  override promiseEnd (at: Decisions.Clock.Milliseconds): Decisions.Clock.Milliseconds { return Decisions.Clock.milliseconds(at + 500) }
}
class NoStartDelay extends LeaseRules.LeaseRules { override mayEjectAfterStart (): boolean { return true } }
class ReleasedGrantsAccepted extends LeaseRules.LeaseRules { override isGrantUsable (): boolean { return true } }
class LateReleasesAccepted extends LeaseRules.LeaseRules { override isReleased (): boolean { return true } }

/**
 * Lowest number of targets in service, out of 24 with floor 0.7. Seven ejections in region r1 rely on promises of
 * targets in r0. The rule for the region would still allow three ejections in r0; only the promises prevent them.
 */
function lowestInService (disturb: (fleet: Fleets.Fleet) => void, leaseRules?: LeaseRules.LeaseRules, spacing = 0): number {
  const fleet = new Fleets.Fleet(6, 4, 1, RELIABLE, leaseRules === undefined ? {} : { leaseRules })
  const inRegion = (region: string): Decisions.Ids.TargetId[] => fleet.targets.filter(target => fleet.hostOf(target).board.identity.region === region)
  let inService = fleet.targets.length
  fleet.onStep = () => { inService = Math.min(inService, fleet.targets.length - fleet.ejected().length) }
  for (const [index, target] of inRegion('r1').slice(0, 7).entries()) {
    fleet.schedule(Fleets.SETTLED_MS + 500 * index, () => { fleet.setEvidence(target) })
  }
  fleet.run(Fleets.SETTLED_MS + 5_000)
  assert.equal(fleet.ejected().length, 7)
  disturb(fleet)
  for (const target of inRegion('r0').slice(0, 3)) {
    fleet.setEvidence(target)
    fleet.run(fleet.now + spacing)
  }
  fleet.run(fleet.now + 30_000)
  return inService
}

/**
 * Time in ms between targets that become suspect; shorter than the renewal interval. After a claim with a common cause
 * the next one is delayed by at least 15 s, so the first claims must not coincide.
 */
const CLAIM_SPACING = 700
const noDisturbance = (): void => undefined
const restart = (fleet: Fleets.Fleet): void => {
  for (const node of fleet.nodes) if (node.board.identity.region === 'r0') node.restart()
}
const pause = (fleet: Fleets.Fleet): void => {
  for (const node of fleet.nodes) if (node.board.identity.region === 'r1') node.pausedUntil = fleet.now + 20_000
}

// Guards against ejections under the rules for the service and for the region that together violate the floor. Each test
// also shows that the floor is violated without the lease rule that prevents it.
test('a promiser stays in service while its promise lasts', () => {
  assert.ok(lowestInService(noDisturbance, undefined, CLAIM_SPACING) >= REQUIRED)
  assert.ok(lowestInService(noDisturbance, new UnboundPromisers(), CLAIM_SPACING) < REQUIRED)
  assert.ok(lowestInService(noDisturbance, new ShortPromises(), CLAIM_SPACING) < REQUIRED)
})
test('a restarted node ejects nothing until lost promises have ended', () => {
  assert.ok(lowestInService(restart) >= REQUIRED)
  assert.ok(lowestInService(restart, new NoStartDelay()) < REQUIRED)
})
test('a paused host returns targets whose leases have ended', () => {
  assert.ok(lowestInService(pause) >= REQUIRED)
  assert.ok(lowestInService(pause, new EndlessLeases()) < REQUIRED)
})

const FOREIGN_CLAIM = 'claim of n1'
const T0 = Decisions.Ids.targetId('t0-0')
const T1 = Decisions.Ids.targetId('t1-0')

/** Two nodes with one target each. Replies of n0 to the injected claim of n1 are not delivered. */
function createPair (leaseRules: LeaseRules.LeaseRules | undefined, replies: Decisions.Messages.Message[]): Fleets.Fleet {
  const fleet = new Fleets.Fleet(2, 1, 1, RELIABLE, { floor: 0.5, regions: 1, ...(leaseRules === undefined ? {} : { leaseRules }) })
  const transmit = fleet.transmit.bind(fleet)
  fleet.transmit = (from, command) => {
    if (command.message.kind === 'promise-reply' && command.message.granted.includes(T1)) replies.push(command.message)
    if (!('claim' in command.message && command.message.claim === FOREIGN_CLAIM)) transmit(from, command)
  }
  return fleet
}

/** Delivers a message to n0 as if n1 had sent it. */
function inject (fleet: Fleets.Fleet, message: Decisions.Messages.Message): void {
  const [host, peer] = fleet.nodes
  assert.ok(host !== undefined && peer !== undefined)
  host.handle({ kind: 'message-received', from: peer.id, address: peer.board.identity.address, message })
}

function request (round: number): Decisions.Messages.Message {
  return { kind: 'promise-request', claim: FOREIGN_CLAIM, target: T1, service: Fleets.SERVICE, region: Decisions.Ids.region('r0'), round, promisers: [T0] }
}

function afterLateRelease (leaseRules?: LeaseRules.LeaseRules): readonly Decisions.Ids.TargetId[] {
  const fleet = createPair(leaseRules, [])
  fleet.run(Fleets.SETTLED_MS)
  inject(fleet, request(2))
  inject(fleet, { kind: 'promise-release', claim: FOREIGN_CLAIM, round: 1, promisers: [T0] })
  fleet.setEvidence(T0)
  fleet.run(fleet.now + 1_000)
  return fleet.ejected()
}

// Guards against a release that arrives after a newer request of the same claim and ends its promise.
test('a late release does not end a newer promise', () => {
  assert.deepEqual(afterLateRelease(), [])
  assert.deepEqual(afterLateRelease(new LateReleasesAccepted()), [T0])
})

function afterLateGrant (leaseRules?: LeaseRules.LeaseRules): readonly Decisions.Ids.TargetId[] {
  const replies: Decisions.Messages.Message[] = []
  const fleet = createPair(leaseRules, replies)
  fleet.run(Fleets.SETTLED_MS)
  inject(fleet, request(1))
  fleet.setEvidence(T0)
  fleet.run(fleet.now + 300)
  const grant = replies[0]
  assert.ok(grant?.kind === 'promise-reply')
  fleet.setEvidence(T1, 10)
  inject(fleet, { kind: 'promise-withdrawal', claim: grant.claim, target: T0, promisers: [T1] })
  inject(fleet, grant)
  inject(fleet, { kind: 'promise-release', claim: FOREIGN_CLAIM, round: 1, promisers: [T0] })
  fleet.run(fleet.now + 150)
  return fleet.ejected()
}

// Guards against relying on a duplicated grant whose promise has been released.
test('a late grant does not restore a released promise', () => {
  assert.deepEqual(afterLateGrant(), [])
  assert.deepEqual(afterLateGrant(new ReleasedGrantsAccepted()), [T0])
})
