import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as FastCheck from 'fast-check'
import * as MemoryBudgets from '../../src/resources/memory-budget.js'

const LIMITS: MemoryBudgets.MemoryLimits = { totalBytes: 4_000_000, smallReserveBytes: 400_000 }
const SEED = 36
const RUNS = 300
const milliseconds = Decisions.Clock.milliseconds

const EVENTS = ['open', 'open', 'grow', 'grow', 'grow large', 'grow large', 'finish', 'release', 'collect'] as const
type Event = readonly [(typeof EVENTS)[number], number]

/** A budget with all bodies that were opened, as its owner handles them. */
class Owner {
  readonly budget = new MemoryBudgets.MemoryBudget(LIMITS)
  readonly open: MemoryBudgets.Holding[] = []
  /** Complete bodies, whose memory comes back only when it is collected. */
  readonly complete = new Set<MemoryBudgets.Holding>()
  now = milliseconds(0)

  apply ([kind, choice]: Event): void {
    this.now = milliseconds(this.now + 1 + choice % 7)
    const holding = this.open[choice % Math.max(1, this.open.length)]
    if (kind === 'open') this.open.push(this.openHolding())
    if (holding === undefined) return
    switch (kind) {
      case 'grow': this.grow(holding, 1 + choice % 60_000); break
      case 'grow large': this.grow(holding, 65_536 * (1 + choice % 12)); break
      case 'finish':
        this.complete.add(holding)
        // Half of the complete bodies are being sent, and may be dropped.
        holding.drop = choice % 2 === 0 ? () => { /* The connection is closed. */ } : undefined
        break
      case 'release': this.release(holding); break
      case 'collect': for (const pending of [...this.complete]) if (pending.isPending) this.release(pending); break
      default: break
    }
    assert.ok(this.budget.used <= LIMITS.totalBytes, `${this.budget.used} bytes`)
    assert.equal(this.budget.used, this.open.reduce((sum, { bytes }) => sum + bytes, 0))
  }

  release (holding: MemoryBudgets.Holding): void {
    this.budget.release(holding)
    this.complete.delete(holding)
    const index = this.open.indexOf(holding)
    if (index >= 0) this.open.splice(index, 1)
  }

  private openHolding (): MemoryBudgets.Holding {
    return this.budget.open(this.now, () => { /* The reader ends. */ })
  }

  private grow (holding: MemoryBudgets.Holding, bytes: number): void {
    const isSmall = holding.bytes + bytes <= MemoryBudgets.SMALL_BYTES
    const { isGranted, victims } = this.budget.grow(holding, bytes, this.now)
    if (isGranted) return
    this.checkVictims(holding, victims, isSmall)
    const freesAtOnce = victims.every(victim => !this.complete.has(victim))
    for (const victim of victims) if (this.complete.has(victim)) this.budget.markPending(victim); else this.release(victim)
    if (victims.length > 0 && freesAtOnce && !this.hasPending()) assert.ok(this.budget.grow(holding, bytes, this.now).isGranted, 'bodies are dropped only for one that fits then')
  }

  private hasPending (): boolean {
    return this.open.some(({ isPending }) => isPending)
  }

  private checkVictims (requester: MemoryBudgets.Holding, victims: readonly MemoryBudgets.Holding[], isSmall: boolean): void {
    for (const victim of victims) {
      assert.notEqual(victim, requester)
      assert.notEqual(victim.drop, undefined, 'a body that must not be dropped')
      assert.ok(isSmall || !victim.isSmall, 'a small body dropped for a large one')
    }
    const spared = this.open.filter(holding => holding !== requester && holding.drop !== undefined && holding.bytes > 0 && !victims.includes(holding))
    for (const victim of victims) {
      if (victim.isSmall) assert.ok(spared.every(other => other.isSmall), 'a small body dropped before a large one')
      assert.ok(spared.every(other => other.isSmall !== victim.isSmall || other.lastProgressAt >= victim.lastProgressAt), 'a body dropped before one that has been stalled for longer')
    }
  }
}

