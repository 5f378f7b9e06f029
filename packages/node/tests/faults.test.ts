import * as assert from 'node:assert/strict'
import * as Datagrams from 'node:dgram'
import * as Net from 'node:net'
import * as Stream from 'node:stream'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Node from '@jasminedale/node'
import * as StandIns from '@jasminedale/stand-ins'
import * as Undici from 'undici'
import * as Support from './support.js'

/** Sends raw bytes and returns everything received until the connection ends. */
async function sendRaw (address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(':')
  const socket = Net.connect({ host: host ?? '', port: Number(port) })
  socket.write(bytes)
  let received = ''
  for await (const chunk of socket) received += String(chunk)
  return received
}

async function startFleet (t: { after: (end: () => unknown) => void }): Promise<{ host: string, entry: string, backend: StandIns.BackendServers.BackendServer, daemon: Node.Daemons.Daemon }> {
  const host = await Support.startNode({ name: 'n2' })
  const entry = await Support.startNode({ name: 'n1', seeds: [host.address] })
  const backend = await Support.startBackend(host.address)
  t.after(() => Promise.all([entry.daemon.kill(), host.daemon.kill(), backend.stop()]))
  await Support.eventually(() => entry.daemon.engine.board.targets.get(Decisions.Ids.targetId('t1')) !== undefined)
  return { host: host.address, entry: entry.address, backend, daemon: entry.daemon }
}

// Guards against a truncated response that the caller takes for complete, with content-length and chunked framing, over one node and over two.
test('truncated response is never complete', async t => {
  const { entry, host, backend } = await startFleet(t)
  backend.faults = StandIns.Faults.faultsSchema.parse({ truncateRate: 1 })
  for (const address of [entry, host]) {
    for (const headers of [{}, { 'stand-in-chunked': '1' }]) {
      await assert.rejects(async () => {
        const response = await Undici.request(`http://${address}/accounts/x`, { headers })
        await response.body.text()
        assert.notEqual(response.headers['jasminedale-outcome'], 'complete')
        throw new Error('refused, not cut off')
      }, { name: /Error/ })
    }
  }
})

// Guards against a backend server that keeps working after the caller has disconnected.
test('cancellation reaches the backend server', async t => {
  const { entry, backend } = await startFleet(t)
  const call = Undici.request(`http://${entry}/accounts/x`, { headers: { 'stand-in-time': '5000' }, signal: AbortSignal.timeout(300) })
  await assert.rejects(call)
  await Support.eventually(() => backend.executions.total.cancelled === 1, 2_000)
})

// Guards against a hop that does not pass on or enforce the deadline.
test('deadline is passed on and an exceeded deadline is answered with a problem type', async t => {
  const { entry, backend } = await startFleet(t)
  const startedAt = performance.now()
  const response = await Undici.request(`http://${entry}/accounts/x`, { headers: { 'stand-in-time': '5000', 'jasminedale-deadline': '400' } })
  const { type } = await response.body.json() as { type: string }
  assert.equal(response.headers['jasminedale-outcome'], 'unknown')
  assert.match(type, /upstream-timeout|deadline-exceeded/)
  assert.ok(performance.now() - startedAt < 1_500)
  await Support.eventually(() => backend.executions.total.cancelled === 1, 2_000)
})

