import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Configuration from '@jasminedale/configuration'

const VALID = `[node]
id = n1
address = 127.0.0.1:7400
data-center = burnaby-a
region = lower-mainland
seeds = 127.0.0.2:7400, 127.0.0.3:7400
log-service = http://127.0.0.1:7300
`

// Guards against a list of seeds that is not split, and against a missing default log level.
test('process settings are read', () => {
  const settings = Configuration.ProcessSettings.parseProcessSettings(VALID, 'node.ini')._unsafeUnwrap()
  assert.deepEqual(settings.seeds, ['127.0.0.2:7400', '127.0.0.3:7400'])
  assert.equal(settings.logLevel, 'info')
})

// Guards against host names, unknown keys and sections of a fleet configuration being accepted in process settings.
test('host names, unknown keys and sections are refused', () => {
  const text = VALID.replace('127.0.0.1:7400', 'localhost:7400') + 'deadline = 2s\n[defaults]\n'
  const failures = Configuration.ProcessSettings.parseProcessSettings(text, 'node.ini')._unsafeUnwrapErr()
  assert.deepEqual(failures.map(failure => failure.kind).sort(), ['invalid-value', 'unknown-key', 'unknown-section'])
  assert.match(Configuration.Failures.describe(failures.find(failure => failure.kind === 'invalid-value') ?? failures[0] as never), /node\.ini:3: .*localhost.*IP address/)
})
