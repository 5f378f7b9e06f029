import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as CrashTables from '../../src/quarantine/crash-table.js'

const SIGNATURE = Decisions.Ids.signature('s')

function crash (table: CrashTables.CrashTable, startedAt: number, now: number): CrashTables.Suspicion | undefined {
  return table.recordCrash(SIGNATURE, Decisions.Clock.milliseconds(startedAt), Decisions.Clock.milliseconds(now))
}

// Guards against a request that crashes one target after another for as long as its caller sends it.
test('request is blocked after three successive crashes', () => {
  const table = new CrashTables.CrashTable()
  assert.deepEqual([crash(table, 0, 10), crash(table, 20, 30), crash(table, 40, 50)], [undefined, 'suspected', 'blocked'])
})

// Guards against blocking a popular request because several targets failed at the same time.
test('crashes of executions that ran at the same time count once', () => {
  const table = new CrashTables.CrashTable()
  assert.deepEqual([crash(table, 0, 100), crash(table, 5, 101), crash(table, 90, 102), crash(table, 95, 103)], [undefined, undefined, undefined, undefined])
})

// Guards against blocking a request that was running by chance when its targets crashed.
test('completed execution clears a request', () => {
  const table = new CrashTables.CrashTable()
  crash(table, 0, 10)
  assert.equal(table.recordCompletion(SIGNATURE), false, 'one crash is no suspicion')
  crash(table, 20, 30)
  assert.equal(crash(table, 40, 50), 'suspected')
  assert.equal(table.recordCompletion(SIGNATURE), true)
  assert.equal(crash(table, 60, 70), undefined)
})

// Guards against crashes that are added up over hours.
test('old crashes are forgotten', () => {
  const table = new CrashTables.CrashTable()
  crash(table, 0, 10)
  assert.equal(crash(table, 200_000, 200_010), undefined)
})