// Guards against invalid input that ends the process, is refused without a problem type, or is answered "not run" although something may have run.
test('invalid input is refused with a problem type and the node keeps serving', async t => {
  const { entry } = await startFleet(t)
  const problemPattern = (kind: string): RegExp => new RegExp(`jasminedale-outcome: not-run[^]*urn:jasminedale:problem:${kind}`)
  assert.match(await sendRaw(entry, 'nonsense\r\n\r\n'), problemPattern('request-malformed'))
  assert.match(await sendRaw(entry, `GET /accounts/x HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`), /^HTTP\/1.1 431[^]*request-malformed/)
  assert.match(await sendRaw(entry, 'POST /accounts/x HTTP/1.1\r\nhost: localhost\r\ncontent-length: 9999999\r\n\r\n'), problemPattern('body-too-large'))
  assert.match(await sendRaw(entry, 'POST /accounts/x HTTP/1.1\r\nhost: localhost\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n'), problemPattern('request-malformed'))
  assert.match(await sendRaw(entry, 'GET /accounts/x HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\nexpect: magic\r\n\r\n'), /^HTTP\/1.1 417/)
  assert.match(await sendRaw(entry, 'GET /accounts/x HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\njasminedale-hop: host\r\njasminedale-from: nobody\r\njasminedale-target: t1\r\njasminedale-signature: s\r\n\r\n'), problemPattern('target-unknown'))
  assert.match(await sendRaw(entry, 'GET /nowhere/x HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n'), problemPattern('service-unknown'))
  const keyed = await sendRaw(entry, 'POST /accounts/x HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\nidempotency-key: 1-a\r\njasminedale-deadline: soon\r\n\r\n')
  assert.match(keyed, /jasminedale-outcome: unknown[^]*request-malformed/)
  const cutOff = await sendRaw(entry, `POST /accounts/x HTTP/1.1\r\nhost: localhost\r\ntransfer-encoding: chunked\r\n\r\n20000\r\n${'x'.repeat(131_072)}\r\nnonsense\r\n`)
  assert.doesNotMatch(cutOff, /not-run/)
  const large = await Undici.request(`http://${entry}/accounts/x`, { method: 'PUT', body: Stream.Readable.from(Array.from({ length: 64 }, () => Buffer.alloc(65_536))) })
  assert.match(await large.body.text(), /body-too-large/)
  const invalidEscape = await Undici.request(`http://${entry}/accounts/%zz`)
  assert.equal(invalidEscape.headers['jasminedale-outcome'], 'complete')
})

// Guards against responses to HEAD that hang or lose their length, and against a lost 100 Continue.
test('HEAD requests and 100-continue are passed through', async t => {
  const { entry } = await startFleet(t)
  const head = await Undici.request(`http://${entry}/accounts/x`, { method: 'HEAD' })
  assert.deepEqual([head.headers['jasminedale-outcome'], Number(head.headers['content-length']) > 0, await head.body.text()], ['complete', true, ''])
  const expected = await sendRaw(entry, 'PUT /accounts/x HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\nabc')
  assert.match(expected, /^HTTP\/1.1 100 Continue[^]*HTTP\/1.1 200 OK[^]*"bodyBytes":3/)
})

// Guards against invalid control messages that end the process or are dropped without being counted.
test('undecodable control messages are counted and dropped', async t => {
  const { entry, daemon } = await startFleet(t)
  const socket = Datagrams.createSocket('udp4')
  t.after(() => { socket.close() })
  const [host, port] = entry.split(':')
  const texts = ['nonsense', '{}', '{"jsonrpc":"2.0","method":"other"}', '{"jsonrpc":"2.0","method":"control","params":{"from":"x","message":{"kind":"no"}}}']
  for (const text of texts) socket.send(text, Number(port), host)
  await Support.eventually(async () => {
    const status = await (await Undici.request(`http://${entry}/.jasminedale/status`)).body.json() as { totals: Record<string, number> }
    return status.totals['control.dropped'] === texts.length
  }, 2_000)
  assert.ok(daemon.engine.board.members.byNode.size > 0)
})

// Guards against two processes that serve the same address.
test('second node on the same port fails with address-in-use', async t => {
  const { host } = await startFleet(t)
  const second = await Node.Daemons.Daemon.start({
    node: Decisions.Ids.nodeId('n3'), address: Decisions.Ids.endpoint(host), dataCenter: Decisions.Ids.dataCenter('a'),
    region: Decisions.Ids.region('r'), seeds: [], logService: 'http://127.0.0.1:9', logLevel: 'info'
  })
  assert.deepEqual(second._unsafeUnwrapErr(), { kind: 'address-in-use', address: host })
})

// Guards against a request that is retried on one backend server after another and crashes each.
test('request that crashed two backend servers is blocked', async t => {
  const { host, entry, backend } = await startFleet(t)
  const crash = { ...StandIns.Faults.NO_FAULTS, crashOnMark: true }
  const second = await Support.startBackend(host, { target: 't2', crash: () => { void second.stop() } })
  const first = await Support.startBackend(host, { target: 't3', crash: () => { void first.stop() } })
  await backend.stop()
  t.after(() => Promise.all([first.stop(), second.stop()]))
  for (const server of [first, second]) server.faults = crash
  await Support.eventually(async () => {
    const response = await Undici.request(`http://${entry}/accounts/poison`, { headers: { 'stand-in-crash': '1' } })
    return (await response.body.text()).includes('request-blocked')
  })
})
