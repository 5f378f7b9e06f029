/**
 * Stand-in for a target as PROTOCOL.md describes it: slots and a short queue, answers with the id of the request and a
 * stamp, 421 for another instance, 503 when it is full, heartbeats to the control address of its machine.
 */
import Http from 'node:http'
import Net from 'node:net'
import { delay } from './store.mjs'

const QUEUE = 24

export class Target {
  /** Requests in the order in which they began: id, path, start, end, how they ended. */
  runs = []
  rejected = 0
  running = 0
  waiting = []
  sockets = new Set()
  sequence = 0
  state = 'ready'
  /** Times and statuses of the acknowledgements of its calls. */
  calls = []

  /**
   * @param options `instance`, `service`, `zone`, `slots`; `work (request)` in ms; `body (request)` a Buffer;
   * `fields (request)` further header fields; `answer (request, socket, target)` in place of the ordinary answer.
   */
  constructor (options) {
    this.options = options
    this.born = options.born ?? Date.now()
    this.server = Net.createServer(socket => { this.serve(socket) })
  }

  async open (ip) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(0, ip, resolve)
    })
    this.address = `${ip}:${this.server.address().port}`
    return this.address
  }

  close () {
    this.stopBeats()
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** Ends as a process that crashes does: sends nothing more, and its connections are reset. */
  async crash () {
    this.stopBeats()
    for (const socket of this.sockets) socket.resetAndDestroy()
    this.waiting = []
    await new Promise(resolve => { this.server.close(resolve) })
  }

  /** Starts again at its address under its instance id; knows nothing of before. */
  async restart (born) {
    this.born = born
    this.sequence = 0
    this.state = 'ready'
    const [host, port] = this.address.split(':')
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(Number(port), host, resolve)
    })
    this.startBeats(this.control)
  }

  /** Sends heartbeats to the control address of the machine every `interval` ms. */
  startBeats (control, interval = 1_500) {
    this.control = control
    const beat = () => { void this.beat() }
    beat()
    this.beatTimer = setInterval(beat, interval)
  }

  stopBeats () {
    clearInterval(this.beatTimer)
  }

  async beat () {
    const { instance, service, zone, slots } = this.options
    this.sequence += 1
    return await this.call('heartbeat', instance, {
      service, address: this.address, zone, version: 'v1', capacity_slots: slots, state: this.state, cold_remaining_s: 0, sequence_number: this.sequence, born: this.born
    })
  }

  async deregister () {
    return await this.call('deregister', this.options.instance, { born: this.born })
  }

  async call (name, instance, body) {
    const text = JSON.stringify(body)
    const [host, port] = this.control.split(':')
    const sentAt = performance.now()
    const status = await new Promise(resolve => {
      const request = Http.request({ host, port, method: 'POST', path: `/jasminedale/rpc?call=instances.${name}&of=${instance}`, agent: false, timeout: 1_000, headers: { 'content-type': 'application/json', 'content-length': text.length } }, response => {
        response.resume()
        response.on('end', () => { resolve(response.statusCode) })
      })
      request.on('timeout', () => { request.destroy(new Error('no acknowledgement')) })
      request.on('error', () => { resolve(0) })
      request.end(text)
    })
    this.calls.push({ name, state: body.state, sequence: body.sequence_number, sentAt, answeredAt: performance.now(), status })
    return status
  }

  serve (socket) {
    this.sockets.add(socket)
    socket.on('error', () => { /* The node may reset the connection. */ })
    socket.on('close', () => {
      this.sockets.delete(socket)
      socket.current?.drop()
    })
    let bytes = Buffer.alloc(0)
    let wanted = 0
    socket.on('data', chunk => {
      bytes = bytes.length === 0 ? chunk : Buffer.concat([bytes, chunk])
      while (bytes.length >= wanted) {
        const end = bytes.indexOf('\r\n\r\n')
        if (end < 0) return
        const head = bytes.subarray(0, end).toString('latin1')
        const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0)
        wanted = end + 4 + length
        if (bytes.length < wanted) return
        const request = parse(head, bytes.subarray(end + 4, wanted))
        bytes = bytes.subarray(wanted)
        wanted = 0
        this.accept(request, socket)
        if (bytes.length === 0) return
      }
    })
  }

  accept (request, socket) {
    const { instance, slots } = this.options
    if (request.fields['jasminedale-expected-instance'] !== undefined && request.fields['jasminedale-expected-instance'] !== instance) {
      this.rejected += 1
      socket.write(`HTTP/1.1 421 Misdirected Request\r\nJasminedale-Request-Id: ${request.id}\r\nJasminedale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`)
      return
    }
    const job = { request, socket, isDropped: false }
    job.drop = () => {
      job.isDropped = true
      job.end?.('dropped')
    }
    socket.current = job
    if (this.running < slots) void this.run(job)
    else if (this.waiting.length < QUEUE) this.waiting.push(job)
    else {
      this.rejected += 1
      socket.current = undefined
      socket.write(`HTTP/1.1 503 Service Unavailable\r\nJasminedale-Request-Id: ${request.id}\r\nJasminedale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`)
    }
  }

  async run (job) {
    const { request, socket } = job
    const run = { id: request.id, method: request.method, path: request.path, bytes: request.body.length, beganAt: performance.now(), endedAt: undefined, result: 'running' }
    this.runs.push(run)
    this.running += 1
    const work = this.options.work?.(request) ?? 20
    const result = await new Promise(resolve => {
      job.end = resolve
      setTimeout(() => { resolve('answered') }, work)
    })
    run.endedAt = performance.now()
    run.result = result
    this.running -= 1
    if (socket.current === job) socket.current = undefined
    if (result === 'answered') this.answer(request, socket)
    for (let next = this.waiting.shift(); next !== undefined; next = this.waiting.shift()) {
      if (next.isDropped) continue
      void this.run(next)
      break
    }
  }

  answer (request, socket) {
    if (this.options.answer !== undefined) {
      this.options.answer(request, socket, this)
      return
    }
    const body = this.options.body?.(request) ?? Buffer.from(`answer to ${request.id}`)
    socket.write(`HTTP/1.1 200 OK\r\nJasminedale-Request-Id: ${request.id}\r\nJasminedale-Response-Stamp: stamp.${request.id}\r\n${this.options.fields?.(request) ?? ''}Content-Length: ${body.length}\r\n\r\n`)
    socket.write(body)
  }
}

function parse (head, body) {
  const [line, ...lines] = head.split('\r\n')
  const [method, path] = line.split(' ')
  const fields = {}
  for (const text of lines) {
    const colon = text.indexOf(':')
    fields[text.slice(0, colon).toLowerCase()] = text.slice(colon + 1).trim()
  }
  return { method, path, fields, id: fields['jasminedale-request-id'] ?? '', body: Buffer.from(body) }
}

export { delay }
