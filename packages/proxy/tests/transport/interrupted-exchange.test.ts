// Guards against a request that counts as not sent although the peer has received all of it and runs it.
import * as assert from 'node:assert/strict'
import * as Http from 'node:http'
import * as Net from 'node:net'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as ConnectionPools from '../../src/transport/connection-pool.js'
import * as Exchanges from '../../src/transport/exchange.js'

const milliseconds = Decisions.Clock.milliseconds

/** `freeze`: the relay passes nothing on until the exchange has ended, and then all that it has received. */
type Interruption = 'reset' | 'close' | 'freeze'
type Direction = 'to-peer' | 'to-sender'

interface Cut { readonly interruption: Interruption, readonly direction: Direction, readonly offset: number }

/** More bytes than either side sends. */
const OFFSETS = 260
/** Exchanges at a time; each has a relay of its own. */
const BATCH = 40
const TIMEOUT = milliseconds(250)
/** Time for the peer to run what it has received when the relay passes it on. */
const SETTLE_MS = 60

async function listen (server: Net.Server): Promise<number> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  return typeof address === 'object' && address !== null ? address.port : 0
}

/** A node that confirms each request, reads its body and runs it. */
function createPeer (runs: Map<string, number>): Http.Server {
  const server = Http.createServer()
  server.on('request', (request: Http.IncomingMessage, response: Http.ServerResponse) => {
    let body = ''
    response.writeProcessing()
    response.writeContinue()
    request.on('error', () => { /* The exchange was interrupted. */ })
    request.on('data', (chunk: Buffer) => { body += chunk.toString() })
    request.on('end', () => {
      const name = request.url ?? ''
      if (request.complete) runs.set(name, (runs.get(name) ?? 0) + 1)
      assert.equal(body, 'order', 'the body is whole')
      response.end('done')
    })
  })
  return server
}

/** Forwards one connection and interrupts it when `offset` bytes have passed in the given direction. */
class Relay {
  private readonly held: (() => void)[] = []
  private readonly sockets: Net.Socket[] = []
  private readonly passed: Record<Direction, number> = { 'to-peer': 0, 'to-sender': 0 }
  private isFrozen = false
  readonly server: Net.Server

  constructor (private readonly peerPort: number, private readonly cut: Cut) {
    this.server = Net.createServer({ allowHalfOpen: false }, socket => { this.accept(socket) })
  }

  /** Passes on what was held. */
  thaw (): void {
    this.isFrozen = false
    for (const action of this.held.splice(0)) action()
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (sender: Net.Socket): void {
    const peer = Net.connect(this.peerPort, '127.0.0.1')
    this.sockets.push(sender, peer)
    this.forward(sender, peer, 'to-peer')
    this.forward(peer, sender, 'to-sender')
  }

  private forward (from: Net.Socket, to: Net.Socket, direction: Direction): void {
    from.on('error', () => { /* The close event follows. */ })
    from.on('data', (bytes: Buffer) => { this.pass(bytes, to, direction) })
    from.on('close', () => { this.whenThawed(() => { to.end() }) })
  }

  private pass (bytes: Buffer, to: Net.Socket, direction: Direction): void {
    const room = this.cut.direction === direction ? Math.max(0, this.cut.offset - this.passed[direction]) : bytes.length
    this.passed[direction] += bytes.length
    const [before, after] = [bytes.subarray(0, room), bytes.subarray(room)]
    if (before.length > 0) this.whenThawed(() => { to.write(before) })
    if (after.length === 0) return
    if (this.cut.interruption === 'freeze') this.isFrozen = true
    else for (const socket of this.sockets) if (this.cut.interruption === 'reset') socket.resetAndDestroy(); else socket.end()
    if (this.isFrozen) this.whenThawed(() => { to.write(after) })
  }

  private whenThawed (action: () => void): void {
    if (this.isFrozen) this.held.push(action)
    else action()
  }
}

async function play (peerPort: number, runs: ReadonlyMap<string, number>, cut: Cut): Promise<string> {
  const relay = new Relay(peerPort, cut)
  const path = `/${cut.interruption}/${cut.direction}/${cut.offset}`
  const connections = new ConnectionPools.ConnectionPool()
  const exchange = new Exchanges.Exchange({
    address: Decisions.Ids.endpoint(`127.0.0.1:${await listen(relay.server)}`), method: 'POST', path, headers: [], body: Buffer.from('order'), timeout: TIMEOUT, connectTimeout: TIMEOUT,
    maximumResponseBytes: 10_000, connections, awaitsConfirmation: true, confirmationTimeout: milliseconds(TIMEOUT / 2)
  })
  const result = await exchange.result
  relay.thaw()
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
  relay.close()
  connections.destroy()
  const count = runs.get(path) ?? 0
  assert.ok(count <= 1, `${path}: ran ${count} times`)
  if (result.kind === 'not-sent') assert.equal(count, 0, `${path}: not sent and ran`)
  return result.kind
}

for (const interruption of ['reset', 'close', 'freeze'] as const) {
  test(`exchange interrupted at any byte does not count as not sent if the peer runs the request (${interruption})`, async () => {
    const runs = new Map<string, number>()
    const peer = createPeer(runs)
    const peerPort = await listen(peer)
    const cuts: Cut[] = []
    for (const direction of ['to-peer', 'to-sender'] as const) {
      for (let offset = 0; offset < OFFSETS; offset += 1) cuts.push({ interruption, direction, offset })
    }
    const kinds = new Map<string, number>()
    while (cuts.length > 0) {
      const batch = await Promise.all(cuts.splice(0, BATCH).map(async cut => await play(peerPort, runs, cut)))
      for (const kind of batch) kinds.set(kind, (kinds.get(kind) ?? 0) + 1)
    }
    peer.close()
    peer.closeAllConnections()
    for (const kind of ['not-sent', 'lost', 'answered']) assert.ok((kinds.get(kind) ?? 0) > 0, `${kind} occurs`)
  })
}
