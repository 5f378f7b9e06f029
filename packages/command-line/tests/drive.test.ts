import * as assert from 'node:assert/strict'
import * as Processes from 'node:child_process'
import * as path from 'node:path'
import { test } from 'node:test'

const PROGRAM = path.join(import.meta.dirname, '../src/main.ts')

function drive (lines: readonly unknown[]): Processes.SpawnSyncReturns<string> {
  const input = lines.map(line => typeof line === 'string' ? line : JSON.stringify(line)).join('\n')
  return Processes.spawnSync(process.execPath, ['--conditions=jasminedale-source', '--import', 'tsx', PROGRAM, 'drive'], { input, encoding: 'utf8', timeout: 10_000 })
}

const START = {
  identity: { node: 'n1', address: '127.0.0.1:1', dataCenter: 'a', region: 'r', incarnation: 1, seeds: ['127.0.0.1:2'] }, configuration: '[defaults]\ndeadline = 2s\n', seed: 5
}

// Guards against output that differs between equal runs, and against malformed lines that are not reported.
test('output of drive is reproducible and a malformed line is reported', () => {
  const steps = [0, 100, 200].map(now => ({ now, events: [{ kind: 'tick' }] }))
  const [first, second] = [drive([START, ...steps]), drive([START, ...steps])]
  assert.equal(first.stdout.trim().split('\n').length, steps.length)
  assert.equal(first.stdout, second.stdout)
  const broken = drive([START, 'nonsense'])
  assert.deepEqual([broken.status, (JSON.parse(broken.stderr) as { kind: string, line: number }).line], [3, 2])
})