// Guards against memory beyond the limit, and against memory that is never given back, whatever the order of events.
test('bodies stay within the budget in random orders of growth, stalls and releases', () => {
  const event = FastCheck.tuple(FastCheck.constantFrom(...EVENTS), FastCheck.nat({ max: 100_000 }))
  FastCheck.assert(FastCheck.property(FastCheck.array(event, { minLength: 20, maxLength: 250 }), events => {
    const owner = new Owner()
    for (const entry of events) owner.apply(entry)
    for (const holding of [...owner.open]) owner.release(holding)
    assert.deepEqual([owner.budget.used, owner.budget.size], [0, 0])
  }), { seed: SEED, numRuns: RUNS })
})

/** Fills the budget with large bodies that stopped one after the other. */
function fill (budget: MemoryBudgets.MemoryBudget, drops: number[]): MemoryBudgets.Holding[] {
  return [0, 1, 2, 3, 4, 5].map(index => {
    const holding = budget.open(milliseconds(index), () => { drops.push(index) })
    assert.equal(budget.grow(holding, 600_000, milliseconds(index)).isGranted, true)
    return holding
  })
}

// Guards against ordinary requests that are refused because of bodies that do not end.
test('small body is let in when large ones have used up the budget', () => {
  const budget = new MemoryBudgets.MemoryBudget(LIMITS)
  const [longest] = fill(budget, [])
  for (let count = 0; count < 3; count += 1) assert.equal(budget.grow(budget.open(milliseconds(10)), 120_000, milliseconds(10)).isGranted, true)
  const { isGranted, victims } = budget.grow(budget.open(milliseconds(11)), 120_000, milliseconds(11))
  assert.deepEqual([isGranted, victims], [false, [longest]])
})

// Guards against a large body that takes the place of one which still makes progress.
test('large body takes the place of the one without progress for longest', () => {
  const budget = new MemoryBudgets.MemoryBudget(LIMITS)
  const [first, second] = fill(budget, [])
  if (first !== undefined) budget.grow(first, 0, milliseconds(20))
  assert.deepEqual(budget.grow(budget.open(milliseconds(21)), 200_000, milliseconds(21)).victims, [second])
})

// Guards against bodies dropped for nothing.
test('nothing is dropped for a body that does not fit all the same, or that waits for the memory of a dropped one', () => {
  const budget = new MemoryBudgets.MemoryBudget(LIMITS)
  const holdings = fill(budget, [])
  assert.deepEqual(budget.grow(budget.open(milliseconds(9)), 5_000_000, milliseconds(9)), { isGranted: false, victims: [] })
  const [sent] = holdings
  if (sent === undefined) throw new Error('no holding')
  budget.markPending(sent)
  assert.deepEqual(budget.grow(budget.open(milliseconds(9)), 500_000, milliseconds(9)), { isGranted: false, victims: [] })
  budget.release(sent)
  assert.equal(budget.grow(budget.open(milliseconds(9)), 500_000, milliseconds(9)).isGranted, true)
})

// Guards against bodies of requests that run being dropped, and against bodies that wait for ever.
test('bodies without progress are found, but for those that must not be dropped', () => {
  const budget = new MemoryBudgets.MemoryBudget(LIMITS)
  const [first, second, third] = fill(budget, [])
  if (first !== undefined) first.drop = undefined
  assert.deepEqual(budget.stalled(100, milliseconds(102)), [second, third])
})

// Guards against bodies that use the memory which connections take.
test('connections leave less to bodies', () => {
  const budget = new MemoryBudgets.MemoryBudget(LIMITS)
  budget.setOverhead(3_000_000)
  assert.equal(budget.grow(budget.open(milliseconds(0)), 700_000, milliseconds(0)).isGranted, false)
  budget.setOverhead(0)
  assert.equal(budget.grow(budget.open(milliseconds(0)), 700_000, milliseconds(0)).isGranted, true)
})
