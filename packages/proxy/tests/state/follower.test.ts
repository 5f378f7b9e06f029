import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import * as Logs from '../../src/observation/log.js'
import * as Followers from '../../src/state/follower.js'
import * as SharedLogs from '../../src/state/shared-log.js'

function at (offset: number): SharedLogs.Position {
  return { epoch: SharedLogs.epoch(0), offset }
}

/** Returns one batch for each read, and then fails. */
class BatchLog extends SharedLogs.SharedLog {
  constructor (private readonly batches: SharedLogs.Batch[], private readonly onEnd: () => void) {
    super()
  }

  override readNewest (): SharedLogs.LogResult<SharedLogs.Batch> {
    return this.readFrom()
  }

  override readFrom (): SharedLogs.LogResult<SharedLogs.Batch> {
    const batch = this.batches.shift()
    if (batch !== undefined) return Promise.resolve(neverthrow.ok(batch))
    this.onEnd()
    return Promise.resolve(neverthrow.err({ kind: 'no-answer', detail: 'end' }))
  }

  override put (): SharedLogs.LogResult<undefined> {
    return Promise.resolve(neverthrow.ok(undefined))
  }

  override close (): void { /* Nothing is open. */ }
}

// Guards against a node that spends its processor on configurations which the next one has already replaced.
test('only the newest record of each key in a batch is applied', async () => {
  const applied: string[] = []
  const records = ['a1', 'b1', 'a2', 'a3'].map(text => ({ key: text.charAt(0), value: Buffer.from(text) }))
  const batches = [{ records, next: at(4) }, { records: [{ key: 'a', value: Buffer.from('a4') }], next: at(5) }]
  const random = new Decisions.Random.Random(1)
  const sharedLog = new BatchLog(batches, () => { follower.stop() })
  const follower: Followers.Follower = new Followers.Follower({ sharedLog, random, clock: new Decisions.Clock.VirtualClock(), log: new Logs.SilentLog() }, {
    topic: 'configuration', pollTimeout: Decisions.Clock.seconds(1), batchDelay: () => Decisions.Clock.milliseconds(0),
    apply: record => { applied.push(record.value?.toString() ?? '') }, onBatchApplied: () => { /* Ignored. */ }
  })
  await follower.run()
  assert.deepEqual([...applied].sort(), ['a3', 'a4', 'b1'])
})
