import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as SlownessLogs from '../../src/host/slowness-log.js'
import * as Logs from '../../src/observation/log.js'

class ListLog extends Logs.SilentLog {
  readonly lines: string[] = []

  override info (message?: string): void {
    this.lines.push(message ?? '')
  }
}

// Guards against a line for each response of a slow target.
test('slow target is logged once, and once when it has recovered', () => {
  const log = new ListLog()
  const slownessLog = new SlownessLogs.SlownessLog(log)
  for (const slowness of [1, 2.9, 3.1, 8, 2.9, 3.1, 1.4, 1.6, 1]) slownessLog.observe(slowness, {})
  assert.deepEqual(log.lines, ['local target is slower than others for the same requests', 'local target is no longer slower than others'])
})
