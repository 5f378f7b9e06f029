import * as assert from 'node:assert/strict'
import * as Http from 'node:http'
import * as Net from 'node:net'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as ConnectionHistories from '../../src/transport/connection-history.js'
import * as ConnectionPools from '../../src/transport/connection-pool.js'
import * as Exchanges from '../../src/transport/exchange.js'

const milliseconds = Decisions.Clock.milliseconds

async function listen (server: Net.Server): Promise<Decisions.Ids.Endpoint> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  return Decisions.Ids.endpoint(`127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`)
}

function createOptions (address: Decisions.Ids.Endpoint, overrides: Partial<Exchanges.ExchangeOptions> = {}): Exchanges.ExchangeOptions {
  return {
    address, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), timeout: milliseconds(20_000), connectTimeout: milliseconds(20_000), maximumResponseBytes: 10_000,
    connections: new ConnectionPools.ConnectionPool(), awaitsConfirmation: false, confirmationTimeout: milliseconds(20_000), ...overrides
  }
}

function correlation (request: string): Exchanges.Correlation {
  return { request: Decisions.Ids.requestId(request), readRequest: () => Decisions.Ids.requestId(request) }
}

/** A TCP server that calls `answer` for each chunk received, with the number of chunks so far. */
function rawServer (answer: (socket: Net.Socket, count: number) => void): Net.Server {
  let count = 0
  return Net.createServer(socket => {
    socket.on('error', () => { /* The exchange may have closed the connection. */ })
    socket.on('data', () => {
      count += 1
      answer(socket, count)
    })
  })
}

// Guards against a response taken for lost because the request emits 'close' before the body has been read.
test('complete response is read', async () => {
  const server = Http.createServer((_request, response) => { response.end('x'.repeat(5_000)) })
  const result = await new Exchanges.Exchange(createOptions(await listen(server))).result
  server.close()
  server.closeAllConnections()
  assert.equal(result.kind === 'answered' && result.response.body.length, 5_000)
})

// Guards against a truncated response that is taken for complete.
test('truncated response is lost', async () => {
  const server = rawServer(socket => { socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc') })
  const result = await new Exchanges.Exchange(createOptions(await listen(server))).result
  server.close()
  assert.equal(result.kind, 'lost')
})

// Guards against a complete response without a length that is taken for lost.
test('response without a length ends with its connection', async () => {
  const server = rawServer(socket => { socket.end('HTTP/1.1 200 OK\r\n\r\nabc') })
  const result = await new Exchanges.Exchange(createOptions(await listen(server))).result
  server.close()
  assert.equal(result.kind === 'answered' && result.response.body.toString(), 'abc')
})

// Guards against a truncated response without a length that is taken for complete.
test('response without a length is lost when its connection is reset', async () => {
  const server = rawServer(socket => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nabc')
    setTimeout(() => { socket.resetAndDestroy() }, 30)
  })
  const result = await new Exchanges.Exchange(createOptions(await listen(server))).result
  server.close()
  assert.equal(result.kind, 'lost')
})

// Guards against a reset that looks like an ordinary end: the system reports it so if data and reset arrive while the node is busy.
test('response without a length is lost when its connection is reset at once, and complete when it ends', async () => {
  for (const [isReset, expected] of [[true, 'lost'], [false, 'answered']] as const) {
    const server = rawServer(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nabc')
      if (isReset) socket.resetAndDestroy()
      else socket.end()
    })
    const address = await listen(server)
    for (let count = 0; count < 20; count += 1) assert.equal((await new Exchanges.Exchange(createOptions(address)).result).kind, expected)
    server.close()
  }
})

// Guards against a request that counts as possibly run although no connection was opened.
test('request is not sent when the connection is refused', async () => {
  const server = Net.createServer()
  const address = await listen(server)
  await new Promise(resolve => server.close(resolve))
  const result = await new Exchanges.Exchange(createOptions(address)).result
  assert.equal(result.kind, 'not-sent')
})

// Guards against an extra response, sent after a complete one, that is taken for the response to the next request.
test('connection that received unexpected bytes is not reused', async () => {
  const response = (body: string): string => `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`
  const server = rawServer((socket, count) => {
    socket.write(response(`own-${count}`))
    setTimeout(() => { if (count === 1) socket.write(response('extra')) }, 20)
  })
  const address = await listen(server)
  const connections = new ConnectionPools.ConnectionPool()
  await new Exchanges.Exchange(createOptions(address, { connections })).result
  await new Promise(resolve => setTimeout(resolve, 60))
  const result = await new Exchanges.Exchange(createOptions(address, { connections })).result
  connections.destroy()
  server.close()
  assert.equal(result.kind === 'answered' && result.response.body.toString(), 'own-2')
})

