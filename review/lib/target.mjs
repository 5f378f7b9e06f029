/**
 * Stand-in for an application target (PROTOCOL.md): runs `slots` requests at a time, queues a few more, sheds what is beyond,
 * echoes the request id, signs its answers, and announces itself to the control plane of its own machine.
 */
import * as Http from 'node:http'
import * as Net from 'node:net'

const HEARTBEAT_INTERVAL_MS = 1_500
const ACKNOWLEDGEMENT_TIMEOUT_MS = 1_000
const QUEUE_LENGTH = 24
const STATUS_TEXTS = { 200: 'OK', 421: 'Misdirected Request', 500: 'Internal Server Error', 503: 'Service Unavailable' }

export class Target {
  /**
   * @param options.record Called with each event: an object with `kind`.
   * @param options.workMs Time in ms that a request takes.
   * @param options.sheds Whether the target sheds this request although it is healthy.
   * @param options.extra Whether a second copy of this answer follows late, in front of the next answer on the connection.
   * @param options.unframed Whether this answer has no length and ends with its connection.
   */
  constructor (options) {
    this.options = { sheds: () => false, extra: () => false, unframed: () => false, workMs: () => 20, ...options }
    this.sequence = 0
    this.state = 'ready'
    this.running = 0
    this.queue = []
    this.sockets = new Set()
    this.server = Net.createServer(socket => { this.serve(socket) })
  }

