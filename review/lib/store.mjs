/** Stand-in for the platform's metadata store (PROTOCOL.md): keyed topics with one partition, which never loses an acknowledged record. */
import * as Http from 'node:http'

const APPEND_LATENCY_MS = 4
const POLL_INTERVAL_MS = 4
const READ_HEADER_BYTES = 16

export class Store {
  constructor () {
    this.topics = new Map()
    this.server = Http.createServer((request, response) => {
      this.handle(request, response).catch(() => { response.destroy() })
    })
  }

  async open (host, port) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes a record as the operator does. */
  write (topic, key, value) {
    this.records(topic).push({ key, value: Buffer.from(value) })
  }

  records (topic) {
    if (!this.topics.has(topic)) this.topics.set(topic, [])
    return this.topics.get(topic)
  }

  async handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const url = new URL(request.url, 'http://store')
    const records = this.records(url.searchParams.get('topic') ?? '')
    if (url.pathname === '/jasminedale/log-append') await this.append(url, records, Buffer.concat(chunks), response)
    else if (url.pathname === '/jasminedale/log-newest') this.sendNewest(records, response)
    else if (url.pathname === '/jasminedale/log-read') await this.sendRecords(url, records, response)
    else response.writeHead(404).end()
  }

  async append (url, records, body, response) {
    if (['keyed.op', 'keyed.servers'].includes(url.searchParams.get('topic'))) {
      response.writeHead(403).end()
      return
    }
    await new Promise(resolve => setTimeout(resolve, APPEND_LATENCY_MS))
    const offset = records.length
    for (let position = 0; position + 4 <= body.length;) {
      const length = body.readUInt32BE(position)
      const content = body.subarray(position + 4, position + 4 + length)
      const end = 1 + content[0]
      records.push({ key: content.subarray(1, end).toString(), value: content.subarray(end) })
      position += 4 + length
    }
    sendJson(response, { offset, end_offset: records.length })
  }

  sendNewest (records, response) {
    const newest = new Map(records.map((record, offset) => [record.key, { ...record, offset }]))
    const items = [...newest.values()].filter(({ value }) => value.length > 0)
    sendJson(response, { items: items.map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset })), has_more: false, end_offset: records.length })
  }

  async sendRecords (url, records, response) {
    const from = Number(url.searchParams.get('from'))
    const waitUntil = performance.now() + Math.min(30_000, Number(url.searchParams.get('wait_ms') ?? 0))
    while (records.length <= from && performance.now() < waitUntil && !response.destroyed) await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
    const header = Buffer.alloc(READ_HEADER_BYTES)
    header.writeBigUInt64BE(BigInt(records.length), 0)
    response.writeHead(200).end(Buffer.concat([header, ...records.slice(from).map(encode)]))
  }
}

function sendJson (response, body) {
  response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function encode ({ key, value }) {
  const content = Buffer.concat([Buffer.from([key.length]), Buffer.from(key), value])
  const length = Buffer.alloc(4)
  length.writeUInt32BE(content.length)
  return Buffer.concat([length, content])
}
