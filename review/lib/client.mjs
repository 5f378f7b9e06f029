/** Stand-in for a client (PROTOCOL.md): sends requests to the outbound address of its own machine. */
import * as Net from 'node:net'

let requestCount = 0

export function requestId () {
  requestCount += 1
  return `${process.pid.toString(16)}${requestCount.toString(16).padStart(8, '0')}`
}

/** Requests sent one behind the other on one new connection. */
export class Connection {
  constructor (address) {
    const [host, port] = address.split(':')
    this.socket = Net.connect({ host, port: Number(port), noDelay: true })
    this.received = Buffer.alloc(0)
    this.waiting = []
    this.isClosed = false
    this.socket.on('error', () => { /* The close event follows. */ })
    this.socket.on('data', bytes => {
      this.received = Buffer.concat([this.received, bytes])
      this.parse(false)
    })
    this.socket.on('end', () => { this.parse(true) })
    this.socket.on('close', () => { this.fail() })
  }

  /** Sends a request; resolves to its answer, `status` 0 if the connection ends without one. */
  send ({ method, path, host, body = '', deadlineMs, id = requestId() }) {
    const length = method === 'GET' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`
    const answer = new Promise(resolve => { this.waiting.push({ id, resolve }) })
    this.socket.write(`${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nJasminedale-Request-Id: ${id}\r\nJasminedale-Deadline-Ms: ${deadlineMs}\r\n${length}\r\n${body}`)
    return answer
  }

  close () {
    this.socket.destroy()
  }

  /** Reads complete answers; one without a length is complete when the connection has ended. */
  parse (hasEnded) {
    while (this.waiting.length > 0) {
      const end = this.received.indexOf('\r\n\r\n')
      if (end < 0) return
      const head = this.received.subarray(0, end).toString('latin1')
      const length = /^content-length: *(\d+)/im.exec(head)?.[1]
      if (length === undefined && !hasEnded) return
      const bodyEnd = length === undefined ? this.received.length : end + 4 + Number(length)
      if (this.received.length < bodyEnd) return
      const body = this.received.subarray(end + 4, bodyEnd).toString('latin1')
      this.received = this.received.subarray(bodyEnd)
      const { resolve } = this.waiting.shift()
      resolve({ status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0), head, body, stamp: /^jasminedale-response-stamp: *(.*)$/im.exec(head)?.[1], retryAfter: Number(/^retry-after: *(.*)$/im.exec(head)?.[1] ?? 0), hasLength: length !== undefined })
    }
  }

  fail () {
    if (this.isClosed) return
    this.isClosed = true
    this.parse(true)
    for (const { resolve } of this.waiting.splice(0)) resolve({ status: 0, head: '', body: '', retryAfter: 0 })
  }
}

/** Sends one request on a new connection and closes it after the answer. */
export async function call (address, request) {
  const connection = new Connection(address)
  const answer = await connection.send(request)
  connection.close()
  return answer
}
