import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Undici from 'undici'
import * as Support from './support.js'

interface Answer { readonly target: string, readonly bodyBytes: number, readonly path: string }

// Guards against a node that loses the body, the query or the outcome of a request.
test('request passes from caller over one node to the backend server', async t => {
  const { daemon, address } = await Support.startNode({ name: 'n1' })
  const backend = await Support.startBackend(address)
  t.after(() => Promise.all([daemon.kill(), backend.stop()]))
  const response = await Undici.request(`http://${address}/accounts/x?y=1`, { method: 'PUT', body: 'z'.repeat(100_000) })
  const answer = await response.body.json() as Answer
  assert.equal(response.headers['jasminedale-outcome'], 'complete')
  assert.deepEqual([answer.target, answer.bodyBytes, answer.path], ['t1', 100_000, '/accounts/x?y=1'])
  const burn = await (await Undici.request(`http://${address}/.jasminedale/burn`)).body.json() as Decisions.BurnReports.Report
  assert.deepEqual(burn.services.map(entry => [entry.service, entry.windows[0]?.good]), [['accounts', 1]])
})

// Guards against a hop that drops header fields, and against refusals that lose their problem type on the way back.
test('request passes from caller over two nodes to the backend server', async t => {
  const host = await Support.startNode({ name: 'n2' })
  const entry = await Support.startNode({ name: 'n1', seeds: [host.address] })
  const backend = await Support.startBackend(host.address)
  t.after(() => Promise.all([entry.daemon.kill(), host.daemon.kill(), backend.stop()]))
  const target = Decisions.Ids.targetId('t1')
  await Support.eventually(() => entry.daemon.engine.board.targets.get(target) !== undefined)
  const response = await Undici.request(`http://${entry.address}/accounts/x`, { method: 'POST', body: 'abc' })
  const answer = await response.body.json() as Answer
  assert.deepEqual([response.headers['jasminedale-outcome'], answer.target, answer.bodyBytes], ['complete', 't1', 3])
  await Undici.request(`http://${host.address}/.jasminedale/leave`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: '{"target":"t1"}' })
  await Support.eventually(async () => {
    const refused = await Undici.request(`http://${entry.address}/accounts/x`)
    const problem = await refused.body.json() as { type: string }
    return refused.headers['jasminedale-outcome'] === 'not-run' && problem.type.startsWith('urn:jasminedale:problem:')
  })
})

// Guards against a keyed order that runs again when its caller resends it through another node.
test('resend of a keyed order gets the stored response', async t => {
  const host = await Support.startNode({ name: 'n2' })
  const entry = await Support.startNode({ name: 'n1', seeds: [host.address] })
  const backend = await Support.startBackend(host.address)
  t.after(() => Promise.all([entry.daemon.kill(), host.daemon.kill(), backend.stop()]))
  const order = async (address: string, key: string): Promise<Undici.Dispatcher.ResponseData> =>
    await Undici.request(`http://${address}/accounts/orders`, { method: 'POST', body: 'one', headers: { 'idempotency-key': key } })
  let key = ''
  await Support.eventually(async () => {
    key = (await (await Undici.request(`http://${entry.address}/.jasminedale/key`)).body.json() as { key: string }).key
    return (await order(entry.address, key)).headers['jasminedale-outcome'] === 'complete'
  })
  const again = await order(host.address, key)
  const answer = await again.body.json() as Answer
  assert.deepEqual([again.headers['jasminedale-outcome'], again.headers['jasminedale-replayed'], answer.target], ['complete', 'stored', 't1'])
  assert.equal(backend.executions.total.started, 1)
})
