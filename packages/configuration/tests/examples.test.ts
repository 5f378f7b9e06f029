import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import { test } from 'node:test'
import * as Configuration from '@jasminedale/configuration'

const FOLDER = new URL('../../../examples/', import.meta.url)

// Guards against example files with keys or values that are no longer accepted.
test('the example configurations are valid', () => {
  for (const file of ['cinderfold.ini', 'ceara.ini']) {
    const result = Configuration.FleetConfigurations.parseFleetConfiguration(fs.readFileSync(new URL(file, FOLDER), 'utf8'), file)
    assert.deepEqual(result.isErr() ? result.error : [], [])
  }
})