  async open () {
    const [host, port] = this.options.address.split(':')
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(Number(port), host, resolve)
    })
    this.timer = setInterval(() => { void this.announce() }, HEARTBEAT_INTERVAL_MS)
    void this.announce()
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** Sends a heartbeat. Returns whether it was acknowledged. */
  async announce () {
    const { id, service, address, zone, slots, born, control, record } = this.options
    this.sequence += 1
    const status = await post(control, `/jasminedale/rpc?call=instances.heartbeat&of=${id}`, {
      service, address, zone, version: 'v1', capacity_slots: slots, state: this.state, cold_remaining_s: 0, sequence_number: this.sequence, born
    })
    if (status !== this.lastAcknowledgement) record({ kind: 'heartbeat', target: id, state: this.state, sequence: this.sequence, status })
    this.lastAcknowledgement = status
    return status === 200
  }

  serve (socket) {
    this.sockets.add(socket)
    socket.setNoDelay(true)
    const connection = { socket, received: Buffer.alloc(0), isBusy: false, pendingExtra: '' }
    socket.on('error', () => { /* The node may have closed the connection. */ })
    socket.on('close', () => {
      this.sockets.delete(socket)
      connection.isClosed = true
      this.drop(connection)
    })
    socket.on('data', bytes => {
      connection.received = Buffer.concat([connection.received, bytes])
      this.next(connection)
    })
  }

  /** Takes the next complete request of a connection, one at a time. */
  next (connection) {
    if (connection.isBusy || connection.isClosed) return
    const end = connection.received.indexOf('\r\n\r\n')
    if (end < 0) return
    const head = connection.received.subarray(0, end).toString('latin1')
    const length = Number(field(head, 'content-length') ?? 0)
    if (connection.received.length < end + 4 + length) return
    const body = connection.received.subarray(end + 4, end + 4 + length).toString('latin1')
    connection.received = connection.received.subarray(end + 4 + length)
    connection.isBusy = true
    const [method, path] = head.split(' ')
    this.sendLateCopy(connection, field(head, 'jasminedale-request-id') ?? '')
    this.take({ connection, method, path, body, requestId: field(head, 'jasminedale-request-id') ?? '', expected: field(head, 'jasminedale-expected-instance'), caller: field(head, 'jasminedale-caller-service'), deadlineMs: Number(field(head, 'jasminedale-deadline-ms') ?? 10_000) })
  }

  /** Sends the second copy of the last answer, at the point where the answer to the next request is expected. */
  sendLateCopy (connection, requestId) {
    if (connection.pendingExtra === '') return
    this.options.record({ kind: 'late copy', target: this.options.id, of: connection.pendingExtraOf, expected: requestId })
    connection.socket.write(connection.pendingExtra)
    connection.pendingExtra = ''
  }

  take (request) {
    const { id, slots, record, sheds, health = '/health' } = this.options
    const { requestId, expected, method, path } = request
    if (path === health) {
      this.answer(request, 200, `Jasminedale-Instance-Id: ${id}\r\n`)
      return
    }
    record({ kind: 'arrives', target: id, request: requestId, method, path })
    if (expected !== undefined && expected !== id) {
      record({ kind: 'misdirected', target: id, request: requestId })
      this.answer(request, 421, `Jasminedale-Instance-Id: ${id}\r\n`)
      return
    }
    if (sheds(request) || (this.running >= slots && this.queue.length >= QUEUE_LENGTH)) {
      record({ kind: 'sheds', target: id, request: requestId })
      this.answer(request, 503, 'Jasminedale-Not-Executed: 1\r\n')
      return
    }
    this.queue.push(request)
    this.startNext()
  }

  startNext () {
    while (this.running < this.options.slots && this.queue.length > 0) this.run(this.queue.shift())
  }

  run (request) {
    const { id, record, workMs } = this.options
    this.running += 1
    const duration = workMs(request)
    record({ kind: 'runs', target: id, request: request.requestId, method: request.method, path: request.path, workMs: Math.round(duration) })
    request.timer = setTimeout(() => {
      request.timer = undefined
      this.running -= 1
      if (!request.connection.isClosed) this.answer(request, 200, '')
      this.startNext()
    }, duration)
    request.connection.current = request
  }

  /** Drops the request of a connection that has closed. */
  drop (connection) {
    this.queue = this.queue.filter(request => request.connection !== connection)
    const request = connection.current
    if (request?.timer === undefined) return
    clearTimeout(request.timer)
    request.timer = undefined
    this.options.record({ kind: 'dropped', target: this.options.id, request: request.requestId })
    this.running -= 1
    this.startNext()
  }

  answer (request, status, extraFields) {
    const { id, record, extra, unframed } = this.options
    const { connection, requestId } = request
    connection.current = undefined
    const stamp = `stamp.${id}.${requestId}`
    const body = status === 200 ? `${stamp} ${request.method} ${request.path} ${'x'.repeat(200)}` : ''
    const isUnframed = status === 200 && unframed(request)
    const bytes = `HTTP/1.1 ${status} ${STATUS_TEXTS[status]}\r\nJasminedale-Request-Id: ${requestId}\r\n${status === 200 ? `Jasminedale-Response-Stamp: ${stamp}\r\n` : ''}${extraFields}${isUnframed ? 'Connection: close\r\n' : `Content-Length: ${body.length}\r\n`}\r\n${body}`
    if (!isUnframed) connection.socket.write(bytes)
    record({ kind: 'answers', target: id, request: requestId, status, unframed: isUnframed || undefined })
    if (isUnframed) {
      connection.socket.end(bytes)
      connection.isClosed = true
      return
    }
    if (extra(request, status)) {
      connection.pendingExtra = bytes
      connection.pendingExtraOf = requestId
    }
    connection.isBusy = false
    this.next(connection)
  }
}

/** Value of the first field with the given lower-case name in a header section. */
function field (head, name) {
  for (const line of head.split('\r\n').slice(1)) {
    const separator = line.indexOf(':')
    if (line.slice(0, separator).toLowerCase() === name) return line.slice(separator + 1).trim()
  }
  return undefined
}

/** Sends a call to the control plane; resolves to the status, or to 0 without an answer within a second. */
export async function post (address, path, body) {
  const [host, port] = address.split(':')
  const text = JSON.stringify(body)
  return await new Promise(resolve => {
    const request = Http.request({ host, port: Number(port), method: 'POST', path, agent: false, timeout: ACKNOWLEDGEMENT_TIMEOUT_MS, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) } }, response => {
      response.resume()
      response.on('end', () => { resolve(response.statusCode) })
      response.on('error', () => { resolve(0) })
    })
    request.on('timeout', () => { request.destroy() })
    request.on('error', () => { resolve(0) })
    request.end(text)
  })
}
