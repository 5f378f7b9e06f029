/** Random schedules of requests and faults, and the guarantees that must hold after each. */
import * as FastCheck from 'fast-check'
import * as IdempotencyTables from '../../src/ownership/idempotency-table.js'
import type * as OwnershipRules from '../../src/ownership/ownership-rules.js'
import * as Fleets from './fleet.js'

const NODES = 5
/** Few records, so that schedules raise the low watermark. */
const SMALL_LIMITS: IdempotencyTables.TableLimits = { records: 3, totalBytes: 4, bytesPerResponse: 2 }

type Operation = (fleet: Fleets.Fleet) => void

const node = FastCheck.nat({ max: NODES - 1 })
const keyTimeOffset = FastCheck.integer({ min: -1_500, max: 8_000 })

function keyAt (time: number, name: number): string {
  return `a.${Math.floor(time)}-${name}`
}

/** One key, sent through several nodes at different times. */
const sends = FastCheck.tuple(keyTimeOffset, FastCheck.array(FastCheck.tuple(node, FastCheck.nat({ max: 14_000 })), { minLength: 1, maxLength: 5 }), FastCheck.nat({ max: 99 }))
  .map(([ahead, entries, name]): Operation => fleet => {
    const key = keyAt(fleet.now + ahead, name)
    for (const [entry, delay] of entries) fleet.schedule(delay, () => { fleet.send(entry, key) })
  })

const advance = FastCheck.nat({ max: 3_000 }).map((duration): Operation => fleet => { fleet.advance(duration) })
const sharedView = FastCheck.tuple(node, FastCheck.boolean()).map(([subject, dead]): Operation => fleet => {
  for (let viewer = 0; viewer < NODES; viewer += 1) if (viewer !== subject) fleet.setView(viewer, subject, dead ? 'dead' : 'alive')
})
const singleView = FastCheck.tuple(node, node).map(([viewer, subject]): Operation => fleet => { if (viewer !== subject) fleet.setView(viewer, subject, 'dead') })
const crash = node.map((index): Operation => fleet => { fleet.crash(index) })
const restart = node.map((index): Operation => fleet => { fleet.restart(index) })
const pause = FastCheck.tuple(node, FastCheck.nat({ max: 9_000 })).map(([index, duration]): Operation => fleet => {
  fleet.slot(index).pausedUntil = fleet.now + duration
})
const clockJump = FastCheck.tuple(node, FastCheck.integer({ min: -20_000, max: 40_000 })).map(([index, offset]): Operation => fleet => {
  fleet.slot(index).clockOffset = offset
})
const cut = FastCheck.tuple(node, FastCheck.oneof(node, FastCheck.constant('log')), FastCheck.boolean()).map(([from, to, heals]): Operation => fleet => {
  if (heals) fleet.cutLinks.clear()
  else fleet.cutLinks.add(`${from}>${to}`)
})
const networkFaults = FastCheck.tuple(FastCheck.constantFrom(0, 0.2), FastCheck.constantFrom(0, 0.3), FastCheck.constantFrom(10, 300, 2_500))
  .map(([loss, duplication, jitter]): Operation => fleet => { Object.assign(fleet, { loss, duplication, jitter }) })
const logOutage = FastCheck.boolean().map((up): Operation => fleet => { fleet.isLogUp = up })
const appendFault = FastCheck.constantFrom('reply-lost' as const, 'late' as const).map((fault): Operation => fleet => { fleet.appendFault = fault })
const drain = node.map((index): Operation => fleet => { fleet.drain(index) })

/** A node receives promises but no new roster versions, while the other nodes remove it. */
const missesRosters = node.map((index): Operation => fleet => {
  fleet.nodesWithoutRosters.add(index)
  fleet.cutLinks.add(`${index}>log`)
  for (let viewer = 0; viewer < NODES; viewer += 1) if (viewer !== index) fleet.setView(viewer, index, 'dead')
})

/** One node is disconnected, and all others restart and lose the promises that they gave to its version. */
const othersRestart = node.map((index): Operation => fleet => {
  for (let other = 0; other < NODES; other += 1) {
    if (other === index) continue
    fleet.cutLinks.add(`${index}>${other}`).add(`${other}>${index}`)
    fleet.restart(other)
  }
  fleet.cutLinks.add(`${index}>log`)
  for (let viewer = 0; viewer < NODES; viewer += 1) if (viewer !== index) fleet.setView(viewer, index, 'dead')
})

/** The weights make rosters change often while keyed requests are open. */
const operation = FastCheck.oneof(
  { weight: 8, arbitrary: sends }, { weight: 7, arbitrary: advance }, { weight: 4, arbitrary: sharedView }, { weight: 1, arbitrary: singleView },
  { weight: 1, arbitrary: crash }, { weight: 2, arbitrary: restart }, { weight: 1, arbitrary: pause }, { weight: 1, arbitrary: clockJump },
  { weight: 1, arbitrary: cut }, { weight: 1, arbitrary: networkFaults }, { weight: 1, arbitrary: logOutage }, { weight: 1, arbitrary: appendFault },
  { weight: 1, arbitrary: drain }, { weight: 1, arbitrary: missesRosters }, { weight: 1, arbitrary: othersRestart }
)

export interface Variant { readonly rules?: OwnershipRules.OwnershipRules, readonly createTable?: (limits: IdempotencyTables.TableLimits) => IdempotencyTables.IdempotencyTable }

/** Describes the first guarantee that was violated; undefined if none was. */
export function findViolation (fleet: Fleets.Fleet): string | undefined {
  for (const [key, count] of fleet.dispatchCounts) if (count > 1) return `${key} ran ${count} times`
  for (const { key, answer } of fleet.answers) {
    if (answer.kind === 'refused' && answer.refusal.outcome === 'not-run' && fleet.dispatchCounts.has(key)) return `${key} ran and was called not run`
  }
  return undefined
}

/** Runs a schedule and then long enough for all scheduled work to end. */
function run (seed: number, operations: readonly Operation[], variant: Variant): Fleets.Fleet {
  const fleet = new Fleets.Fleet({
    places: ['a/a1', 'a/a1', 'a/a2', 'a/a2', 'b/b1'], seed, refusalRate: 0.2, detectsCrashes: false,
    createTable: () => variant.createTable?.(SMALL_LIMITS) ?? new IdempotencyTables.IdempotencyTable(SMALL_LIMITS),
    ...(variant.rules === undefined ? {} : { rules: variant.rules })
  })
  fleet.advance(8_000)
  for (const apply of operations) apply(fleet)
  fleet.advance(15_000)
  return fleet
}

/** Checks random schedules. Returns the first violation with its seed and path, or undefined. */
export function check (runs: number, seed: number, variant: Variant = {}): string | undefined {
  const property = FastCheck.property(FastCheck.nat(), FastCheck.array(operation, { minLength: 10, maxLength: 40, size: 'max' }), (fleetSeed, operations) => {
    const fleet = run(fleetSeed, operations, variant)
    const violation = findViolation(fleet)
    if (violation !== undefined) throw new Error(violation)
  })
  const result = FastCheck.check(property, { numRuns: runs, seed, endOnFailure: true })
  return result.failed ? `${result.errorInstance instanceof Error ? result.errorInstance.stack : 'failed'} after ${result.numRuns} schedules, seed ${result.seed} path ${result.counterexamplePath}` : undefined
}
