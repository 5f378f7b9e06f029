import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import { test } from 'node:test'
import * as Scenarios from '@jasminedale/scenarios'

const FOLDER = new URL('../scenarios/', import.meta.url)
const KNOWN_RED = fs.readFileSync(new URL('../../../KNOWN-RED.txt', import.meta.url), 'utf8')
const only = process.env.SCENARIO

// The first comment of each scenario says which failure it guards against.
for (const file of fs.readdirSync(FOLDER).filter(name => name.endsWith('.scenario')).sort()) {
  if (only !== undefined && !file.startsWith(only)) continue
  test(file, context => {
    const script = Scenarios.Parser.parse(fs.readFileSync(new URL(file, FOLDER), 'utf8'), file)._unsafeUnwrap()
    const { failures } = Scenarios.Runner.run(script, {})
    if (!KNOWN_RED.includes(`test: ${file}\n`)) assert.deepEqual(failures, [])
    else context.diagnostic(`known red: ${file}: ${failures.length === 0 ? 'passes now, remove its entry' : JSON.stringify(failures)}`)
  })
}
