import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as BufferBudgets from '../../src/transport/buffer-budget.js'

const MEGABYTE_BYTES = 1_048_576

// Guards against several bodies without end that together take more memory than the process has.
test('unfinished bodies share one limit, and small ones are always read', () => {
  const budget = new BufferBudgets.BufferBudget(4 * MEGABYTE_BYTES)
  const lengths = [0, 0, 0]
  for (let round = 0; round < 20; round += 1) {
    for (const [index, length] of lengths.entries()) if (budget.tryAcquire(MEGABYTE_BYTES, length)) lengths[index] = length + MEGABYTE_BYTES
  }
  assert.equal(lengths.reduce((sum, length) => sum + length, 0), 4 * MEGABYTE_BYTES)
  assert.equal(budget.tryAcquire(MEGABYTE_BYTES, 0), true, 'a small body')
  budget.release(5 * MEGABYTE_BYTES)
  assert.equal(budget.used, 0)
})
