/** Random schedules of requests and faults, and the promises that must hold after each. */
import * as FastCheck from 'fast-check'
import * as IdempotencyTables from '../../src/ownership/idempotency-table.js'
import type * as OwnershipRules from '../../src/ownership/ownership-rules.js'
import * as Fleets from './fleet.js'

const NODES = 5
/** Few records, so that schedules reach the horizon. */
const SMALL: IdempotencyTables.TableLimits = { keys: 3, bytes: 4, responseBytes: 2 }

type Operation = (fleet: Fleets.Fleet) => void

const node = FastCheck.nat({ max: NODES - 1 })
const skew = FastCheck.integer({ min: -1_500, max: 8_000 })

function keyAt (time: number, name: number): string {
  return `a.${Math.floor(time)}-${name}`
}

/** One key, sent through several nodes at different times. */
const sends = FastCheck.tuple(skew, FastCheck.array(FastCheck.tuple(node, FastCheck.nat({ max: 14_000 })), { minLength: 1, maxLength: 5 }), FastCheck.nat({ max: 99 }))
  .map(([ahead, entries, name]): Operation => fleet => {
    const key = keyAt(fleet.now + ahead, name)
    for (const [entry, delay] of entries) fleet.later(delay, () => { fleet.send(entry, key) })
  })

const advance = FastCheck.nat({ max: 3_000 }).map((duration): Operation => fleet => { fleet.advance(duration) })
const view = FastCheck.tuple(node, FastCheck.boolean()).map(([subject, dead]): Operation => fleet => {
  for (let viewer = 0; viewer < NODES; viewer += 1) if (viewer !== subject) fleet.view(viewer, subject, dead ? 'dead' : 'alive')
})
const lone = FastCheck.tuple(node, node).map(([viewer, subject]): Operation => fleet => { if (viewer !== subject) fleet.view(viewer, subject, 'dead') })
const crash = node.map((index): Operation => fleet => { fleet.crash(index) })
const restart = node.map((index): Operation => fleet => { fleet.restart(index) })
const pause = FastCheck.tuple(node, FastCheck.nat({ max: 9_000 })).map(([index, duration]): Operation => fleet => {
  fleet.slot(index).pausedUntil = fleet.now + duration
})
const jump = FastCheck.tuple(node, FastCheck.integer({ min: -20_000, max: 40_000 })).map(([index, offset]): Operation => fleet => {
  fleet.slot(index).clockOffset = offset
})
const cut = FastCheck.tuple(node, FastCheck.oneof(node, FastCheck.constant('log')), FastCheck.boolean()).map(([from, to, heals]): Operation => fleet => {
  if (heals) fleet.cuts.clear()
  else fleet.cuts.add(`${from}>${to}`)
})
const network = FastCheck.tuple(FastCheck.constantFrom(0, 0.2), FastCheck.constantFrom(0, 0.3), FastCheck.constantFrom(10, 300, 2_500))
  .map(([loss, duplication, spread]): Operation => fleet => { Object.assign(fleet, { loss, duplication, spread }) })
const outage = FastCheck.boolean().map((up): Operation => fleet => { fleet.logUp = up })
const append = FastCheck.constantFrom('reply-lost' as const, 'late' as const).map((fault): Operation => fleet => { fleet.appendFault = fault })
const leave = node.map((index): Operation => fleet => { fleet.drain(index) })

/** A node that hears promises but loses every message that tells of a new roster, and that others remove. */
const deaf = node.map((index): Operation => fleet => {
  fleet.deaf.add(index)
  fleet.cuts.add(`${index}>log`)
  for (let viewer = 0; viewer < NODES; viewer += 1) if (viewer !== index) fleet.view(viewer, index, 'dead')
})

/** One node is cut off, and all others restart without their memory of what they promised to it. */
const survivor = node.map((index): Operation => fleet => {
  for (let other = 0; other < NODES; other += 1) {
    if (other === index) continue
    fleet.cuts.add(`${index}>${other}`).add(`${other}>${index}`)
    fleet.restart(other)
  }
  fleet.cuts.add(`${index}>log`)
  for (let viewer = 0; viewer < NODES; viewer += 1) if (viewer !== index) fleet.view(viewer, index, 'dead')
})

/** Operations weighted so that rosters change often and keys are open when they do. */
const operation = FastCheck.oneof(
  { weight: 8, arbitrary: sends }, { weight: 7, arbitrary: advance }, { weight: 4, arbitrary: view }, { weight: 1, arbitrary: lone },
  { weight: 1, arbitrary: crash }, { weight: 2, arbitrary: restart }, { weight: 1, arbitrary: pause }, { weight: 1, arbitrary: jump },
  { weight: 1, arbitrary: cut }, { weight: 1, arbitrary: network }, { weight: 1, arbitrary: outage }, { weight: 1, arbitrary: append },
  { weight: 1, arbitrary: leave }, { weight: 1, arbitrary: deaf }, { weight: 1, arbitrary: survivor }
)

export interface Variant { readonly rules?: OwnershipRules.OwnershipRules, readonly ledger?: (bounds: IdempotencyTables.TableLimits) => IdempotencyTables.IdempotencyTable }

/** Says what promise the schedule broke, or undefined. */
export function broken (fleet: Fleets.Fleet): string | undefined {
  for (const [key, count] of fleet.dispatches) if (count > 1) return `${key} ran ${count} times`
  for (const { key, answer } of fleet.answers) {
    if (answer.kind === 'refused' && answer.refusal.outcome === 'not-run' && fleet.dispatches.has(key)) return `${key} ran and was called not run`
  }
  return undefined
}

/** A fleet after a random schedule, with all delayed work done. */
function run (seed: number, operations: readonly Operation[], variant: Variant): Fleets.Fleet {
  const fleet = new Fleets.Fleet({
    places: ['a/a1', 'a/a1', 'a/a2', 'a/a2', 'b/b1'], seed, refusedShare: 0.2, detects: false,
    ledger: () => variant.ledger?.(SMALL) ?? new IdempotencyTables.IdempotencyTable(SMALL),
    ...(variant.rules === undefined ? {} : { rules: variant.rules })
  })
  fleet.advance(8_000)
  for (const apply of operations) apply(fleet)
  fleet.advance(15_000)
  return fleet
}

/** Checks random schedules; returns the first broken promise or undefined. */
export function check (runs: number, seed: number, variant: Variant = {}): string | undefined {
  const property = FastCheck.property(FastCheck.nat(), FastCheck.array(operation, { minLength: 10, maxLength: 40, size: 'max' }), (fleetSeed, operations) => {
    const fleet = run(fleetSeed, operations, variant)
    const fault = broken(fleet)
    if (fault !== undefined) throw new Error(fault)
  })
  const result = FastCheck.check(property, { numRuns: runs, seed, endOnFailure: true })
  return result.failed ? `${result.errorInstance instanceof Error ? result.errorInstance.stack : 'failed'} after ${result.numRuns} schedules, seed ${result.seed} path ${result.counterexamplePath}` : undefined
}
