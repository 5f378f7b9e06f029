import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import type * as Accounts from '../../src/accounts/account.js'
import * as Directories from '../../src/directory/directory.js'
import * as Logs from '../../src/observation/log.js'
import * as Metrics from '../../src/observation/metrics.js'
import * as QuotaMessages from '../../src/quotas/quota-message.js'
import * as Quotas from '../../src/quotas/quotas.js'
import * as MemoryNetworks from '../support/memory-network.js'
import * as Samples from '../support/samples.js'

const HOSTS = ['10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80'].map(Decisions.Ids.endpoint)
const ACCOUNT: Accounts.Account = { name: Decisions.Ids.account('bakery'), keys: [], rateLimit: { rate: 20, burst: 10 } }

function createFleet (): { readonly nodes: readonly Quotas.Quotas[], readonly run: (seconds: number, offer: (step: number) => void) => void, readonly network: MemoryNetworks.MemoryNetwork } {
  const [clock, network, directory] = [new Decisions.Clock.VirtualClock(), new MemoryNetworks.MemoryNetwork(), new Directories.Directory()]
  for (const [index, host] of HOSTS.entries()) directory.merge(Samples.registration(`t${index}`, { host }))
  const nodes = HOSTS.map(host => new Quotas.Quotas({
    settings: { location: { host, dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') }, quotas: Samples.LIMIT_SETTINGS.quotas },
    directory, configuration: { version: Decisions.Ids.version(1) }, nodeChannel: network.channelOf(host), clock, log: new Logs.SilentLog(), metrics: new Metrics.Metrics()
  }))
  const run = (seconds: number, offer: (step: number) => void): void => {
    for (let step = 0; step < seconds * 20; step += 1) {
      offer(step)
      clock.advance(Decisions.Clock.milliseconds(50))
      for (const node of nodes) node.update()
    }
  }
  return { nodes, run, network }
}

// Guards against reports or answers that do not reach the arbiter or the entry, and an entry that does not reach itself.
test('requests at all nodes count against one limit, and accounts without a limit do not', () => {
  const { nodes, run } = createFleet()
  let [admitted, retryAfter] = [0, 0]
  run(10, () => {
    for (const node of nodes) {
      const refusal = node.admit(ACCOUNT)
      if (refusal === undefined) admitted += 1
      else retryAfter = Math.max(retryAfter, refusal)
      assert.equal(node.admit({ name: Decisions.Ids.account('mill'), keys: [] }), undefined)
      assert.equal(node.admit(undefined), undefined)
    }
  })
  assert.ok(admitted >= 180 && admitted <= 231, `${admitted} of 600 admitted in 10 s at 20/s`)
  assert.ok(retryAfter >= 250 && retryAfter <= 5_000)
})

// Guards against a process that crashes, or takes over a wrong state, because of a malformed notification.
test('malformed reports and answers are ignored', () => {
  for (const params of [[], ['x', 1, 1, 'first', []], ['10.0.0.1:80', 1, 1, 'third', []], ['10.0.0.1:80', 1, 1, 'first', [['bakery', 0, 1, 1, 1, 0, 1, 0, 0]]], ['10.0.0.1:80', 1, 1, 'first', [['bakery', 5, 1, 1, 1, 2, 1, 0, 0]]]]) {
    assert.equal(QuotaMessages.decodeReport(params), undefined)
  }
  assert.equal(QuotaMessages.decodeAnswer(['10.0.0.1:80', 1, 1, [['bakery', 1.5, 0]]]), undefined)
  assert.equal(QuotaMessages.decodeAnswer(['10.0.0.1:80', 1, 1, [['bakery', 0.5]], 'later field'])?.items[0]?.share, undefined)
})

// Guards against datagrams that are larger than a packet.
test('many items are divided over datagrams', () => {
  const items = Array.from({ length: 100 }, (_, index) => ({ account: Decisions.Ids.account(`account-${index}`), fraction: 1 / 3, share: 1 / 7 }))
  const parts = QuotaMessages.split(items)
  assert.equal(parts.flat().length, 100)
  for (const part of parts) assert.ok(JSON.stringify(QuotaMessages.encodeAnswer({ from: Decisions.Ids.endpoint('100.100.100.100:65535'), incarnation: 1e13, sequence: 1e9, items: part })).length < 1_100)
  assert.deepEqual(QuotaMessages.split([]), [])
})