// Guards against a request whose body is missing or sent twice after the confirmation.
test('request that awaits confirmation sends its body afterwards', async () => {
  const bodies: string[] = []
  const server = Http.createServer()
  server.on('request', (request: Http.IncomingMessage, response: Http.ServerResponse) => {
    response.writeContinue()
    request.on('data', (chunk: Buffer) => bodies.push(chunk.toString()))
    request.on('end', () => response.end('done'))
  })
  const result = await new Exchanges.Exchange(createOptions(await listen(server), { method: 'POST', body: Buffer.from('order'), awaitsConfirmation: true })).result
  server.close()
  server.closeAllConnections()
  assert.equal(result.kind, 'answered')
  assert.deepEqual(bodies, ['order'])
})

// Guards against a request that counts as possibly run although an unresponsive or disconnected host never confirmed it.
test('request without confirmation is not sent', async () => {
  const received: string[] = []
  const server = rawServer(() => { /* Never answers. */ })
  server.on('connection', socket => socket.on('data', (bytes: Buffer) => received.push(bytes.toString())))
  const result = await new Exchanges.Exchange(createOptions(await listen(server), { method: 'POST', body: Buffer.from('order'), awaitsConfirmation: true, confirmationTimeout: milliseconds(100) })).result
  server.close()
  assert.equal(result.kind, 'not-sent')
  assert.ok(!received.join('').includes('order'))
})

// Guards against a new connection after each refusal.
test('connection is reused after a refusal without confirmation', async () => {
  let connections = 0
  const server = Http.createServer()
  server.on('connection', () => { connections += 1 })
  server.on('request', (request: Http.IncomingMessage, response: Http.ServerResponse) => {
    request.resume()
    response.writeHead(503, { 'content-length': 0 }).end()
  })
  const address = await listen(server)
  const pool = new ConnectionPools.ConnectionPool()
  for (let index = 0; index < 3; index += 1) {
    const result = await new Exchanges.Exchange(createOptions(address, { method: 'POST', body: Buffer.from('order'), awaitsConfirmation: true, connections: pool })).result
    assert.equal(result.kind === 'answered' && result.response.status, 503)
    await new Promise(resolve => setTimeout(resolve, 10))
  }
  pool.destroy()
  server.close()
  assert.equal(connections, 1)
})

// Guards against an event loop that is occupied by informational responses without end.
test('exchange ends after a few informational responses', async () => {
  const server = rawServer(socket => { socket.write('HTTP/1.1 102 Processing\r\n\r\n'.repeat(100)) })
  const result = await new Exchanges.Exchange(createOptions(await listen(server))).result
  server.close()
  assert.deepEqual(result, { kind: 'lost', reason: 'peer sent too many informational responses', cause: 'connection-lost', position: undefined })
})

// Guards against a late response to an earlier send that is taken for the response to a later send of the same request.
test('connection does not carry the same request twice', async () => {
  let connections = 0
  const server = Http.createServer((_request, response) => { response.end('done') })
  server.on('connection', () => { connections += 1 })
  const address = await listen(server)
  const pool = new ConnectionPools.ConnectionPool()
  const send = async (request: string): Promise<number | undefined> => {
    const result = await new Exchanges.Exchange(createOptions(address, { connections: pool, correlation: correlation(request) })).result
    await new Promise(resolve => setTimeout(resolve, 10))
    return result.kind === 'answered' ? result.position : undefined
  }
  assert.deepEqual([await send('a'), await send('b'), await send('c')], [1, 2, 3])
  assert.equal(connections, 1)
  assert.deepEqual([await send('b'), await send('b'), await send('d')], [1, 1, 4])
  assert.equal(connections, 3)
  pool.destroy()
  server.close()
  server.closeAllConnections()
})

// Guards against the memory of a connection that is never idle for long.
test('connection is closed after its last request', async () => {
  let connections = 0
  const server = Http.createServer((_request, response) => { response.end('done') })
  server.on('connection', () => { connections += 1 })
  const address = await listen(server)
  const pool = new ConnectionPools.ConnectionPool()
  for (let count = 0; count <= ConnectionHistories.MAXIMUM_REQUESTS; count += 1) {
    await new Exchanges.Exchange(createOptions(address, { connections: pool, correlation: correlation(`q-${count}`) })).result
    await new Promise(resolve => setImmediate(resolve))
  }
  pool.destroy()
  server.close()
  server.closeAllConnections()
  assert.equal(connections, 2)
})
