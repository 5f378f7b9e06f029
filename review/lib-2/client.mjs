/** A client on the machine of a node: one connection, on which it sends requests one behind the other and reads the answers in order. */
import Net from 'node:net'

export class Client {
  /** Requests that were sent and have no complete answer yet. */
  pending = []
  isClosed = false
  received = Buffer.alloc(0)

  constructor (address) {
    const [host, port] = address.split(':')
    this.socket = Net.connect({ host, port: Number(port), noDelay: true })
    this.socket.on('data', bytes => { this.read(bytes) })
    this.socket.on('error', () => { /* `close` follows. */ })
    this.socket.on('end', () => { this.socket.end() })
    this.socket.on('close', () => { this.end() })
  }

  /** Sends a request; resolves to what came back: `status` (0 without a complete answer), `body`, `stamp`, `sentAt`, `answeredAt`. */
  async send ({ method = 'GET', path, host = 'shop.example', id, deadline = 8_000, body, fields = '' }) {
    const length = body === undefined ? '' : `Content-Length: ${body.length}\r\n`
    const head = `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nJasminedale-Request-Id: ${id}\r\nJasminedale-Deadline-Ms: ${deadline}\r\n${fields}${length}\r\n`
    return await new Promise(resolve => {
      const entry = { id, sentAt: performance.now(), resolve }
      this.pending.push(entry)
      if (this.isClosed) {
        this.end()
        return
      }
      this.socket.write(body === undefined ? head : Buffer.concat([Buffer.from(head), body]))
    })
  }

  /** Leaves: closes the connection, whatever is still to come. */
  leave () {
    this.socket.destroy()
  }

  /** Finishes: closes the connection in order. */
  close () {
    this.socket.end()
  }

  read (bytes) {
    this.received = this.received.length === 0 ? bytes : Buffer.concat([this.received, bytes])
    for (;;) {
      const end = this.received.indexOf('\r\n\r\n')
      if (end < 0) return
      const head = this.received.subarray(0, end).toString('latin1')
      const status = Number(head.slice(9, 12))
      if (status >= 100 && status < 200) {
        this.received = this.received.subarray(end + 4)
        continue
      }
      const length = /\r\ncontent-length: *(\d+)/i.exec(head)?.[1]
      if (length === undefined) return
      const total = end + 4 + Number(length)
      if (this.received.length < total) return
      this.settle(head, status, this.received.subarray(end + 4, total))
      this.received = this.received.subarray(total)
    }
  }

  settle (head, status, body) {
    const entry = this.pending.shift()
    if (entry === undefined) return
    entry.resolve({ id: entry.id, status, head, body: Buffer.from(body), stamp: /\r\njasminedale-response-stamp: *(\S+)/i.exec(head)?.[1], sentAt: entry.sentAt, answeredAt: performance.now() })
    if (/\r\nconnection: *close/i.test(head)) this.isLast = true
  }

  end () {
    this.isClosed = true
    const head = this.received.indexOf('\r\n\r\n')
    if (head >= 0 && this.pending.length > 0 && !/content-length/i.test(this.received.subarray(0, head).toString('latin1'))) {
      const text = this.received.subarray(0, head).toString('latin1')
      this.settle(text, Number(text.slice(9, 12)), this.received.subarray(head + 4))
    }
    for (const entry of this.pending.splice(0)) entry.resolve({ id: entry.id, status: 0, head: '', body: Buffer.alloc(0), stamp: undefined, sentAt: entry.sentAt, answeredAt: performance.now() })
  }
}
