import { test } from 'node:test'
import * as FastCheck from 'fast-check'
import * as Fleets from '../support/fleet.js'

interface Disturbance {
  readonly at: number
  readonly kind: 'suspect' | 'recover' | 'pause' | 'restart' | 'cut-one-way' | 'heal' | 'forget'
  readonly which: number
  readonly duration: number
}

const disturbance: FastCheck.Arbitrary<Disturbance> = FastCheck.record({
  at: FastCheck.integer({ min: Fleets.SETTLED_MS, max: Fleets.SETTLED_MS + 25_000 }),
  kind: FastCheck.constantFrom('suspect', 'suspect', 'suspect', 'recover', 'pause', 'restart', 'cut-one-way', 'heal', 'forget'),
  which: FastCheck.nat(1_000_000),
  duration: FastCheck.integer({ min: 500, max: 25_000 })
})

function disturb (fleet: Fleets.Fleet, { kind, which, duration }: Disturbance): void {
  const target = fleet.targets[which % fleet.targets.length]
  const node = fleet.nodes[which % fleet.nodes.length]
  const other = fleet.nodes[(which >> 5) % fleet.nodes.length]
  if (target === undefined || node === undefined || other === undefined) return
  switch (kind) {
    case 'suspect': fleet.setEvidence(target); break
    case 'recover': fleet.setEvidence(target, 0); break
    case 'pause': node.pausedUntil = fleet.now + duration; break
    case 'restart': node.restart(); break
    case 'cut-one-way': fleet.blockedLinks.add(`${node.id}>${other.id}`); break
    case 'heal': fleet.blockedLinks.clear(); break
    // The node counts too few targets; the larger counts of the other nodes must prevail.
    case 'forget': if (other !== fleet.hostOf(target)) other.board.targets.remove(target); break
  }
}

/** Lowest number of targets that ejection left in service during the run. */
function lowestInService (nodes: number, perNode: number, seed: number, steps: readonly Disturbance[], floor: number): number {
  const network = { loss: (seed % 4) * 0.1, duplication: 0.1, delay: [2, 50, 3_000, 15_000][seed % 4] ?? 2 }
  const fleet = new Fleets.Fleet(nodes, perNode, seed, network, { floor })
  let inService = fleet.targets.length
  fleet.onStep = () => { inService = Math.min(inService, fleet.targets.length - fleet.ejected().length) }
  for (const step of steps) fleet.schedule(step.at, () => { disturb(fleet, step) })
  fleet.run(Fleets.SETTLED_MS + 30_000)
  return inService
}

function assertFloorHolds (nodes: number, perNode: number, floor: number, numRuns: number, maxLength: number): void {
  const required = Math.ceil(floor * nodes * perNode)
  FastCheck.assert(FastCheck.property(
    FastCheck.nat(1_000_000), FastCheck.array(disturbance, { minLength: maxLength / 2, maxLength }),
    (seed, steps) => lowestInService(nodes, perNode, seed, steps, floor) >= required
  ), { seed: 20_261_204, numRuns, endOnFailure: true })
}

// Guards against ejections below the floor under message loss, delay and duplication, one-way cuts, pauses, restarts and stale counts.
test('floor holds with 2 targets', () => { assertFloorHolds(2, 1, 0.5, 1_500, 12) })
test('floor holds with 24 targets', () => { assertFloorHolds(6, 4, 0.7, 200, 40) })
test('floor holds with 200 targets', () => { assertFloorHolds(20, 10, 0.7, 8, 200) })
