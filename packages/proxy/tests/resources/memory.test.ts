import * as assert from 'node:assert/strict'
import * as Http from 'node:http'
import * as Net from 'node:net'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import type * as BodyReaders from '../../src/resources/body-reader.js'
import * as Contents from '../../src/resources/content.js'
import * as Memories from '../../src/resources/memory.js'
import * as Logs from '../../src/observation/log.js'
import * as Metrics from '../../src/observation/metrics.js'
import * as MonotonicClocks from '../../src/transport/monotonic-clock.js'
import * as Samples from '../support/samples.js'

const MEGABYTE_BYTES = 1_048_576
const LIMIT_BYTES = 64 * MEGABYTE_BYTES
/** Settings without memory leave the least budget, 8 MiB. */
const NO_MEMORY = { memoryBytes: 0, descriptors: 4_100 }

class Fixture {
  /** Failures of bodies, and of those that were read how they are held. The bodies themselves would keep their memory. */
  readonly kinds: (BodyReaders.BodyFailure['kind'] | 'buffer' | 'blocks')[] = []
  readonly metrics = new Metrics.Metrics()
  readonly memory: Memories.Memory
  private readonly server: Http.Server
  private readonly sockets: Net.Socket[] = []

  constructor (idleTimeout: number) {
    const configuration = { ...Samples.configuration({}), limits: { headerBytes: 16_384, bodyBytes: LIMIT_BYTES, headerTimeout: Decisions.Clock.seconds(3), idleTimeout: Decisions.Clock.milliseconds(idleTimeout) } }
    this.memory = new Memories.Memory({ settings: { resources: NO_MEMORY }, clock: new MonotonicClocks.MonotonicClock(), log: new Logs.SilentLog(), metrics: this.metrics, configuration: { current: configuration } })
    this.server = Http.createServer((request, response) => {
      void this.memory.readRequest(request, response, LIMIT_BYTES).then(result => {
        this.kinds.push(result.isErr() ? result.error.kind : result.value instanceof Contents.BlockList ? 'blocks' : 'buffer')
        if (result.isOk()) this.memory.send(response, result.value)
      })
    })
  }

  async open (): Promise<number> {
    this.memory.start()
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    const address = this.server.address()
    return typeof address === 'object' && address !== null ? address.port : 0
  }

  connect (port: number): Net.Socket {
    const socket = Net.connect({ host: '127.0.0.1', port })
    socket.on('error', () => { /* The server may have closed the connection. */ })
    this.sockets.push(socket)
    return socket
  }

  async waitFor (condition: () => boolean): Promise<void> {
    const deadline = performance.now() + 20_000
    while (!condition()) {
      if (performance.now() > deadline) throw new Error(`condition was not met in time: ${this.kinds.join()}`)
      await new Promise(resolve => setTimeout(resolve, 10))
    }
  }

  close (): void {
    this.memory.stop()
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
    this.server.closeAllConnections()
  }
}

async function withFixture (idleTimeout: number, run: (fixture: Fixture, port: number) => Promise<void>): Promise<void> {
  const fixture = new Fixture(idleTimeout)
  try {
    await run(fixture, await fixture.open())
  } finally {
    fixture.close()
  }
}

function pattern (bytes: number): Buffer {
  return Buffer.from(Uint8Array.from({ length: bytes }, (_, index) => (index * 31 + (index >> 8)) & 0xff))
}

async function echo (port: number, body: Buffer, isAnnounced: boolean): Promise<Buffer> {
  return await new Promise((resolve, reject) => {
    const request = Http.request({ host: '127.0.0.1', port, method: 'POST', headers: isAnnounced ? { 'content-length': body.length } : {} }, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      response.on('end', () => { resolve(Buffer.concat(chunks)) })
    })
    request.on('error', reject)
    // Odd pieces, so that the borders of blocks fall into them.
    for (let start = 0; start < body.length; start += 10_007) request.write(body.subarray(start, start + 10_007))
    request.end()
  })
}

// Guards against bytes that are lost, repeated or reordered between chunks and blocks.
test('bodies of all sizes are read and sent unchanged', async () => {
  await withFixture(15_000, async (fixture, port) => {
    for (const length of [0, 1, 10_007, 65_535, 65_536, 65_537, 131_072, 1_000_000, 1_500_000]) {
      for (const isAnnounced of [true, false]) {
        const body = pattern(length)
        assert.ok((await echo(port, body, isAnnounced)).equals(body), `${length} bytes`)
      }
    }
    assert.deepEqual([fixture.kinds[0], fixture.kinds.at(-1)], ['buffer', 'blocks'])
  })
})

// Guards against a body that occupies memory and a connection for ever, and against the wrong failure, which decides the answer.
test('body without progress for the idle timeout is stalled', async () => {
  await withFixture(300, async (fixture, port) => {
    fixture.connect(port).write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc')
    await fixture.waitFor(() => fixture.kinds.length > 0)
    assert.deepEqual(fixture.kinds, ['stalled'])
  })
})

// Guards against a body that is read although its length shows that it exceeds the limit.
test('body that is announced above the limit is not read', async () => {
  await withFixture(15_000, async (fixture, port) => {
    fixture.connect(port).write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${LIMIT_BYTES + 1}\r\n\r\n`)
    await fixture.waitFor(() => fixture.kinds.length > 0)
    assert.deepEqual(fixture.kinds, ['too-large'])
  })
})

// Guards against stalled bodies that keep memory from others, and against memory that is not given back when callers leave.
test('body without progress is given up for others, and all memory comes back', async () => {
  await withFixture(15_000, async (fixture, port) => {
    for (const [bytes, used] of [[4, 4], [3, 7]] as const) {
      const socket = fixture.connect(port)
      socket.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${LIMIT_BYTES}\r\n\r\n`)
      socket.write(Buffer.alloc(bytes * MEGABYTE_BYTES))
      await fixture.waitFor(() => fixture.memory.used > used * MEGABYTE_BYTES)
    }
    const body = pattern(3 * MEGABYTE_BYTES)
    assert.ok((await echo(port, body, true)).equals(body))
    assert.deepEqual(fixture.kinds, ['no-memory', 'blocks'])
    assert.match(await fixture.metrics.render(), /jasminedale_drops_total\{kind="body",reason="memory"\} 1/)
    fixture.close()
    await fixture.waitFor(() => fixture.kinds.includes('incomplete'))
  })
})

// Guards against a caller that does not read its response and keeps the memory for ever.
test('connection whose caller does not read a large response is closed', async () => {
  await withFixture(400, async (fixture, port) => {
    const socket = fixture.connect(port)
    socket.pause()
    const length = 6 * MEGABYTE_BYTES
    socket.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n\r\n`)
    socket.write(pattern(length))
    await fixture.waitFor(() => fixture.kinds.length > 0)
    const closed = new Promise<void>(resolve => socket.once('close', () => { resolve() }))
    assert.deepEqual(fixture.kinds, ['blocks'])
    await new Promise(resolve => setTimeout(resolve, 2_000))
    socket.resume()
    await closed
    assert.ok(socket.bytesRead < length, `${socket.bytesRead} of ${length} bytes were sent`)
  })
})
