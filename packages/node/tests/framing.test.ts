import * as assert from 'node:assert/strict'
import * as Net from 'node:net'
import { test } from 'node:test'
import * as Undici from 'undici'
import * as Support from './support.js'

const FRAMED = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'

/** Raw response of the backend server for each path. After paths that end in `close` it closes the connection. */
const RESPONSES: Readonly<Record<string, string>> = {
  '/accounts/unframed-close': 'HTTP/1.1 200 OK\r\n\r\nsome bytes',
  '/accounts/two-lengths': 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 5\r\n\r\nokxxx',
  '/accounts/bad-chunk': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n',
  '/accounts/nonsense': 'nonsense\r\n\r\n',
  '/accounts/too-long': `HTTP/1.1 200 OK\r\ncontent-length: 2000000\r\n\r\n${'x'.repeat(2_000_000)}`,
  '/accounts/extra': `${FRAMED}HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother`,
  '/accounts/trailers': 'HTTP/1.1 200 OK\r\ntrailer: x-sum\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx-sum: 1\r\n\r\n',
  '/accounts/early-hints': `HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n${FRAMED}`,
  '/accounts/empty': 'HTTP/1.1 204 No Content\r\n\r\n',
  '/accounts/unchanged': 'HTTP/1.1 304 Not Modified\r\netag: "a"\r\n\r\n',
  '/accounts/forged': 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\njasminedale-outcome: not-run\r\njasminedale-service-time: 9\r\n\r\nok'
}

/** Starts a backend server that sends raw bytes, and announces it once. */
async function startRaw (node: string): Promise<Net.Server> {
  const server = Net.createServer(socket => {
    socket.on('error', () => { /* The node closes connections that break the framing. */ })
    socket.on('data', bytes => {
      const path = String(bytes).split(' ')[1] ?? ''
      socket.write(RESPONSES[path] ?? FRAMED)
      if (path.endsWith('close')) socket.end()
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address() as Net.AddressInfo
  await Undici.request(`http://${node}/.jasminedale/announce`, {
    method: 'POST', headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ target: 'raw', service: 'accounts', address: `127.0.0.1:${address.port}`, slots: 10, incarnation: 1 })
  })
  return server
}

// Guards against responses that are relayed as complete although their end cannot be recognized, and against forged outcomes.
test('only responses with a recognizable end are relayed as complete', async t => {
  const { daemon, address } = await Support.startNode({ name: 'n1' })
  const server = await startRaw(address)
  t.after(() => Promise.all([daemon.kill(), new Promise(resolve => server.close(resolve))]))
  const call = async (path: string): Promise<string> => {
    try {
      const response = await Undici.request(`http://${address}/accounts/${path}`, { method: 'POST' })
      return `${String(response.headers['jasminedale-outcome'])} ${response.statusCode} ${response.headers['content-type'] === 'application/problem+json' ? '' : await response.body.text()}`
    } catch {
      return 'broken'
    }
  }
  for (const path of ['unframed-close', 'two-lengths', 'nonsense', 'too-long']) assert.equal(await call(path), 'unknown 502 ', path)
  assert.match(await call('bad-chunk'), /^(?:broken|unknown 502 )$/)
  for (const path of ['extra', 'plain', 'trailers', 'early-hints', 'forged', 'plain']) assert.equal(await call(path), 'complete 200 ok', path)
  assert.equal(await call('empty'), 'complete 204 ')
  assert.equal(await call('unchanged'), 'complete 304 ')
})
